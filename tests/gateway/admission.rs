//! Final answers: deadlines, disconnects and malformed events.

use crate::support::gateway::{is_failed, is_rejected, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{settings, IDEMPOTENT, NON_IDEMPOTENT, RATE_QUOTA, SECOND, START, UNLIMITED};
use ingress::*;

/// A client retries with a few milliseconds left while no backend is available. If the request were queued,
/// the next timer would run after its deadline and the client would get no answer, so it is rejected
/// immediately. A request with more time left is queued, and answered before its deadline.
#[test]
fn a_request_close_to_its_deadline_is_rejected_immediately() {
    let mut harness = GatewayHarness::new(settings(), 1);
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, vec![]));
    let base = Request { id: RequestId(1), units: 1.0, gateway_set_size: 3.0, ..Request::default() };
    let late = Request { deadline: harness.now + Duration::from_millis(10), ..base };
    assert!(is_rejected(&harness.handle(Event::Request(late))));
    let waiting = Request { id: RequestId(2), deadline: harness.now + Duration::from_millis(100), ..base };
    assert!(!is_rejected(&harness.handle(Event::Request(waiting))));
    assert!(
        is_rejected(&harness.advance(Duration::from_millis(80))),
        "a queued request is rejected before its deadline"
    );
}

/// The process stalls beyond the deadline of a queued request. If only timers rejected it, the next one
/// could run 12 ms after the client gave up, so the first event after the stall answers it, whatever it is.
#[test]
fn requests_that_expired_during_a_stall_are_rejected_by_the_first_event_after_it() {
    let mut harness = GatewayHarness::new(settings(), 1);
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, vec![]));
    harness.advance(SECOND);
    let waiting = Request {
        id: RequestId(1),
        units: 1.0,
        gateway_set_size: 3.0,
        deadline: harness.now + SECOND,
        ..Request::default()
    };
    assert!(!is_rejected(&harness.handle(Event::Request(waiting))));
    harness.now += SECOND + Duration::from_millis(12);
    assert!(is_rejected(&harness.handle(Event::RequestClosed(RequestId(99)))));
}

/// A client disconnects while its request waits for the concurrency limit, a grant or a retry. No attempt
/// may be sent after that, since the backend would do useless work. Nothing is in flight yet, so this holds
/// even if the settings forbid cancellation.
#[test]
fn a_request_of_a_disconnected_client_is_not_sent() {
    for cancellation in [true, false] {
        let settings = || Settings { limits: Limits { cancellation, ..settings().limits }, ..settings() };
        disconnects_while_waiting_for_the_concurrency_limit(settings());
        disconnects_while_waiting_for_a_grant(settings());
        disconnects_before_the_attempt_fails(settings());
    }
}

/// Disconnects clients while the concurrency limit is reached at the only backend.
fn disconnects_while_waiting_for_the_concurrency_limit(settings: Settings) {
    let mut harness = GatewayHarness::new(Settings { gateway_count: 1, ..settings }, 1);
    let requests: Vec<_> =
        (0..12).map(|customer| harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0)).collect();
    let (in_flight, others): (Vec<_>, Vec<_>) =
        requests.iter().partition(|request| !sent_to(&request.actions).is_empty());
    let waiting: Vec<_> = others.into_iter().filter(|request| !is_rejected(&request.actions)).collect();
    assert!(
        !in_flight.is_empty() && !waiting.is_empty(),
        "{} requests are in flight, {} are waiting",
        in_flight.len(),
        waiting.len()
    );
    for request in &waiting {
        assert!(sent_to(&harness.handle(Event::RequestClosed(request.id))).is_empty());
    }
    for request in &in_flight {
        let after_end = harness.end_attempt(request.id, 0, sent_to(&request.actions)[0], Outcome::Ok);
        assert!(sent_to(&after_end).is_empty(), "an attempt was sent for a disconnected client");
    }
    assert!(sent_to(&harness.advance(SECOND)).is_empty());
}

/// Disconnects clients while their requests wait for a grant, in a fleet with one quota owner per customer.
fn disconnects_while_waiting_for_a_grant(settings: Settings) {
    let mut harness = GatewayHarness::new(Settings { gateway_count: 100, ..settings }, 6);
    let requests: Vec<_> =
        (0..20).map(|customer| harness.request(NON_IDEMPOTENT, RATE_QUOTA, customer, 1.0)).collect();
    let waiting: Vec<_> = requests
        .iter()
        .filter(|request| sent_to(&request.actions).is_empty() && !is_rejected(&request.actions))
        .collect();
    assert!(waiting.len() > 5, "{} of 20 requests are waiting", waiting.len());
    for request in &waiting {
        assert!(sent_to(&harness.handle(Event::RequestClosed(request.id))).is_empty());
    }
    assert!(sent_to(&harness.advance(SECOND)).is_empty());
}

/// Disconnects a client before its attempt in flight fails, which would otherwise cause a retry.
fn disconnects_before_the_attempt_fails(settings: Settings) {
    let mut harness = GatewayHarness::new(settings, 6);
    let SubmittedRequest { id, actions } = harness.request(IDEMPOTENT, UNLIMITED, 1, 1.0);
    harness.handle(Event::RequestClosed(id));
    let end = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::ConnectFailed);
    assert!(sent_to(&end).is_empty() && sent_to(&harness.advance(SECOND)).is_empty());
}

/// A client disconnects, and its attempt times out afterwards. No answer, rejection or retry follows, since
/// no client is left to receive it.
#[test]
fn an_attempt_that_ends_after_a_disconnect_gets_no_final_answer() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let SubmittedRequest { id, actions } = harness.request(IDEMPOTENT, UNLIMITED, 1, 1.0);
    harness.handle(Event::RequestClosed(id));
    let late = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::TimedOut);
    assert!(!is_rejected(&late) && !is_failed(&late) && sent_to(&late).is_empty());
    assert!(harness.handle(Event::RequestClosed(id)).is_empty());
}

/// Peers send garbage, requests contain classes, plans, units or gateway sets that don't exist, and
/// attempts end that never began. The gateway must not panic, answer twice, or send to a backend; a panic
/// would take down the ingress for all its clients.
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
    let malformed = [
        Request { class: 99, ..base },
        Request { plan: 99, id: RequestId(501), ..base },
        Request { units: f64::NAN, id: RequestId(502), ..base },
        Request { deadline: Instant::ZERO, id: RequestId(503), ..base },
    ];
    for request in malformed {
        let actions = harness.handle(Event::Request(request));
        let answers =
            actions.iter().filter(|action| matches!(action, Action::Reject { .. } | Action::Fail(_)));
        assert_eq!(answers.count(), 1);
        assert!(sent_to(&actions).is_empty());
    }
    for gateway_set_size in [0.0, f64::NAN, -3.0, 1e30] {
        harness.next_request_id += 1000;
        let id = RequestId(harness.next_request_id);
        harness.handle(Event::Request(Request { id, gateway_set_size, gateway_set_start: f64::NAN, ..base }));
    }
    harness.end_attempt(RequestId(77_777), 3, BackendId(99), Outcome::Ok);
    harness.handle(Event::FirstByte { id: RequestId(77_777), attempt: 9 });
    harness.handle(Event::Timer(12345));
}
