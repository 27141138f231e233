//! Tests of the usage reports that gateways exchange.

use crate::support::gateway::{is_rejected, sent_messages, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{settings, settings_of, IDEMPOTENT, RATE_QUOTA, SECOND, UNLIMITED};
use ingress::*;

/// Another gateway uses most of a customer's quota. Its first reports are lost, and later ones arrive twice
/// and out of order. Without the correct usage this gateway would admit requests over the quota.
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
    // 6 units less 0.5 here and 5 there: too few for a request of 3, though this gateway sent only half a
    // unit.
    assert!(is_rejected(&harness.request(IDEMPOTENT, RATE_QUOTA, 9, 3.0).actions));
}

/// A hundred customers are active, more than fit in one message. A customer that is never reported could use
/// its full quota at every gateway.
#[test]
fn every_customer_is_reported_when_one_message_cannot_hold_all() {
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
    assert_eq!(reported.len(), 100, "every customer is reported, though a message holds fewer");
}
