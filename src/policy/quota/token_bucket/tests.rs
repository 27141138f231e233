//! Tests of [`super`].

use super::*;
use crate::policy::quota::tests::plan;

/// The debt of a bucket of 20 is at most 20, so that a customer has a full bucket again after at most twice
/// the refill time, whatever it used.
#[test]
fn a_debt_is_limited_to_the_bucket_size() {
    let mut bucket = QuotaBucket::new(&plan(), 20.0);
    bucket.charge_clamped(&plan(), 1000.0);
    assert_eq!(bucket.tokens(), -20.0);
    bucket.refill(&plan(), 10.0, 3.0);
    assert_eq!(bucket.tokens(), 10.0);
    bucket.charge_clamped(&plan(), -1000.0);
    assert_eq!(bucket.tokens(), 20.0, "returned up to the capacity");
}

/// An owner has granted and charged 5 units, of which the gateway reports 3 as used. The other 2 are
/// returned, and the 3 are not charged again.
#[test]
fn a_grant_is_settled_by_the_units_used() {
    let mut bucket = QuotaBucket::new(&plan(), 12.0);
    bucket.deduct_unclamped(5.0);
    bucket.settle_clamped(&plan(), 5.0, 3.0, 0.0);
    assert_eq!(bucket.tokens(), 9.0);
    bucket.settle_clamped(&plan(), 0.0, 30.0, 0.0);
    assert_eq!(bucket.tokens(), 0.0, "not below the minimum level");
}

/// A bucket is created with 5 of 20 tokens, because earlier usage is unknown. Of the 15 withheld tokens 4
/// turn out to be used, and the other 11 are added once.
#[test]
fn withheld_tokens_are_released_once() {
    let mut bucket = QuotaBucket::new(&plan(), 5.0);
    bucket.deduct_withheld(4.0);
    bucket.release_withheld();
    bucket.release_withheld();
    assert_eq!(bucket.tokens(), 16.0);
}

/// A bucket with 5 tokens and a rate of 10 units per second holds 8 after 0.3 s. A difference within rounding
/// errors causes no wait.
#[test]
fn the_time_to_refill_is_the_missing_units_over_the_rate() {
    assert_eq!(time_to_refill(5.0, 8.0, 10.0), Some(0.3));
    assert_eq!(time_to_refill(5.0, 5.0, 10.0), None);
    assert_eq!(time_to_refill(5.0 - 1e-12, 5.0, 10.0), None);
}

/// The refill time of a plan is the longer of its buckets' times. It is zero for a plan without buckets, and
/// 1,000,000 s for a bucket without a rate.
#[test]
fn the_refill_time_of_a_plan_is_that_of_its_slowest_bucket() {
    assert_eq!(refill_time(&plan()), Duration::from_secs(2));
    let with_hard_limit = Plan { hard_limit_rate: 5.0, hard_limit_burst: 40.0, ..plan() };
    assert_eq!(refill_time(&with_hard_limit), Duration::from_secs(8));
    let without_quota = Plan { rate: 0.0, burst: 0.0, ..plan() };
    assert_eq!(refill_time(&without_quota), Duration::ZERO);
    let without_rate = Plan { rate: 0.0, ..plan() };
    assert_eq!(refill_time(&without_rate), Duration::from_secs(1_000_000));
}
