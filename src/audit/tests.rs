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

/// Whether the settings let two attempts of a request be in flight together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hedging {
    Allowed,
    Forbidden,
}

/// Whether the first attempt is still in flight when the second one begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstAttempt {
    InFlight,
    Reset,
}

/// An auditor of a deployment that allows three attempts.
fn auditor(hedging: Hedging) -> Auditor {
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Fleet, window: WINDOW };
    Auditor::new(AuditRules {
        idempotency: vec![Idempotency::Idempotent, keyed, Idempotency::NonIdempotent],
        hedging: hedging == Hedging::Allowed,
        max_attempts: 3,
        drain_grace: GRACE,
    })
}

/// An attempt that states to the backend the time that the client has left.
fn begun(number: u16, at: Instant) -> AttemptBegun {
    AttemptBegun { number, backend: BACKEND, at, stated_timeout: DEADLINE.duration_since(at) }
}

/// A non-idempotent request is rejected by its first backend, retried, and answered just before its client gives
/// up, all of which is allowed. If the audit reported that, debug builds would panic, and operators would search
/// for a fault that does not exist.
#[test]
fn a_request_that_keeps_the_rules_violates_nothing() {
    let auditor = auditor(Hedging::Forbidden);
    let mut request = RequestAudit::new(&auditor, NON_IDEMPOTENT, DEADLINE);
    assert_eq!(request.attempt_begun(&auditor, &begun(0, at(0))), []);
    assert_eq!(request.attempt_ended(0, Outcome::Rejected), None);
    assert_eq!(request.attempt_begun(&auditor, &begun(1, at(10))), []);
    assert_eq!(request.attempt_ended(1, Outcome::Ok), None);
    assert_eq!(request.answered(DEADLINE), None);
}

/// A request gets a second attempt while the first is in flight, or after the first was reset by its backend. Where
/// that is forbidden, a customer's order may be executed twice, and the audit is what tells the operator; where it
/// is allowed, the audit must stay silent.
#[test]
fn a_second_attempt_is_a_violation_where_its_class_or_the_settings_forbid_it() {
    for (hedging, class, first, expected) in [
        (Hedging::Allowed, IDEMPOTENT, FirstAttempt::InFlight, vec![]),
        (Hedging::Forbidden, IDEMPOTENT, FirstAttempt::InFlight, vec![ViolationKind::ConcurrentAttempts]),
        (Hedging::Allowed, NON_IDEMPOTENT, FirstAttempt::InFlight, vec![ViolationKind::ConcurrentAttempts]),
        (Hedging::Allowed, NON_IDEMPOTENT, FirstAttempt::Reset, vec![ViolationKind::UnsafeRepeat]),
        (Hedging::Allowed, KEYED, FirstAttempt::Reset, vec![]),
    ] {
        let auditor = auditor(hedging);
        let mut request = RequestAudit::new(&auditor, class, DEADLINE);
        request.attempt_begun(&auditor, &begun(0, at(0)));
        if first == FirstAttempt::Reset {
            request.attempt_ended(0, Outcome::Reset);
        }
        assert_eq!(
            request.attempt_begun(&auditor, &begun(1, at(10))),
            expected,
            "class {class}, hedging {hedging:?}, first {first:?}"
        );
    }
}

/// Backends forget an idempotency key some time after the first attempt that they may have executed; attempts that
/// never reached one do not count. A retry after that time is executed as a new request, so that a customer's order
/// is booked twice.
#[test]
fn a_keyed_retry_after_its_window_is_a_violation() {
    let auditor = auditor(Hedging::Allowed);
    let mut request = RequestAudit::new(&auditor, KEYED, DEADLINE);
    request.attempt_begun(&auditor, &begun(0, at(0)));
    request.attempt_ended(0, Outcome::ConnectFailed);
    request.attempt_begun(&auditor, &begun(1, at(100)));
    request.attempt_ended(1, Outcome::TimedOut);
    assert_eq!(request.attempt_begun(&auditor, &begun(2, at(100) + WINDOW)), []);
    assert_eq!(request.attempt_begun(&auditor, &begun(2, at(101) + WINDOW)), [ViolationKind::KeyExpired]);
}

