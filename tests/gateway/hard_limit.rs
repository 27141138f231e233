//! Hard limits, which hold even where gateways hear nothing of each other.

use crate::support::fleet::Fleet;
use crate::support::gateway::{sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{settings_of, HARD_LIMIT, IDEMPOTENT, SECOND, UNLIMITED};
use ingress::*;

/// Gateways that get no messages of each other keep to the hard limit together; after each restart their
/// bucket starts empty.
#[test]
fn restarts_without_gossip_do_not_exceed_a_hard_limit() {
    for gateways in [3, 40, 200] {
        let total: usize = (0..gateways)
            .map(|me| {
                let mut harness = GatewayHarness::new(settings_of(me, gateways), 4);
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
                        harness.restart(settings_of(me, gateways), 8, 4);
                    }
                }
                sent
            })
            .sum();
        assert!(total <= 60, "{gateways} gateways: {total} sent in 10 s at 6 units a second");
        assert!(gateways > 3 || total > 30, "{total}");
    }
}

/// Most of a hard limit is with two of the gateways in the set: a busy one gets far more than an even share.
#[test]
fn a_busy_gateway_gets_the_share_of_a_hard_limit_that_others_leave() {
    let mut fleet = Fleet::new(60);
    let mut sent = 0;
    for _ in 0..500 {
        sent += fleet.request(17, HARD_LIMIT, 1.0, 6.0, 0);
    }
    // 10 s at 6 units a second; an even share of six gateways would be 10.
    assert!((20..=72).contains(&sent), "{sent}");
}

/// Guards against a hard limit that begins full again whenever a customer's record changes to another plan and back: requests
/// in its name with a plan that is not its own, more of them than of its own, let it have the burst each time.
#[test]
fn a_hard_limit_does_not_begin_full_again_behind_requests_with_a_forged_plan() {
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
        // As many as it takes for the record to follow them, and then to follow the genuine ones.
        send(&mut harness, UNLIMITED, 20);
        within_hard_limit += send(&mut harness, HARD_LIMIT, 40);
    }
    assert!(within_hard_limit <= 14, "{within_hard_limit} sent at once of a burst of 12");
}
