//! Tests of hard limits, which hold even if gateways receive no messages from each other.

use crate::support::fleet::Fleet;
use crate::support::gateway::{sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{settings_of, HARD_LIMIT, IDEMPOTENT, SECOND, UNLIMITED};
use ingress::*;

/// Gateways cannot reach each other, and each restarts once. A hard limit must hold nevertheless, so each
/// gateway uses only its own share, and restarts with an empty bucket instead of a full burst.
#[test]
fn restarts_without_gossip_do_not_exceed_a_hard_limit() {
    for gateways in [3, 40, 200] {
        let total: usize = (0..gateways)
            .map(|own_id| {
                let mut harness = GatewayHarness::new(settings_of(own_id, gateways), 4);
                let mut sent = 0;
                for second in 0..10 {
                    for _ in 0..10 {
                        let SubmittedRequest { id, mut actions } =
                            harness.request_from_set(IDEMPOTENT, HARD_LIMIT, 5, 1.0, f64::from(gateways));
                        actions.extend(harness.advance(Duration::from_millis(100)));
                        for backend in sent_to(&actions) {
                            sent += 1;
                            harness.end_attempt(id, 0, backend, Outcome::Ok);
                        }
                    }
                    if second == 4 {
                        harness.restart(settings_of(own_id, gateways), 8, 4);
                    }
                }
                sent
            })
            .sum();
        assert!(total <= 60, "{gateways} gateways: {total} sent in 10 s at 6 units per second");
        assert!(gateways > 3 || total > 30, "{total}");
    }
}

/// One of a customer's six gateways receives all its requests. An even share would allow a sixth of the hard
/// limit; instead, two gateways hold most of the limit and grant it to the one that needs it.
#[test]
fn a_busy_gateway_is_granted_the_unused_shares_of_a_hard_limit() {
    let mut fleet = Fleet::new(60);
    let mut sent = 0;
    for _ in 0..500 {
        sent += fleet.request(17, HARD_LIMIT, 1.0, 6.0, 0);
    }
    // 10 s at 6 units per second; an even share of six gateways would be 10.
    assert!((20..=72).contains(&sent), "{sent}");
}

/// Forged requests state another plan for a customer that has used up its burst, so that its record changes
/// to that plan and back. If each change refilled the bucket, the customer could exceed its hard limit at
/// will.
#[test]
fn requests_with_a_forged_plan_do_not_refill_a_hard_limit() {
    let mut harness = GatewayHarness::new(settings_of(0, 1), 4);
    harness.advance(SECOND * 30);
    let send = |harness: &mut GatewayHarness, plan, count: usize| {
        let mut sent = 0;
        for _ in 0..count {
            let SubmittedRequest { id, actions } = harness.request_from_set(IDEMPOTENT, plan, 5, 1.0, 1.0);
            for backend in sent_to(&actions) {
                sent += 1;
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
        sent
    };
    let mut within_hard_limit = send(&mut harness, HARD_LIMIT, 20);
    assert_eq!(within_hard_limit, 12, "the burst");
    for _ in 0..5 {
        // Enough requests to change the record, and then to change it back.
        send(&mut harness, UNLIMITED, 20);
        within_hard_limit += send(&mut harness, HARD_LIMIT, 40);
    }
    assert!(within_hard_limit <= 14, "{within_hard_limit} sent at once of a burst of 12");
}
