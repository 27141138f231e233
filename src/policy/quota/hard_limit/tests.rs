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

/// Gateways each have a part of a hard limit. A share of a half refills at half the rate, up to half of the
/// burst.
#[test]
fn a_share_refills_by_its_fraction() {
    let mut share = HardLimitShare { fraction: 0.5, ..HardLimitShare::default() };
    share.refill(&plan(), 2.0);
    assert_eq!(share.tokens, 4.0);
    share.refill(&plan(), 60.0);
    assert_eq!(share.tokens, 5.0, "its part of the burst");
}

/// Units that an owner granted are for the requests that wait now, and would lapse: they are used before
/// those of the bucket. What a request gives back goes to the bucket.
#[test]
fn granted_units_are_used_before_the_bucket() {
    let mut share = HardLimitShare { fraction: 0.5, tokens: 4.0, granted: 1.0 };
    assert_eq!(share.time_until(5.0, 2.0), None);
    assert_eq!(share.time_until(6.0, 2.0), Some(0.5));
    share.charge(&plan(), 1.5);
    assert_eq!((share.granted, share.tokens), (0.0, 3.5));
    share.charge(&plan(), -9.0);
    assert_eq!((share.granted, share.tokens), (0.0, 5.0), "given back up to the bucket's capacity");
}

/// A gateway starts, and does not know what was used of a hard limit before. It takes its share of the bucket
/// to have been empty then, and refilled since; never fuller than a record that it replaces.
#[test]
fn a_share_begins_with_what_was_refilled_since_the_start() {
    let mut share = HardLimitShare { fraction: 0.5, ..HardLimitShare::default() };
    share.fill_since_start(&plan(), Duration::from_secs(1), f64::MAX);
    assert_eq!(share.tokens, 2.0, "half of 4 units a second");
    share.fill_since_start(&plan(), Duration::from_secs(60), f64::MAX);
    assert_eq!(share.tokens, 5.0, "half of the burst");
    share.fill_since_start(&plan(), Duration::from_secs(60), 1.5);
    assert_eq!(share.tokens, 1.5);
}

/// A gateway holds so little of a hard limit that its share alone would not have a request's units for
/// minutes. The wait is computed with a hundredth of the limit at least, and without a hard limit there is
/// none.
#[test]
fn a_wait_is_computed_with_a_hundredth_of_the_limit_at_least() {
    let share = HardLimitShare { fraction: 0.001, ..HardLimitShare::default() };
    assert_eq!(share.wait_seconds(&plan(), 1.0), Some(25.0), "at 0.04 units a second");
    let unlimited = Plan { hard_limit_rate: 0.0, ..plan() };
    assert_eq!(share.wait_seconds(&unlimited, 1.0), None);
}
