//! Usage reports between gateways.

use crate::support::gateway::{is_rejected, sent_to, settings, GatewayHarness, SECOND};
use crate::support::gateway::{IDEMPOTENT, RATE_QUOTA, UNLIMITED};
use ingress::*;

#[test]
fn usage_reports_converge_despite_loss_and_duplicates() {
    let mut other = GatewayHarness::new(Settings { own_id: GatewayId(1), ..settings() }, 4);
    let mut harness = GatewayHarness::new(settings(), 4);
    harness.advance(4 * SECOND);
    other.advance(4 * SECOND);
    harness.request(IDEMPOTENT, RATE_QUOTA, 9, 0.5);
    other.request(IDEMPOTENT, RATE_QUOTA, 9, 2.0);
    other.advance(200_000); // these messages are lost
    other.request(IDEMPOTENT, RATE_QUOTA, 9, 3.0);
    let told: Vec<Vec<u8>> = other
        .advance(300_000)
        .into_iter()
        .filter_map(|a| if let Action::SendToPeer { bytes, .. } = a { Some(bytes) } else { None })
        .collect();
    for bytes in told.iter().chain(told.iter().rev()) {
        harness.handle(Event::PeerMessage { from: GatewayId(1), bytes: bytes.clone() });
    }
    // 6 units less 0.5 here and 5 there: a request of 3 finds no room, though this gateway sent half a unit.
    assert!(is_rejected(&harness.request(IDEMPOTENT, RATE_QUOTA, 9, 3.0).1));
}

#[test]
fn usage_reports_cover_every_customer_in_turn() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..20 {
        for n in 0..100 {
            let (id, actions) = harness.request(IDEMPOTENT, UNLIMITED, n, 1.0);
            for backend in sent_to(&actions) {
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
        for action in harness.advance(100_000) {
            if let Action::SendToPeer { bytes, .. } = action {
                told.extend((0..100u8).filter(|n| bytes.windows(5).any(|w| w == [*n, 0, 0, 0, 0])));
            }
        }
    }
    assert_eq!(told.len(), 100, "with more changed customers than a message holds, none is left out");
}
