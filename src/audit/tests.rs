//! Tests of [`super`].

use super::*;
use crate::{IdempotencyScope, Outcome, RequestId};

const IDEMPOTENT: usize = 0;
const KEYED: usize = 1;
const NON_IDEMPOTENT: usize = 2;
const WINDOW: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_millis(250);
const DEADLINE: Instant = Instant::from_micros(10_000_000);
const BACKEND: BackendId = BackendId(7);

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

/// An auditor of a deployment that allows three attempts.
fn auditor(hedging: bool) -> Auditor {
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Fleet, window: WINDOW };
    Auditor::new(AuditRules {
        idempotency: vec![Idempotency::Idempotent, keyed, Idempotency::NonIdempotent],
        hedging,
        max_attempts: 3,
        drain_grace: GRACE,
    })
}

/// An attempt that states to the backend the time that the client has left.
fn begun(number: u16, at: Instant) -> AttemptBegun {
    AttemptBegun { number, backend: BACKEND, at, stated_timeout: DEADLINE.duration_since(at) }
}

#[test]
fn a_request_that_keeps_the_rules_violates_nothing() {
    let auditor = auditor(false);
    let mut request = RequestAudit::new(&auditor, NON_IDEMPOTENT, DEADLINE);
    assert_eq!(request.attempt_begun(&auditor, &begun(0, at(0))), []);
    assert_eq!(request.attempt_ended(0, Outcome::Rejected), None);
    assert_eq!(request.attempt_begun(&auditor, &begun(1, at(10))), []);
    assert_eq!(request.attempt_ended(1, Outcome::Ok), None);
    assert_eq!(request.answered(DEADLINE), None);
}

#[test]
fn second_attempts_are_judged_by_class_and_settings() {
    for (hedging, class, in_flight, expected) in [
        (true, IDEMPOTENT, true, vec![]),
        (false, IDEMPOTENT, true, vec![ViolationKind::ConcurrentAttempts]),
        (true, NON_IDEMPOTENT, true, vec![ViolationKind::ConcurrentAttempts]),
        (true, NON_IDEMPOTENT, false, vec![ViolationKind::UnsafeRepeat]),
        (true, KEYED, false, vec![]),
    ] {
        let auditor = auditor(hedging);
        let mut request = RequestAudit::new(&auditor, class, DEADLINE);
        request.attempt_begun(&auditor, &begun(0, at(0)));
        if !in_flight {
            request.attempt_ended(0, Outcome::Reset);
        }
        assert_eq!(request.attempt_begun(&auditor, &begun(1, at(10))), expected, "{class} {hedging}");
    }
}

#[test]
fn a_key_is_known_for_its_window_from_the_first_attempt_that_may_have_run() {
    let auditor = auditor(true);
    let mut request = RequestAudit::new(&auditor, KEYED, DEADLINE);
    request.attempt_begun(&auditor, &begun(0, at(0)));
    request.attempt_ended(0, Outcome::ConnectFailed);
    request.attempt_begun(&auditor, &begun(1, at(100)));
    request.attempt_ended(1, Outcome::TimedOut);
    assert_eq!(request.attempt_begun(&auditor, &begun(2, at(100) + WINDOW)), []);
    assert_eq!(request.attempt_begun(&auditor, &begun(2, at(101) + WINDOW)), [ViolationKind::KeyExpired]);
}

#[test]
fn a_key_is_known_in_the_scope_of_the_attempt_that_may_have_run() {
    for (scope, other_zone, other_cell) in [
        (IdempotencyScope::Fleet, vec![], vec![]),
        (IdempotencyScope::Zone, vec![ViolationKind::KeyOutOfScope], vec![]),
        (IdempotencyScope::Cell, vec![], vec![ViolationKind::KeyOutOfScope]),
    ] {
        let keyed = Idempotency::Keyed { scope, window: WINDOW };
        let rules = AuditRules { idempotency: vec![keyed], max_attempts: 9, ..AuditRules::default() };
        let mut auditor = Auditor::new(rules);
        for (backend, zone, cell) in [(1, 1, 1), (2, 2, 1), (3, 1, 2)] {
            let endpoint = Endpoint { backend: BackendId(backend), zone, cell, ..Endpoint::default() };
            auditor.endpoint_listed(&endpoint, at(0));
        }
        let attempt = |number, backend| AttemptBegun { backend: BackendId(backend), ..begun(number, at(10)) };
        let mut request = RequestAudit::new(&auditor, 0, DEADLINE);
        request.attempt_begun(&auditor, &attempt(0, 3));
        request.attempt_ended(0, Outcome::ConnectFailed);
        assert_eq!(request.attempt_begun(&auditor, &attempt(1, 1)), [], "{scope:?}: the first never ran");
        for (number, backend, expected) in [(2, 1, vec![]), (3, 2, other_zone), (4, 3, other_cell)] {
            request.attempt_ended(number - 1, Outcome::TimedOut);
            let found = request.attempt_begun(&auditor, &attempt(number, backend));
            assert_eq!(found, expected, "{scope:?}, backend {backend}");
        }
    }
}

