//! Choice of a backend: draining, slow start and subsets.

use crate::support::gateway::{is_rejected, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{endpoint, settings, settings_of, IDEMPOTENT, SECOND, START, UNLIMITED};
use ingress::*;

/// One backend is draining and the other one is removed. Requests are sent only to a backend that accepts
/// new ones; without one a request waits and is rejected before its client gives up.
#[test]
fn a_draining_backend_gets_no_new_requests() {
    let mut harness = GatewayHarness::new(settings(), 2);
    let draining = Endpoint { availability: Availability::Draining, ..endpoint(0) };
    harness.handle(Event::Endpoints(EndpointUpdate::Delta, vec![draining]));
    for customer in 0..20 {
        let actions = harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0).actions;
        assert!(sent_to(&actions).iter().all(|backend| *backend == BackendId(1)));
    }
    harness.handle(Event::Endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { availability: Availability::Gone, ..endpoint(1) }],
    ));
    let waiting = harness.request(IDEMPOTENT, UNLIMITED, 1, 1.0).actions;
    assert!(sent_to(&waiting).is_empty());
    let later = harness.advance(SECOND);
    assert!(
        sent_to(&later).is_empty() && is_rejected(&later),
        "the request waits and is then rejected before its deadline"
    );
}

/// A backend has just started and can serve only a few requests, and 150 gateways have no record of each
/// other's attempts. If each sent one at once, they would overload the backend. Together they send at most
/// six, and more once slow start is over.
#[test]
fn slow_start_limits_the_attempts_of_a_hundred_and_fifty_gateways() {
    let (mut sent_at_once, mut sent_later) = (0, 0);
    for own_id in 0..150 {
        let mut harness = GatewayHarness::new(settings_of(own_id, 150), 1);
        harness.handle(Event::Endpoints(
            EndpointUpdate::Snapshot,
            vec![Endpoint { started_at: Some(START), ..endpoint(0) }],
        ));
        for customer in 0..20 {
            sent_at_once += sent_to(&harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0).actions).len();
        }
        for customer in 0..200 {
            sent_later += sent_to(&harness.advance(Duration::from_millis(100))).len()
                + sent_to(&harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0).actions).len();
        }
    }
    assert!(
        sent_at_once <= 6,
        "{sent_at_once} attempts were sent at once to a backend that has just started"
    );
    assert!(sent_later > 100, "only {sent_later} attempts were sent after slow start");
}

/// There are sixty times as many backends as gateways, and each gateway sends only to a subset. With a
/// fixed subset size of 32, three in five backends would be idle while the others receive all the load.
#[test]
fn every_backend_of_a_large_fleet_is_in_a_subset() {
    let (gateways, backends) = (40u16, 2_400);
    let mut attempts_by_backend = std::collections::HashMap::new();
    for own_id in 0..gateways {
        let mut harness = GatewayHarness::new(settings_of(own_id, gateways), backends);
        for customer in 0..2_000 {
            harness.now += Duration::from_millis(1);
            let SubmittedRequest { id, actions } = harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0);
            for backend in sent_to(&actions) {
                *attempts_by_backend.entry(backend).or_insert(0u64) += 1;
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
    }
    let (most, all) =
        (attempts_by_backend.values().max().unwrap(), attempts_by_backend.values().sum::<u64>());
    assert!(
        attempts_by_backend.len() as u64 * 1000 >= backends * 999,
        "only {} of {backends} backends are used",
        attempts_by_backend.len()
    );
    assert!(*most < 6 * all / backends, "{most} of {all} attempts were sent to one backend");
}