/// A keyed request times out at one backend and is retried at a backend of another zone or cell, which does not
/// share keys with the first. The second backend cannot know that the request was executed, and executes it again.
#[test]
fn a_keyed_retry_outside_its_scope_is_a_violation() {
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

/// A request gets a fourth attempt where three are allowed, a backend is given more time than the client will wait,
/// or an attempt begins after the client has disconnected. Each makes backends do work that nobody uses, and the
/// audit has to report each.
#[test]
fn attempts_beyond_the_limit_with_too_much_time_or_for_no_client_are_violations() {
    let auditor = auditor(Hedging::Allowed);
    let mut request = RequestAudit::new(&auditor, IDEMPOTENT, DEADLINE);
    assert_eq!(request.attempt_begun(&auditor, &begun(3, at(0))), [ViolationKind::TooManyAttempts]);
    let in_time = begun(1, at(0));
    let stated_timeout = in_time.stated_timeout + Duration::from_micros(150_001);
    let overstated = AttemptBegun { stated_timeout, ..in_time };
    assert_eq!(request.attempt_begun(&auditor, &overstated), [ViolationKind::TimeOverstated]);
    request.client_disconnected();
    assert_eq!(request.attempt_begun(&auditor, &begun(2, at(0))), [ViolationKind::AttemptAfterEnd]);
}

/// A client gets its answer after it has given up, or gets two answers to one request. A client that reads the
/// second one takes it for the answer to its next request, so the audit has to report both.
#[test]
fn late_and_second_answers_are_violations() {
    let auditor = auditor(Hedging::Allowed);
    let mut request = RequestAudit::new(&auditor, IDEMPOTENT, DEADLINE);
    assert_eq!(request.answered(DEADLINE + Duration::from_micros(50_001)), Some(ViolationKind::LateAnswer));
    assert_eq!(request.answered(DEADLINE), Some(ViolationKind::SecondAnswer));
}

/// An attempt ends once, and by that end the policy counts what is in flight and which backends fail. A second
/// report of it means that the ingress has lost track of its attempts, and the operator has to hear of it; the end
/// of an attempt that never began is no violation.
#[test]
fn a_second_end_of_an_attempt_is_a_violation() {
    let auditor = auditor(Hedging::Allowed);
    let mut request = RequestAudit::new(&auditor, IDEMPOTENT, DEADLINE);
    assert_eq!(request.attempt_ended(0, Outcome::NotSent), None, "it never began");
    request.attempt_begun(&auditor, &begun(0, at(0)));
    assert_eq!(request.attempt_ended(0, Outcome::Error), None);
    assert_eq!(request.attempt_ended(0, Outcome::Error), Some(ViolationKind::UnexpectedEnd));
}

/// A backend is listed as draining, then as gone, and an attempt still begins there once the grace period is over:
/// its operator is shutting it down and the request would fail with it. The grace period counts from the first of
/// the two, and a backend that is listed as ready again may be used at once. Closings of long ago are forgotten, so
/// that the record does not grow without end.
#[test]
fn an_attempt_at_a_closed_backend_after_its_grace_period_is_a_violation() {
    let mut auditor = auditor(Hedging::Allowed);
    let begin = |auditor: &Auditor, at| {
        RequestAudit::new(auditor, IDEMPOTENT, DEADLINE).attempt_begun(auditor, &begun(0, at))
    };
    auditor.availability_changed(BACKEND, Availability::Draining, at(1000));
    auditor.availability_changed(BACKEND, Availability::Gone, at(5000));
    assert_eq!(begin(&auditor, at(1000) + GRACE), []);
    assert_eq!(begin(&auditor, at(1001) + GRACE), [ViolationKind::ClosedBackend]);
    auditor.availability_changed(BACKEND, Availability::Ready, at(6000));
    assert_eq!(begin(&auditor, at(1001) + GRACE), []);
    // Others that close later make it forget those that closed long ago.
    auditor.availability_changed(BACKEND, Availability::Gone, at(7000));
    auditor.availability_changed(BackendId(8), Availability::Gone, at(7000) + CLOSED_BACKEND_RETENTION);
    assert_eq!((auditor.closed_since.len(), auditor.closing_order.len()), (1, 1));
}

/// The same violation happens several times within a second. Each is counted, but only the first is logged, so that
/// a fault under full load does not flood the operator's log.
#[test]
fn a_burst_of_violations_is_counted_and_logged_once() {
    let mut auditor = auditor(Hedging::Allowed);
    let violation = Violation { kind: ViolationKind::NoAnswer, request: Some(RequestId(1)) };
    let again_at = at(0) + LOG_INTERVAL;
    let times = [at(0), at(10), again_at - Duration::MICROSECOND, again_at];
    let logged = times.map(|now| auditor.count_and_should_log(violation, now));
    assert_eq!(logged, [true, false, false, true]);
    assert_eq!(auditor.counts().collect::<Vec<_>>(), [(ViolationKind::NoAnswer, 4)]);
}