#[test]
fn attempts_after_the_end_beyond_the_limit_or_with_too_much_time_are_seen() {
    let auditor = auditor(true);
    let mut request = RequestAudit::new(&auditor, IDEMPOTENT, DEADLINE);
    assert_eq!(request.attempt_begun(&auditor, &begun(3, at(0))), [ViolationKind::TooManyAttempts]);
    let in_time = begun(1, at(0));
    let stated_timeout = in_time.stated_timeout + Duration::from_micros(150_001);
    let overstated = AttemptBegun { stated_timeout, ..in_time };
    assert_eq!(request.attempt_begun(&auditor, &overstated), [ViolationKind::TimeOverstated]);
    request.client_disconnected();
    assert_eq!(request.attempt_begun(&auditor, &begun(2, at(0))), [ViolationKind::AttemptAfterEnd]);
}

#[test]
fn answers_are_counted_and_timed() {
    let auditor = auditor(true);
    let mut request = RequestAudit::new(&auditor, IDEMPOTENT, DEADLINE);
    assert_eq!(request.answered(DEADLINE + Duration::from_micros(50_001)), Some(ViolationKind::LateAnswer));
    assert_eq!(request.answered(DEADLINE), Some(ViolationKind::SecondAnswer));
}

#[test]
fn an_attempt_ends_once() {
    let auditor = auditor(true);
    let mut request = RequestAudit::new(&auditor, IDEMPOTENT, DEADLINE);
    assert_eq!(request.attempt_ended(0, Outcome::NotSent), None, "it never began");
    request.attempt_begun(&auditor, &begun(0, at(0)));
    assert_eq!(request.attempt_ended(0, Outcome::Error), None);
    assert_eq!(request.attempt_ended(0, Outcome::Error), Some(ViolationKind::UnexpectedEnd));
}

#[test]
fn a_closed_backend_is_sent_nothing_after_the_grace_period() {
    let mut auditor = auditor(true);
    let begin = |auditor: &Auditor, at| {
        RequestAudit::new(auditor, IDEMPOTENT, DEADLINE).attempt_begun(auditor, &begun(0, at))
    };
    auditor.backend_listed(BACKEND, Availability::Draining, at(1000));
    auditor.backend_listed(BACKEND, Availability::Gone, at(5000));
    assert_eq!(begin(&auditor, at(1000) + GRACE), []);
    assert_eq!(begin(&auditor, at(1001) + GRACE), [ViolationKind::ClosedBackend]);
    auditor.backend_listed(BACKEND, Availability::Ready, at(6000));
    assert_eq!(begin(&auditor, at(1001) + GRACE), []);
    // Others that close later make it forget those that closed long ago.
    auditor.backend_listed(BACKEND, Availability::Gone, at(7000));
    auditor.backend_listed(BackendId(8), Availability::Gone, at(7000) + CLOSED_BACKEND_RETENTION);
    assert_eq!((auditor.closed_since.len(), auditor.closing_order.len()), (1, 1));
}

#[test]
fn a_burst_of_violations_is_counted_and_logged_once() {
    let mut auditor = auditor(true);
    let violation = Violation { kind: ViolationKind::NoAnswer, request: Some(RequestId(1)) };
    let again_at = at(0) + LOG_INTERVAL;
    let times = [at(0), at(10), again_at - Duration::MICROSECOND, again_at];
    let logged = times.map(|now| auditor.count(violation, now));
    assert_eq!(logged, [true, false, false, true]);
    assert_eq!(auditor.counts().collect::<Vec<_>>(), [(ViolationKind::NoAnswer, 4)]);
}
