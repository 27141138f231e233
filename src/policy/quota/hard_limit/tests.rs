//! Tests of [`super`].

use super::*;

fn plan() -> Plan {
    Plan {
        rate: 0.0,
        burst: 0.0,
        concurrency_quota: 0,
        hard_limit_rate: 4.0,
        hard_limit_burst: 10.0,
        price: 1.0,
        over_quota_cost: 1.0,
    }
}

/// A share of one half refills at half the rate, up to half of the burst.
#[test]
fn a_share_refills_in_proportion_to_its_fraction() {
    let mut share = HardLimitShare { fraction: 0.5, ..HardLimitShare::default() };
    share.refill(&plan(), 2.0);
    assert_eq!(share.tokens, 4.0);
    share.refill(&plan(), 60.0);
    assert_eq!(share.tokens, 5.0, "half of the burst");
}

/// Units that an owner granted expire, so they are used before those of the bucket. Returned units are added
/// to the bucket.
#[test]
fn granted_units_are_used_before_the_bucket() {
    let mut share = HardLimitShare { fraction: 0.5, tokens: 4.0, granted: 1.0 };
    assert_eq!(share.time_until(5.0, 2.0), None);
    assert_eq!(share.time_until(6.0, 2.0), Some(0.5));
    share.charge(&plan(), 1.5);
    assert_eq!((share.granted, share.tokens), (0.0, 3.5));
    share.charge(&plan(), -9.0);
    assert_eq!((share.granted, share.tokens), (0.0, 5.0), "returned up to the bucket's capacity");
}

/// Usage before a gateway's start is unknown, so its share of the bucket is assumed to have been empty then.
/// A record that replaces another one holds at most the tokens of the old one.
#[test]
fn a_new_share_holds_the_tokens_refilled_since_the_start() {
    let mut share = HardLimitShare { fraction: 0.5, ..HardLimitShare::default() };
    share.fill_since_start(&plan(), Duration::from_secs(1), f64::MAX);
    assert_eq!(share.tokens, 2.0, "half of 4 units per second");
    share.fill_since_start(&plan(), Duration::from_secs(60), f64::MAX);
    assert_eq!(share.tokens, 5.0, "half of the burst");
    share.fill_since_start(&plan(), Duration::from_secs(60), 1.5);
    assert_eq!(share.tokens, 1.5);
}

/// A very small share would need minutes to refill a request's units. The wait is computed with at least a
/// hundredth of the hard limit; there is none without a hard limit.
#[test]
fn a_wait_is_computed_with_at_least_a_hundredth_of_the_limit() {
    let share = HardLimitShare { fraction: 0.001, ..HardLimitShare::default() };
    assert_eq!(share.wait_seconds(&plan(), 1.0), Some(25.0), "at 0.04 units per second");
    let unlimited = Plan { hard_limit_rate: 0.0, ..plan() };
    assert_eq!(share.wait_seconds(&unlimited, 1.0), None);
}
