//! Final answers: deadlines, disconnects and malformed events.

use crate::support::gateway::{is_failed, is_rejected, sent_to, settings, GatewayHarness, SECOND, START};
use crate::support::gateway::{IDEMPOTENT, NON_IDEMPOTENT, RATE_QUOTA, UNLIMITED};
use ingress::*;

#[test]
fn a_request_close_to_its_deadline_is_rejected_immediately() {
    // Found by a day drawn to test the rules: a client's last try came with a few milliseconds left, was
    // held for want of a place, and the next wake-up was past its deadline.
    let mut harness = GatewayHarness::new(settings(), 1);
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, vec![]));
    let base = Request { id: RequestId(1), units: 1.0, gateway_set_size: 3.0, ..Request::default() };
    assert!(is_rejected(&harness.handle(Event::Request(Request { deadline: harness.now + 10_000, ..base }))));
    let held = Request { id: RequestId(2), deadline: harness.now + 100_000, ..base };
    assert!(!is_rejected(&harness.handle(Event::Request(held))));
    assert!(is_rejected(&harness.advance(80_000)), "held, and answered before its deadline");
}

/// Found on simulated days whose gateways stall: a request that waited when the stall began was past its
/// deadline when it ended, and the next timer was too late by 12 ms. It is answered with the first event
/// after a stall.
#[test]
fn requests_that_expired_during_a_stall_are_rejected_by_the_first_event_after_it() {
    let mut harness = GatewayHarness::new(settings(), 1);
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, vec![]));
    harness.advance(SECOND);
    let held = Request {
        id: RequestId(1),
        units: 1.0,
        gateway_set_size: 3.0,
        deadline: harness.now + SECOND,
        ..Request::default()
    };
    assert!(!is_rejected(&harness.handle(Event::Request(held))));
    harness.now += SECOND + 12_000;
    assert!(is_rejected(&harness.handle(Event::ClientDisconnected(RequestId(99)))));
}

/// A request of a disconnected client is not sent, whatever it waits for: the concurrency limit, a grant of a
/// quota owner, or a retry. This holds with and without permission to cancel, since what is not in flight yet
/// needs none.
#[test]
fn a_request_of_a_disconnected_client_is_not_sent() {
    for cancel in [true, false] {
        let s = || Settings { limits: Limits { cancellation: cancel, ..settings().limits }, ..settings() };
        // For a place: the bound of one backend is reached.
        let mut harness = GatewayHarness::new(Settings { gateway_count: 1, ..s() }, 1);
        let asked: Vec<_> = (0..12).map(|n| harness.request(IDEMPOTENT, UNLIMITED, n, 1.0)).collect();
        let (out, wait): (Vec<_>, Vec<_>) = asked.iter().partition(|(_, a)| !sent_to(a).is_empty());
        let wait: Vec<_> = wait.into_iter().filter(|(_, a)| !is_rejected(a)).collect();
        assert!(!out.is_empty() && !wait.is_empty(), "{} out, {} wait", out.len(), wait.len());
        for (id, _) in &wait {
            assert!(sent_to(&harness.handle(Event::ClientDisconnected(*id))).is_empty());
        }
        for (id, actions) in &out {
            let freed = harness.end_attempt(*id, 0, sent_to(actions)[0], Outcome::Ok);
            assert!(sent_to(&freed).is_empty(), "a place fell free for one that had left");
        }
        assert!(sent_to(&harness.advance(SECOND)).is_empty());

        // For a home's word, in a fleet where one home counts; the time of waiting for it ends.
        let mut harness = GatewayHarness::new(Settings { gateway_count: 100, ..s() }, 6);
        let asked: Vec<_> = (0..20).map(|n| harness.request(NON_IDEMPOTENT, RATE_QUOTA, n, 1.0)).collect();
        let held: Vec<_> = asked.iter().filter(|(_, a)| sent_to(a).is_empty() && !is_rejected(a)).collect();
        assert!(held.len() > 5, "{} of 20 are held", held.len());
        for (id, _) in &held {
            assert!(sent_to(&harness.handle(Event::ClientDisconnected(*id))).is_empty());
        }
        assert!(sent_to(&harness.advance(SECOND)).is_empty());

        // For a further attempt: the one that is out fails behind it.
        let mut harness = GatewayHarness::new(s(), 6);
        let (id, actions) = harness.request(IDEMPOTENT, UNLIMITED, 1, 1.0);
        harness.handle(Event::ClientDisconnected(id));
        let end = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::ConnectFailed);
        assert!(sent_to(&end).is_empty() && sent_to(&harness.advance(SECOND)).is_empty());
    }
}

#[test]
fn an_attempt_that_ends_after_a_disconnect_gets_no_final_answer() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, actions) = harness.request(IDEMPOTENT, UNLIMITED, 1, 1.0);
    harness.handle(Event::ClientDisconnected(id));
    let late = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::TimedOut);
    assert!(!is_rejected(&late) && !is_failed(&late) && sent_to(&late).is_empty());
    assert!(harness.handle(Event::ClientDisconnected(id)).is_empty());
}

#[test]
fn malformed_events_get_at_most_one_final_answer() {
    let mut harness = GatewayHarness::new(settings(), 2);
    for bytes in [vec![], vec![1; 5], vec![9; 40], vec![1; 256], vec![2; 300], vec![255; 19]] {
        for from in [0, 1, 2, 900] {
            let actions = harness.handle(Event::PeerMessage { from: GatewayId(from), bytes: bytes.clone() });
            assert!(sent_to(&actions).is_empty());
        }
    }
    let base = Request {
        id: RequestId(500),
        deadline: START + SECOND,
        units: 1.0,
        gateway_set_size: 3.0,
        ..Request::default()
    };
    let odd = [
        Request { class: 99, ..base },
        Request { plan: 99, id: RequestId(501), ..base },
        Request { units: f64::NAN, id: RequestId(502), ..base },
        Request { deadline: 0, id: RequestId(503), ..base },
    ];
    for req in odd {
        let actions = harness.handle(Event::Request(req));
        let answers = actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)));
        assert_eq!(answers.count(), 1);
        assert!(sent_to(&actions).is_empty());
    }
    for set_size in [0.0, f64::NAN, -3.0, 1e30] {
        harness.next_request_id += 1000;
        let id = RequestId(harness.next_request_id);
        harness.handle(Event::Request(Request {
            id,
            gateway_set_size: set_size,
            gateway_set_start: f64::NAN,
            ..base
        }));
    }
    harness.end_attempt(RequestId(77_777), 3, BackendId(99), Outcome::Ok);
    harness.handle(Event::FirstByte { id: RequestId(77_777), attempt: 9 });
    harness.handle(Event::Timer(12345));
}
