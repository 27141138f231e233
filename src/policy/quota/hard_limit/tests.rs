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

#[test]
fn a_share_refills_by_its_fraction() {
    let mut share = HardLimitShare { fraction: 0.5, ..HardLimitShare::default() };
    share.refill(&plan(), 2.0);
    assert_eq!(share.tokens, 4.0);
    share.refill(&plan(), 60.0);
    assert_eq!(share.tokens, 5.0, "its part of the burst");
}

#[test]
fn granted_units_are_used_before_the_bucket() {
    let mut share = HardLimitShare { fraction: 0.5, tokens: 4.0, granted: 1.0, ..HardLimitShare::default() };
    assert_eq!(share.time_until(5.0, 2.0), None);
    assert_eq!(share.time_until(6.0, 2.0), Some(0.5));
    share.charge(&plan(), 1.5);
    assert_eq!((share.granted, share.tokens), (0.0, 3.5));
    share.charge(&plan(), -9.0);
    assert_eq!((share.granted, share.tokens), (0.0, 5.0), "given back up to the bucket's capacity");
}
