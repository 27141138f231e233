//! Choice of a backend: draining, slow start and subsets.

use crate::support::gateway::{endpoint, is_rejected, sent_to, settings, GatewayHarness, SECOND, START};
use crate::support::gateway::{IDEMPOTENT, UNLIMITED};
use ingress::*;

#[test]
fn a_draining_backend_gets_no_new_requests() {
    let mut harness = GatewayHarness::new(settings(), 2);
    let drained = Endpoint { availability: Availability::Draining, ..endpoint(0) };
    harness.handle(Event::Endpoints(EndpointUpdate::Delta, vec![drained]));
    for n in 0..20 {
        let (_, actions) = harness.request(IDEMPOTENT, UNLIMITED, n, 1.0);
        assert!(sent_to(&actions).iter().all(|b| *b == BackendId(1)));
    }
    harness.handle(Event::Endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { availability: Availability::Gone, ..endpoint(1) }],
    ));
    let (_, held) = harness.request(IDEMPOTENT, UNLIMITED, 1, 1.0);
    assert!(sent_to(&held).is_empty());
    let later = harness.advance(SECOND);
    assert!(sent_to(&later).is_empty() && is_rejected(&later), "held, then refused in time");
}

/// With `max(1)` for each gateway, a backend that has just started would get 150 requests at once.
#[test]
fn slow_start_holds_over_a_hundred_and_fifty_gateways() {
    let (mut in_window, mut ever) = (0, 0);
    for me in 0..150 {
        let mut harness =
            GatewayHarness::new(Settings { own_id: GatewayId(me), gateway_count: 150, ..settings() }, 1);
        harness.handle(Event::Endpoints(
            EndpointUpdate::Snapshot,
            vec![Endpoint { started_at: START, ..endpoint(0) }],
        ));
        for n in 0..20 {
            in_window += sent_to(&harness.request(IDEMPOTENT, UNLIMITED, n, 1.0).1).len();
        }
        for n in 0..200 {
            ever += sent_to(&harness.advance(100_000)).len()
                + sent_to(&harness.request(IDEMPOTENT, UNLIMITED, n, 1.0).1).len();
        }
    }
    assert!(in_window <= 6, "{in_window} sent at once to a backend that has just started");
    assert!(ever > 100, "{ever}: it is warm in the end, and used");
}

/// Guards against backends that no gateway sends to: with many more backends than gateways each gateway sent
/// to 32 of them, so that at sixty backends to a gateway three in five would have been idle. Nor may a
/// request look at very many.
#[test]
fn every_backend_of_a_large_fleet_is_in_a_subset() {
    let (gateways, backends) = (40u16, 2_400);
    let mut used = std::collections::HashMap::new();
    for me in 0..gateways {
        let mut harness = GatewayHarness::new(
            Settings { own_id: GatewayId(me), gateway_count: gateways, ..settings() },
            backends,
        );
        for n in 0..2_000 {
            harness.now += 1_000;
            let (id, actions) = harness.request(IDEMPOTENT, UNLIMITED, n, 1.0);
            for backend in sent_to(&actions) {
                *used.entry(backend).or_insert(0u64) += 1;
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
    }
    let (most, all) = (used.values().max().unwrap(), used.values().sum::<u64>());
    assert!(used.len() as u64 * 1000 >= backends * 999, "{} of {backends} are used", used.len());
    assert!(*most < 6 * all / backends, "{most} of {all} at one");
}
