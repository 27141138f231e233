//! The record of what was done for one request, and the checks on it.

use super::{Auditor, Location, ViolationKind};
use crate::{BackendId, Duration, Idempotency, Instant, Outcome};

/// How much longer than the client's remaining time the timeout stated to a backend may be.
const TIME_SLACK: Duration = Duration::from_millis(150);
/// How long after the client's deadline a final answer is still no violation.
const ANSWER_SLACK: Duration = Duration::from_millis(50);

/// An attempt whose first byte was written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBegun {
    /// The attempt's number, from 0.
    pub number: u16,
    /// Where it went.
    pub backend: BackendId,
    /// When its first byte was written.
    pub at: Instant,
    /// The timeout that was stated to the backend.
    pub stated_timeout: Duration,
}

/// An attempt that has begun.
struct AttemptRecord {
    /// The attempt's number, from 0.
    number: u16,
    /// When its first byte was written.
    begun_at: Instant,
    /// Its end was not recorded yet.
    in_flight: bool,
    /// It was executed, or may have been.
    may_have_executed: bool,
    /// The location of its backend then; none if that is not known.
    location: Option<Location>,
}

/// The record of one request, from its arrival until its last attempt has ended.
pub struct RequestAudit {
    /// Whether it may be executed again.
    idempotency: Idempotency,
    /// When its client's timeout ends.
    client_deadline: Instant,
    /// It has its final answer, or its client has disconnected.
    closed: bool,
    /// The attempts that have begun, in their order.
    attempts: Vec<AttemptRecord>,
}

impl RequestAudit {
    /// A request of a class, whose client's timeout ends at `client_deadline`.
    pub fn new(auditor: &Auditor, class: usize, client_deadline: Instant) -> RequestAudit {
        // A class that is not known is judged by the strictest rule.
        let idempotency = auditor.rules.idempotency.get(class).copied();
        let idempotency = idempotency.unwrap_or(Idempotency::NonIdempotent);
        RequestAudit { idempotency, client_deadline, closed: false, attempts: Vec::new() }
    }

    /// Records an attempt that has begun, and returns what it violates.
    pub fn attempt_begun(&mut self, auditor: &Auditor, begun: &AttemptBegun) -> Vec<ViolationKind> {
        let rules = &auditor.rules;
        let in_flight = self.attempts.iter().any(|earlier| earlier.in_flight);
        let may_have_executed = self.attempts.iter().any(|earlier| earlier.may_have_executed);
        let is_non_idempotent = self.idempotency == Idempotency::NonIdempotent;
        let location = auditor.locations.get(&begun.backend).copied();
        let time_left = self.client_deadline.duration_since(begun.at);
        let checks = [
            (self.closed, ViolationKind::AttemptAfterEnd),
            (is_non_idempotent && may_have_executed && !in_flight, ViolationKind::UnsafeRepeat),
            (in_flight && (is_non_idempotent || !rules.hedging), ViolationKind::ConcurrentAttempts),
            (self.is_key_expired(begun.at), ViolationKind::KeyExpired),
            (self.is_key_out_of_scope(location), ViolationKind::KeyOutOfScope),
            (usize::from(begun.number) >= rules.max_attempts, ViolationKind::TooManyAttempts),
            (begun.stated_timeout > time_left + TIME_SLACK, ViolationKind::TimeOverstated),
            (auditor.is_closed(begun.backend, begun.at), ViolationKind::ClosedBackend),
        ];
        self.attempts.push(AttemptRecord {
            number: begun.number,
            begun_at: begun.at,
            in_flight: true,
            may_have_executed: true,
            location,
        });
        checks.into_iter().filter(|(violated, _)| *violated).map(|(_, kind)| kind).collect()
    }

    /// Whether backends may have forgotten the idempotency key of an earlier attempt that may have been
    /// executed.
    fn is_key_expired(&self, now: Instant) -> bool {
        let Idempotency::Keyed { window, .. } = self.idempotency else { return false };
        let first = self.attempts.iter().find(|earlier| earlier.may_have_executed);
        first.is_some_and(|first| now > first.begun_at + window)
    }

    /// Whether the backend at a location does not know the idempotency key of an earlier attempt that may
    /// have been executed.
    fn is_key_out_of_scope(&self, location: Option<Location>) -> bool {
        let Idempotency::Keyed { scope, .. } = self.idempotency else { return false };
        let first = self.attempts.iter().find(|earlier| earlier.may_have_executed);
        let first = first.and_then(|first| first.location);
        first.zip(location).is_some_and(|(first, location)| !first.shares_keys(location, scope))
    }

    /// Records how an attempt has ended, and returns what that violates. An attempt that never began has no
    /// record.
    pub fn attempt_ended(&mut self, number: u16, outcome: Outcome) -> Option<ViolationKind> {
        let attempt = self.attempts.iter_mut().find(|attempt| attempt.number == number)?;
        let was_in_flight = std::mem::replace(&mut attempt.in_flight, false);
        attempt.may_have_executed = !outcome.never_executed();
        (!was_in_flight).then_some(ViolationKind::UnexpectedEnd)
    }

    /// Records that the client has disconnected.
    pub fn client_disconnected(&mut self) {
        self.closed = true;
    }

    /// Records the final answer, and returns what it violates.
    pub fn answered(&mut self, now: Instant) -> Option<ViolationKind> {
        if std::mem::replace(&mut self.closed, true) {
            return Some(ViolationKind::SecondAnswer);
        }
        (now > self.client_deadline + ANSWER_SLACK).then_some(ViolationKind::LateAnswer)
    }
}
