//! Choice of a backend: draining, slow start and subsets.

use crate::support::gateway::{listed, refused, sends, settings, Rig, S, T0};
use ingress::*;

#[test]
fn a_drained_backend_gets_nothing_new() {
    let mut rig = Rig::with(settings(), 2);
    let drained = Endpoint { availability: Availability::Draining, ..listed(0) };
    rig.feed(Event::Endpoints(EndpointUpdate::Delta, vec![drained]));
    for n in 0..20 {
        let (_, actions) = rig.ask(0, 0, n, 1.0);
        assert!(sends(&actions).iter().all(|b| *b == BackendId(1)));
    }
    rig.feed(Event::Endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { availability: Availability::Gone, ..listed(1) }],
    ));
    let (_, held) = rig.ask(0, 0, 1, 1.0);
    assert!(sends(&held).is_empty());
    let later = rig.pass(S);
    assert!(sends(&later).is_empty() && refused(&later), "held, then refused in time");
}

/// `max(1)` for each gateway would be 150 at once on a backend that has just started.
#[test]
fn a_cold_backend_is_not_flooded_by_a_hundred_and_fifty_gateways() {
    let (mut in_window, mut ever) = (0, 0);
    for me in 0..150 {
        let mut rig = Rig::with(Settings { own_id: GatewayId(me), gateway_count: 150, ..settings() }, 1);
        rig.feed(Event::Endpoints(EndpointUpdate::Snapshot, vec![Endpoint { started_at: T0, ..listed(0) }]));
        for n in 0..20 {
            in_window += sends(&rig.ask(0, 0, n, 1.0).1).len();
        }
        for n in 0..200 {
            ever += sends(&rig.pass(100_000)).len() + sends(&rig.ask(0, 0, n, 1.0).1).len();
        }
    }
    assert!(in_window <= 6, "{in_window} sent at once to a backend that has just started");
    assert!(ever > 100, "{ever}: it is warm in the end, and used");
}

/// Guards against backends that no gateway sends to: with many more backends than gateways each sent to 32 of them, so that
/// at sixty backends to a gateway three in five would have stood idle. Nor may a request look at very many.
#[test]
fn where_backends_are_many_none_is_left_out() {
    let (gateways, backends) = (40u16, 2_400);
    let mut used = std::collections::HashMap::new();
    for me in 0..gateways {
        let mut rig =
            Rig::with(Settings { own_id: GatewayId(me), gateway_count: gateways, ..settings() }, backends);
        for n in 0..2_000 {
            rig.now += 1_000;
            let (id, actions) = rig.ask(0, 0, n, 1.0);
            for backend in sends(&actions) {
                *used.entry(backend).or_insert(0u64) += 1;
                rig.settle(id, 0, backend, Outcome::Ok);
            }
        }
    }
    let (most, all) = (used.values().max().unwrap(), used.values().sum::<u64>());
    assert!(used.len() as u64 * 1000 >= backends * 999, "{} of {backends} are used", used.len());
    assert!(*most < 6 * all / backends, "{most} of {all} at one");
}
