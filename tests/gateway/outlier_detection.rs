//! Ejection of backends that fail or stay silent.

use crate::support::gateway::{endpoint, sent_to, settings, Fleet, GatewayHarness, SECOND, START};
use crate::support::gateway::{IDEMPOTENT, NON_IDEMPOTENT, UNLIMITED};
use ingress::*;

/// A gateway that stalled handles all that arrived meanwhile before it takes the time of its own stall for
/// silence of a backend.
#[test]
fn a_stall_of_the_gateway_ejects_no_backend() {
    let mut harness = GatewayHarness::new(settings(), 1);
    let (id, actions) = harness.request(IDEMPOTENT, UNLIMITED, 1, 1.0);
    assert_eq!(sent_to(&actions).len(), 1);
    harness.now += 2 * SECOND;
    let woken = harness.handle(Event::ClientDisconnected(RequestId(99)));
    assert!(!woken
        .iter()
        .any(|a| matches!(a, Action::Cancel { .. } | Action::Reject { .. } | Action::Send { .. })));
    harness.end_attempt(id, 0, BackendId(0), Outcome::Ok);
    harness.advance(100_000);
    assert_eq!(
        sent_to(&harness.request(IDEMPOTENT, UNLIMITED, 2, 1.0).1).len(),
        1,
        "its answer had come: it is not resting"
    );
}

/// A backend that is silent to one class goes on serving the others.
#[test]
fn timeouts_of_one_class_eject_a_backend_for_that_class_only() {
    let mut harness = GatewayHarness::new(settings(), 2);
    for n in 0..40 {
        let (id, actions) = harness.request(NON_IDEMPOTENT, UNLIMITED, 100 + n, 1.0); // never answered at backend 0
        let silent = sent_to(&actions) == [BackendId(0)];
        for backend in sent_to(&actions).into_iter().filter(|_| !silent) {
            harness.end_attempt(id, 0, backend, Outcome::Ok);
        }
        harness.advance(400_000);
        if silent {
            harness.end_attempt(id, 0, BackendId(0), Outcome::TimedOut);
        }
        let (id, actions) = harness.request(IDEMPOTENT, UNLIMITED, n, 1.0);
        for backend in sent_to(&actions) {
            harness.end_attempt(id, 0, backend, Outcome::Ok);
        }
    }
    let (mut once, mut safe) = ([0, 0], [0, 0]);
    for n in 0..20 {
        for (class, count) in [(2, &mut once), (0, &mut safe)] {
            let (id, actions) = harness.request(class, UNLIMITED, n, 1.0);
            for backend in sent_to(&actions) {
                count[backend.0 as usize] += 1;
                if class == 0 || backend.0 == 1 {
                    harness.end_attempt(id, 0, backend, Outcome::Ok);
                }
            }
        }
    }
    assert!(once[0] <= 1 && once[1] >= 19, "{once:?}");
    assert!(safe[0] >= 3, "{safe:?}");
}

/// Guards against each of a hundred gateways finding out for itself that a backend is silent: at a few
/// requests a second each, the backend went on getting a good part of its share.
#[test]
fn a_hundred_gateways_share_observations_of_a_silent_backend() {
    let mut fleet = Fleet::new(100);
    for harness in &mut fleet.gateways {
        harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, (0..30).map(endpoint).collect()));
    }
    let (mut all, mut silent) = (0, 0);
    for n in 0..2000usize {
        for at in [n * 37 % 100, n * 41 % 100, n * 53 % 100, n * 61 % 100] {
            let (_, actions) = fleet.gateways[at].request_from_set(
                IDEMPOTENT,
                UNLIMITED,
                7000 + n as u64 * 31 % 400,
                1.0,
                100.0,
            );
            let held = fleet.gateways[at].advance(20_000); // its timers, too
            let mut queue: Vec<(usize, Action)> = actions.into_iter().chain(held).map(|a| (at, a)).collect();
            while let Some((at, action)) = queue.pop() {
                match action {
                    // The first five seconds are for learning.
                    Action::Send { backend: BackendId(0), .. } => silent += usize::from(n >= 500),
                    Action::Send { id, backend, .. } => {
                        all += usize::from(n >= 500);
                        let more = fleet.gateways[at].end_attempt(id, 0, backend, Outcome::Ok);
                        queue.extend(more.into_iter().map(|a| (at, a)));
                    }
                    Action::SendToPeer { to: Some(to), bytes } => {
                        let event = Event::PeerMessage { from: GatewayId(at as u16), bytes };
                        let more = fleet.gateways[usize::from(to.0)].handle(event);
                        queue.extend(more.into_iter().map(|a| (usize::from(to.0), a)));
                    }
                    _ => {}
                }
            }
        }
        let now = START + (n as u64 + 1) * 10_000;
        fleet.gateways.iter_mut().for_each(|harness| harness.now = harness.now.max(now));
    }
    assert!(
        all > 5000 && silent * 300 < all,
        "{silent} of {all} sent to one of 30 backends, which is silent"
    );
}
