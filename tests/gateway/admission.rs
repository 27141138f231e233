//! Final answers: deadlines, disconnects and malformed events.

use crate::support::gateway::{failed, refused, sends, settings, Rig, S, T0};
use ingress::*;

#[test]
fn a_request_with_next_to_no_time_left_is_answered_at_once() {
    // Found by a day drawn to test the rules: a client's last try came with a few milliseconds left, was
    // held for want of a place, and the next wake-up was past its deadline.
    let mut rig = Rig::with(settings(), 1);
    rig.feed(Event::Endpoints(EndpointUpdate::Snapshot, vec![]));
    let base = Request { id: RequestId(1), units: 1.0, gateway_set_size: 3.0, ..Request::default() };
    assert!(refused(&rig.feed(Event::Request(Request { deadline: rig.now + 10_000, ..base }))));
    let held = Request { id: RequestId(2), deadline: rig.now + 100_000, ..base };
    assert!(!refused(&rig.feed(Event::Request(held))));
    assert!(refused(&rig.pass(80_000)), "held, and answered before its deadline");
}

/// Found by a hunt on days whose gateways stand still: what was held when a stall began was past its deadline
/// when it ended, and the next wake-up was too late by 12 ms. It is answered with the first event after a stall.
#[test]
fn what_a_stall_outlasted_is_answered_in_the_waking_turn() {
    let mut rig = Rig::with(settings(), 1);
    rig.feed(Event::Endpoints(EndpointUpdate::Snapshot, vec![]));
    rig.pass(S);
    let held = Request {
        id: RequestId(1),
        units: 1.0,
        gateway_set_size: 3.0,
        deadline: rig.now + S,
        ..Request::default()
    };
    assert!(!refused(&rig.feed(Event::Request(held))));
    rig.now += S + 12_000;
    assert!(refused(&rig.feed(Event::ClientDisconnected(RequestId(99)))));
}

/// A request whose client has left goes nowhere, whatever it waited for: a place, a home's word, a further attempt.
/// With and without leave to cancel, since what is not out yet needs none.
#[test]
fn a_request_whose_client_has_left_is_not_sent_on() {
    for cancel in [true, false] {
        let s = || Settings { limits: Limits { cancellation: cancel, ..settings().limits }, ..settings() };
        // For a place: the bound of one backend is reached.
        let mut rig = Rig::with(Settings { gateway_count: 1, ..s() }, 1);
        let asked: Vec<_> = (0..12).map(|n| rig.ask(0, 0, n, 1.0)).collect();
        let (out, wait): (Vec<_>, Vec<_>) = asked.iter().partition(|(_, a)| !sends(a).is_empty());
        let wait: Vec<_> = wait.into_iter().filter(|(_, a)| !refused(a)).collect();
        assert!(!out.is_empty() && !wait.is_empty(), "{} out, {} wait", out.len(), wait.len());
        for (id, _) in &wait {
            assert!(sends(&rig.feed(Event::ClientDisconnected(*id))).is_empty());
        }
        for (id, actions) in &out {
            let freed = rig.settle(*id, 0, sends(actions)[0], Outcome::Ok);
            assert!(sends(&freed).is_empty(), "a place fell free for one that had left");
        }
        assert!(sends(&rig.pass(S)).is_empty());

        // For a home's word, in a fleet where one home counts; the time of waiting for it ends.
        let mut rig = Rig::with(Settings { gateway_count: 100, ..s() }, 6);
        let asked: Vec<_> = (0..20).map(|n| rig.ask(2, 1, n, 1.0)).collect();
        let held: Vec<_> = asked.iter().filter(|(_, a)| sends(a).is_empty() && !refused(a)).collect();
        assert!(held.len() > 5, "{} of 20 are held", held.len());
        for (id, _) in &held {
            assert!(sends(&rig.feed(Event::ClientDisconnected(*id))).is_empty());
        }
        assert!(sends(&rig.pass(S)).is_empty());

        // For a further attempt: the one that is out fails behind it.
        let mut rig = Rig::with(s(), 6);
        let (id, actions) = rig.ask(0, 0, 1, 1.0);
        rig.feed(Event::ClientDisconnected(id));
        let end = rig.settle(id, 0, sends(&actions)[0], Outcome::ConnectFailed);
        assert!(sends(&end).is_empty() && sends(&rig.pass(S)).is_empty());
    }
}

#[test]
fn an_end_that_races_the_gateways_own_gets_no_second_answer() {
    let mut rig = Rig::with(settings(), 4);
    let (id, actions) = rig.ask(0, 0, 1, 1.0);
    rig.feed(Event::ClientDisconnected(id));
    let late = rig.settle(id, 0, sends(&actions)[0], Outcome::TimedOut);
    assert!(!refused(&late) && !failed(&late) && sends(&late).is_empty());
    assert!(rig.feed(Event::ClientDisconnected(id)).is_empty());
}

#[test]
fn hostile_input_gets_one_harmless_answer_or_none() {
    let mut rig = Rig::with(settings(), 2);
    for bytes in [vec![], vec![1; 5], vec![9; 40], vec![1; 256], vec![2; 300], vec![255; 19]] {
        for from in [0, 1, 2, 900] {
            let actions = rig.feed(Event::PeerMessage { from: GatewayId(from), bytes: bytes.clone() });
            assert!(sends(&actions).is_empty());
        }
    }
    let base = Request {
        id: RequestId(500),
        deadline: T0 + S,
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
        let actions = rig.feed(Event::Request(req));
        let answers = actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)));
        assert_eq!(answers.count(), 1);
        assert!(sends(&actions).is_empty());
    }
    for width in [0.0, f64::NAN, -3.0, 1e30] {
        rig.next += 1000;
        let id = RequestId(rig.next);
        rig.feed(Event::Request(Request {
            id,
            gateway_set_size: width,
            gateway_set_start: f64::NAN,
            ..base
        }));
    }
    rig.settle(RequestId(77_777), 3, BackendId(99), Outcome::Ok);
    rig.feed(Event::FirstByte { id: RequestId(77_777), attempt: 9 });
    rig.feed(Event::Timer(12345));
}
