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

/// Whether the settings permit two attempts of a request in flight at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hedging {
    Allowed,
    Forbidden,
}

/// State of the first attempt when the second one begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstAttempt {
    InFlight,
    Reset,
}

/// Returns the auditor of a deployment that permits three attempts.
fn auditor(hedging: Hedging) -> Auditor {
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Fleet, window: WINDOW };
    Auditor::new(AuditRules {
        idempotency: vec![Idempotency::Idempotent, keyed, Idempotency::NonIdempotent],
        hedging: hedging == Hedging::Allowed,
        max_attempts: 3,
        drain_grace: GRACE,
    })
}

/// Returns an attempt that states the client's remaining time to the backend.
fn begun(number: u16, at: Instant) -> AttemptBegun {
    AttemptBegun { number, backend: BACKEND, at, stated_timeout: DEADLINE.duration_since(at) }
}

/// A non-idempotent request is rejected by a backend, retried, and answered at its deadline, all of which is
/// permitted. On a false positive, debug builds panic and operators search for a fault that does not exist.
#[test]
fn permitted_retry_and_timely_answer_are_no_violations() {
    let auditor = auditor(Hedging::Forbidden);
    let mut request = RequestAudit::new(&auditor, NON_IDEMPOTENT, DEADLINE);
    assert_eq!(request.attempt_begun(&auditor, &begun(0, at(0))), []);
    assert_eq!(request.attempt_ended(0, Outcome::Rejected), None);
    assert_eq!(request.attempt_begun(&auditor, &begun(1, at(10))), []);
    assert_eq!(request.attempt_ended(1, Outcome::Ok), None);
    assert_eq!(request.answered(DEADLINE), None);
}

/// A second attempt begins while the first is in flight, or after the first was reset by its backend. Where
/// that is forbidden, a request may be executed twice; where it is permitted, a report would be a false
/// positive.
#[test]
fn forbidden_second_attempt_is_a_violation() {
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

/// An idempotency key expires some time after the first attempt that may have been executed; attempts that
/// reached no backend do not count. A retry after that time is executed as a new request, so the request runs
/// twice.
#[test]
fn keyed_retry_after_its_window_is_a_violation() {
    let auditor = auditor(Hedging::Allowed);
    let mut request = RequestAudit::new(&auditor, KEYED, DEADLINE);
    request.attempt_begun(&auditor, &begun(0, at(0)));
    request.attempt_ended(0, Outcome::ConnectFailed);
    request.attempt_begun(&auditor, &begun(1, at(100)));
    request.attempt_ended(1, Outcome::TimedOut);
    assert_eq!(request.attempt_begun(&auditor, &begun(2, at(100) + WINDOW)), []);
    assert_eq!(request.attempt_begun(&auditor, &begun(2, at(101) + WINDOW)), [ViolationKind::KeyExpired]);
}

/// A keyed request times out and is retried in another zone or cell, whose backends do not share keys with
/// the first. The second backend may execute the request again.
#[test]
fn keyed_retry_outside_its_scope_is_a_violation() {
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
        assert_eq!(
            request.attempt_begun(&auditor, &attempt(1, 1)),
            [],
            "{scope:?}: the first attempt was not executed"
        );
        for (number, backend, expected) in [(2, 1, vec![]), (3, 2, other_zone), (4, 3, other_cell)] {
            request.attempt_ended(number - 1, Outcome::TimedOut);
            let found = request.attempt_begun(&auditor, &attempt(number, backend));
            assert_eq!(found, expected, "{scope:?}, backend {backend}");
        }
    }
}

/// A request gets more attempts than permitted, a backend is given more time than the client has left, or an
/// attempt begins after the client has disconnected. Each causes useless work at backends.
#[test]
fn excess_attempts_overstated_timeouts_and_attempts_after_disconnect_are_violations() {
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

/// A client receives an answer after its timeout, or two answers to one request. A client takes the second
/// one for the answer to its next request.
#[test]
fn late_and_second_answers_are_violations() {
    let auditor = auditor(Hedging::Allowed);
    let mut request = RequestAudit::new(&auditor, IDEMPOTENT, DEADLINE);
    assert_eq!(request.answered(DEADLINE + Duration::from_micros(50_001)), Some(ViolationKind::LateAnswer));
    assert_eq!(request.answered(DEADLINE), Some(ViolationKind::SecondAnswer));
}

/// The policy counts attempts in flight and failures of backends by the ends of attempts, so a second end
/// makes these counts wrong. The end of an attempt that never began is no violation.
#[test]
fn second_end_of_an_attempt_is_a_violation() {
    let auditor = auditor(Hedging::Allowed);
    let mut request = RequestAudit::new(&auditor, IDEMPOTENT, DEADLINE);
    assert_eq!(request.attempt_ended(0, Outcome::NotSent), None, "the attempt never began");
    request.attempt_begun(&auditor, &begun(0, at(0)));
    assert_eq!(request.attempt_ended(0, Outcome::Error), None);
    assert_eq!(request.attempt_ended(0, Outcome::Error), Some(ViolationKind::UnexpectedEnd));
}

/// An attempt begins at a backend that was listed as draining, then as gone, after the grace period: it would
/// fail when the backend shuts down. The period starts with the first of the two changes, and ends if the
/// backend is listed as ready again. Old records expire, so that the table does not grow without bound.
#[test]
fn attempt_at_a_closed_backend_after_the_grace_period_is_a_violation() {
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
    // A later change of another backend expires the old record.
    auditor.availability_changed(BACKEND, Availability::Gone, at(7000));
    auditor.availability_changed(BackendId(8), Availability::Gone, at(7000) + CLOSED_BACKEND_RETENTION);
    assert_eq!((auditor.closed_since.len(), auditor.closing_order.len()), (1, 1));
}

/// Under full load a fault causes many violations within a second. Logging each one would flood the log, so
/// only the first is logged and all are counted.
#[test]
fn burst_of_violations_is_logged_once_and_counted() {
    let mut auditor = auditor(Hedging::Allowed);
    let violation = Violation { kind: ViolationKind::NoAnswer, request: Some(RequestId(1)) };
    let again_at = at(0) + LOG_INTERVAL;
    let times = [at(0), at(10), again_at - Duration::MICROSECOND, again_at];
    let logged = times.map(|now| auditor.count_and_should_log(violation, now));
    assert_eq!(logged, [true, false, false, true]);
    assert_eq!(auditor.counts().collect::<Vec<_>>(), [(ViolationKind::NoAnswer, 4)]);
}
