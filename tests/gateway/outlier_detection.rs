//! Ejection of backends that fail or are silent.

use crate::support::fleet::Fleet;
use crate::support::gateway::{sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{settings, IDEMPOTENT, NON_IDEMPOTENT, SECOND, START, UNLIMITED};
use ingress::*;

/// The gateway stalls for two seconds while a request is in flight, and the backend's reply waits to be
/// read. If the stall were taken for silence of the backend, the gateway would eject a healthy backend and
/// send the request a second time.
#[test]
fn a_stall_of_the_gateway_ejects_no_backend() {
    let mut harness = GatewayHarness::new(settings(), 1);
    let SubmittedRequest { id, actions } = harness.request(IDEMPOTENT, UNLIMITED, 1, 1.0);
    assert_eq!(sent_to(&actions).len(), 1);
    harness.now += SECOND * 2;
    let actions_after_stall = harness.handle(Event::RequestClosed(RequestId(99)));
    assert!(!actions_after_stall
        .iter()
        .any(|action| matches!(action, Action::Cancel { .. } | Action::Reject { .. } | Action::Send { .. })));
    harness.end_attempt(id, 0, BackendId(0), Outcome::Ok);
    harness.advance(Duration::from_millis(100));
    assert_eq!(
        sent_to(&harness.request(IDEMPOTENT, UNLIMITED, 2, 1.0).actions).len(),
        1,
        "the backend answered during the stall and is not ejected"
    );
}

/// A backend doesn't answer one class of requests, for example because the database behind that class is
/// down. The silence ejects it for that class only; its timeouts alone don't count as failures. It still
/// serves the other classes, so ejecting it for all of them would waste capacity.
#[test]
fn silence_to_one_class_ejects_a_backend_for_that_class_only() {
    let mut harness = GatewayHarness::new(settings(), 2);
    for customer in 0..40 {
        let SubmittedRequest { id, actions } =
            harness.request(NON_IDEMPOTENT, UNLIMITED, 100 + customer, 1.0); // never answered at backend 0
        let is_silent = sent_to(&actions) == [BackendId(0)];
        for backend in sent_to(&actions).into_iter().filter(|_| !is_silent) {
            harness.end_attempt(id, 0, backend, Outcome::Ok);
        }
        harness.advance(Duration::from_millis(400));
        if is_silent {
            harness.end_attempt(id, 0, BackendId(0), Outcome::TimedOut);
        }
        let SubmittedRequest { id, actions } = harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0);
        for backend in sent_to(&actions) {
            harness.end_attempt(id, 0, backend, Outcome::Ok);
        }
    }
    let (mut non_idempotent, mut idempotent) = ([0, 0], [0, 0]);
    for customer in 0..20 {
        for (class, count) in [(NON_IDEMPOTENT, &mut non_idempotent), (IDEMPOTENT, &mut idempotent)] {
            let SubmittedRequest { id, actions } = harness.request(class, UNLIMITED, customer, 1.0);
            for backend in sent_to(&actions) {
                count[backend.0 as usize] += 1;
                if class == IDEMPOTENT || backend.0 == 1 {
                    harness.end_attempt(id, 0, backend, Outcome::Ok);
                }
            }
        }
    }
    assert!(non_idempotent[0] <= 1 && non_idempotent[1] >= 19, "{non_idempotent:?}");
    assert!(idempotent[0] >= 3, "{idempotent:?}");
}

/// Numbers of attempts sent to backends that answer and to the silent one.
#[derive(Default)]
struct AttemptCounts {
    answered: usize,
    at_silent_backend: usize,
}

/// Executes the actions of a gateway and those that follow from them. Backend 0 never answers; the others
/// answer immediately.
fn execute_with_silent_backend(fleet: &mut Fleet, from: usize, actions: Vec<Action>) -> AttemptCounts {
    let mut counts = AttemptCounts::default();
    let mut queue: Vec<(usize, Action)> = actions.into_iter().map(|action| (from, action)).collect();
    while let Some((index, action)) = queue.pop() {
        match action {
            Action::Send { backend: BackendId(0), .. } => counts.at_silent_backend += 1,
            Action::Send { id, backend, .. } => {
                counts.answered += 1;
                let more = fleet.gateways[index].end_attempt(id, 0, backend, Outcome::Ok);
                queue.extend(more.into_iter().map(|action| (index, action)));
            }
            Action::SendToPeer { to: Some(GatewayId(to)), bytes } => {
                let to = usize::from(to);
                let event = Event::PeerMessage { from: GatewayId(index as u16), bytes };
                let more = fleet.gateways[to].handle(event);
                queue.extend(more.into_iter().map(|action| (to, action)));
            }
            _ => {}
        }
    }
    counts
}

/// One of 30 backends stops answering, and each of 100 gateways sends it a request only rarely. If each
/// gateway had to detect this by itself, many requests would be sent to it and get no reply; with shared
/// observations it receives hardly any request after some seconds.
#[test]
fn a_hundred_gateways_share_observations_of_a_silent_backend() {
    let mut fleet = Fleet::new(100);
    for harness in &mut fleet.gateways {
        harness.update_endpoints(EndpointUpdate::Snapshot, 30);
    }
    let (mut all, mut silent) = (0, 0);
    for step in 0..2000usize {
        for index in [step * 37 % 100, step * 41 % 100, step * 53 % 100, step * 61 % 100] {
            let harness = &mut fleet.gateways[index];
            let customer = 7000 + step as u64 * 31 % 400;
            let mut actions = harness.request_from_set(IDEMPOTENT, UNLIMITED, customer, 1.0, 100.0).actions;
            actions.extend(harness.advance(Duration::from_millis(20))); // runs the gateway's timers
            let counts = execute_with_silent_backend(&mut fleet, index, actions);
            // The gateways detect the silence during the first five seconds.
            if step >= 500 {
                all += counts.answered;
                silent += counts.at_silent_backend;
            }
        }
        let now = START + Duration::from_millis(10) * (step as u64 + 1);
        fleet.gateways.iter_mut().for_each(|harness| harness.now = harness.now.max(now));
    }
    assert!(
        all > 5000 && silent * 300 < all,
        "{silent} of {all} attempts were sent to the silent one of 30 backends"
    );
}
