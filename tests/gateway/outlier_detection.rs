//! Ejection of backends that fail or stay silent.

use crate::support::gateway::{listed, sends, settings, Fleet, Rig, S, T0};
use ingress::*;

/// A gateway that stood still reads all that came meanwhile before it judges anybody by its own pause.
#[test]
fn waking_from_a_stall_rests_no_backend() {
    let mut rig = Rig::with(settings(), 1);
    let (id, actions) = rig.ask(0, 0, 1, 1.0);
    assert_eq!(sends(&actions).len(), 1);
    rig.now += 2 * S;
    let woken = rig.feed(Event::ClientDisconnected(RequestId(99)));
    assert!(!woken
        .iter()
        .any(|a| matches!(a, Action::Cancel { .. } | Action::Reject { .. } | Action::Send { .. })));
    rig.settle(id, 0, BackendId(0), Outcome::Ok);
    rig.pass(100_000);
    assert_eq!(sends(&rig.ask(0, 0, 2, 1.0).1).len(), 1, "its answer had come: it is not resting");
}

/// A backend that is silent to one class goes on serving the others.
#[test]
fn silence_to_one_class_rests_a_backend_for_that_class_alone() {
    let mut rig = Rig::with(settings(), 2);
    for n in 0..40 {
        let (id, actions) = rig.ask(2, 0, 100 + n, 1.0); // never answered at backend 0
        let silent = sends(&actions) == [BackendId(0)];
        for backend in sends(&actions).into_iter().filter(|_| !silent) {
            rig.settle(id, 0, backend, Outcome::Ok);
        }
        rig.pass(400_000);
        if silent {
            rig.settle(id, 0, BackendId(0), Outcome::TimedOut);
        }
        let (id, actions) = rig.ask(0, 0, n, 1.0);
        for backend in sends(&actions) {
            rig.settle(id, 0, backend, Outcome::Ok);
        }
    }
    let (mut once, mut safe) = ([0, 0], [0, 0]);
    for n in 0..20 {
        for (class, count) in [(2, &mut once), (0, &mut safe)] {
            let (id, actions) = rig.ask(class, 0, n, 1.0);
            for backend in sends(&actions) {
                count[backend.0 as usize] += 1;
                if class == 0 || backend.0 == 1 {
                    rig.settle(id, 0, backend, Outcome::Ok);
                }
            }
        }
    }
    assert!(once[0] <= 1 && once[1] >= 19, "{once:?}");
    assert!(safe[0] >= 3, "{safe:?}");
}

/// Guards against each of a hundred gateways finding out for itself that a backend is silent: at a few requests a
/// second each it went on getting a good part of its share.
#[test]
fn a_hundred_gateways_learn_of_a_silent_backend_together() {
    let mut fleet = Fleet::new(100);
    for rig in &mut fleet.rigs {
        rig.feed(Event::Endpoints(EndpointUpdate::Snapshot, (0..30).map(listed).collect()));
    }
    let (mut all, mut silent) = (0, 0);
    for n in 0..2000usize {
        for at in [n * 37 % 100, n * 41 % 100, n * 53 % 100, n * 61 % 100] {
            let (_, actions) = fleet.rigs[at].ask_of(0, 0, 7000 + n as u64 * 31 % 400, 1.0, 100.0);
            let held = fleet.rigs[at].pass(20_000); // its timers, too
            let mut queue: Vec<(usize, Action)> = actions.into_iter().chain(held).map(|a| (at, a)).collect();
            while let Some((at, action)) = queue.pop() {
                match action {
                    // The first five seconds are for learning.
                    Action::Send { backend: BackendId(0), .. } => silent += usize::from(n >= 500),
                    Action::Send { id, backend, .. } => {
                        all += usize::from(n >= 500);
                        let more = fleet.rigs[at].settle(id, 0, backend, Outcome::Ok);
                        queue.extend(more.into_iter().map(|a| (at, a)));
                    }
                    Action::SendToPeer { to: Some(to), bytes } => {
                        let event = Event::PeerMessage { from: GatewayId(at as u16), bytes };
                        let more = fleet.rigs[usize::from(to.0)].feed(event);
                        queue.extend(more.into_iter().map(|a| (usize::from(to.0), a)));
                    }
                    _ => {}
                }
            }
        }
        let now = T0 + (n as u64 + 1) * 10_000;
        fleet.rigs.iter_mut().for_each(|rig| rig.now = rig.now.max(now));
    }
    assert!(
        all > 5000 && silent * 300 < all,
        "{silent} of {all} sent to one of 30 backends, which is silent"
    );
}
