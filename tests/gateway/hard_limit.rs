//! Hard limits, which hold even where gateways hear nothing of each other.

use crate::support::fleet::Fleet;
use crate::support::gateway::{sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{settings_of, HARD_LIMIT, IDEMPOTENT, SECOND, UNLIMITED};
use ingress::*;

/// Gateways cannot reach each other, and each restarts in the middle of a run. A hard limit is one that a customer
/// must never exceed, so each gateway keeps to its own share of it, and after a restart begins with nothing instead
/// of a full burst.
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

/// All requests of a customer come to one of its six gateways. With an even share it would get a sixth of what the
/// customer has paid for; two gateways hold most of the limit and grant it to the one that needs it.
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

/// A customer has used up the burst of its hard limit. Somebody sends many requests in its name with another plan, so
/// that its record changes to that plan and then back again. Formerly each change began with a full burst, and the
/// customer could exceed its hard limit as often as it liked; now a change refills nothing.
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
        // As many as it takes for the record to follow them, and then to follow the genuine ones.
        send(&mut harness, UNLIMITED, 20);
        within_hard_limit += send(&mut harness, HARD_LIMIT, 40);
    }
    assert!(within_hard_limit <= 14, "{within_hard_limit} sent at once of a burst of 12");
}
