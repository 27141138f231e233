//! Tests of [`super`].

use super::*;
use crate::policy::quota::tests::plan;

/// A customer sends more than its quota allows, and its bucket of 20 goes into debt, by 20 at most: however
/// much it used, it is served again after the time in which its bucket refills twice.
#[test]
fn a_debt_is_no_larger_than_the_bucket() {
    let mut bucket = QuotaBucket::new(&plan(), 20.0);
    bucket.charge_clamped(&plan(), 1000.0);
    assert_eq!(bucket.tokens(), -20.0);
    bucket.refill(&plan(), 10.0, 3.0);
    assert_eq!(bucket.tokens(), 10.0);
    bucket.charge_clamped(&plan(), -1000.0);
    assert_eq!(bucket.tokens(), 20.0, "given back up to its capacity");
}

/// An owner granted 5 units and charged them. The gateway reports that it used 3: the difference comes back,
/// and nothing is charged twice.
#[test]
fn a_grant_is_settled_by_what_was_used() {
    let mut bucket = QuotaBucket::new(&plan(), 12.0);
    bucket.deduct_unclamped(5.0);
    bucket.settle_clamped(&plan(), 5.0, 3.0, 0.0);
    assert_eq!(bucket.tokens(), 9.0);
    bucket.settle_clamped(&plan(), 0.0, 30.0, 0.0);
    assert_eq!(bucket.tokens(), 0.0, "no lower than it may be");
}

/// A bucket that was made with 5 of 20 tokens, since nobody knew of earlier usage, gets the other 15 once it
/// is known that there was none; or 11 of them where 4 were used. They are released once.
#[test]
fn withheld_tokens_are_released_once() {
    let mut bucket = QuotaBucket::new(&plan(), 5.0);
    bucket.deduct_withheld(4.0);
    bucket.release_withheld();
    bucket.release_withheld();
    assert_eq!(bucket.tokens(), 16.0);
}

/// A bucket with 5 tokens and 10 units a second has 8 after 0.3 s. What it lacks by rounding alone is not
/// waited for.
#[test]
fn the_time_to_refill_is_what_lacks_over_the_rate() {
    assert_eq!(time_to_refill(5.0, 8.0, 10.0), Some(0.3));
    assert_eq!(time_to_refill(5.0, 5.0, 10.0), None);
    assert_eq!(time_to_refill(5.0 - 1e-12, 5.0, 10.0), None);
}

/// A plan's buckets are full again after the longer of their times; a plan without any quota has none to
/// fill, and a bucket without a rate counts with some days, not for ever.
#[test]
fn buckets_of_a_plan_refill_together() {
    assert_eq!(refill_time(&plan()), Duration::from_secs(2));
    let with_hard_limit = Plan { hard_limit_rate: 5.0, hard_limit_burst: 40.0, ..plan() };
    assert_eq!(refill_time(&with_hard_limit), Duration::from_secs(8));
    let without_quota = Plan { rate: 0.0, burst: 0.0, ..plan() };
    assert_eq!(refill_time(&without_quota), Duration::ZERO);
    let without_rate = Plan { rate: 0.0, ..plan() };
    assert_eq!(refill_time(&without_rate), Duration::from_secs(1_000_000));
}
