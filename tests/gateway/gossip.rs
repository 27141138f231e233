//! Usage reports between gateways.

use crate::support::gateway::{is_rejected, sent_messages, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{settings, settings_of, IDEMPOTENT, RATE_QUOTA, SECOND, UNLIMITED};
use ingress::*;

/// Another gateway uses up most of a customer's quota; its first messages are lost, and later ones arrive twice and
/// out of order. This gateway still has to know the true usage: it would let the customer exceed its quota by
/// requests that the other one has already served.
#[test]
fn usage_reports_converge_despite_loss_and_duplicates() {
    let mut other = GatewayHarness::new(settings_of(1, 3), 4);
    let mut harness = GatewayHarness::new(settings(), 4);
    harness.advance(SECOND * 4);
    other.advance(SECOND * 4);
    harness.request(IDEMPOTENT, RATE_QUOTA, 9, 0.5);
    other.request(IDEMPOTENT, RATE_QUOTA, 9, 2.0);
    other.advance(Duration::from_millis(200)); // these messages are lost
    other.request(IDEMPOTENT, RATE_QUOTA, 9, 3.0);
    let messages = sent_messages(&other.advance(Duration::from_millis(300)));
    for (_, bytes) in messages.iter().chain(messages.iter().rev()) {
        harness.handle(Event::PeerMessage { from: GatewayId(1), bytes: bytes.clone() });
    }
    // 6 units less 0.5 here and 5 there: no room for a request of 3, though this gateway sent half a unit.
    assert!(is_rejected(&harness.request(IDEMPOTENT, RATE_QUOTA, 9, 3.0).actions));
}

/// A hundred customers are active, more than one message holds. Each of them has to be reported sooner or later; a
/// customer that is never reported could use its full quota at every gateway.
#[test]
fn usage_reports_cover_every_customer_in_turn() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let mut reported = std::collections::BTreeSet::new();
    for _ in 0..20 {
        for customer in 0..100 {
            let SubmittedRequest { id, actions } = harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0);
            for backend in sent_to(&actions) {
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
        for (_, bytes) in sent_messages(&harness.advance(Duration::from_millis(100))) {
            let has_customer =
                |customer: &u8| bytes.windows(5).any(|window| window == [*customer, 0, 0, 0, 0]);
            reported.extend((0..100u8).filter(has_customer));
        }
    }
    assert_eq!(reported.len(), 100, "with more changed customers than a message holds, none is left out");
}
