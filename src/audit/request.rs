//! The audit record of one request, and the checks of its attempts and answers.

use super::{Auditor, Location, ViolationKind};
use crate::{BackendId, Duration, Idempotency, Instant, Outcome};

/// Tolerance by which the timeout stated to a backend may exceed the client's remaining time.
const TIME_SLACK: Duration = Duration::from_millis(150);
/// Tolerance by which a final answer may exceed the client's deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(50);

/// An attempt whose first byte was written to a backend.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBegun {
    /// Number of the attempt, from 0.
    pub number: u16,
    /// Backend that the attempt was sent to.
    pub backend: BackendId,
    /// Time at which the first byte was written.
    pub at: Instant,
    /// Timeout that the command states to the backend.
    pub stated_timeout: Duration,
}

/// The audit record of an attempt that has begun.
struct AttemptRecord {
    number: u16,
    /// Time at which the first byte was written.
    begun_at: Instant,
    /// Whether its end has not been recorded yet.
    in_flight: bool,
    may_have_executed: bool,
    /// Location of the backend when the attempt began; `None` if unknown.
    location: Option<Location>,
}

/// Records the attempts and answers of one request and returns the invariants that they violate.
pub struct RequestAudit {
    idempotency: Idempotency,
    /// End of the client's timeout.
    client_deadline: Instant,
    /// Whether the request has its final answer or its client has disconnected.
    closed: bool,
    /// Attempts that have begun, in order.
    attempts: Vec<AttemptRecord>,
}

impl RequestAudit {
    /// Creates the record of a request of a class, whose client's timeout ends at `client_deadline`.
    pub fn new(auditor: &Auditor, class: usize, client_deadline: Instant) -> RequestAudit {
        // The strictest rule applies to unknown classes.
        let idempotency = auditor.rules.idempotency.get(class).copied();
        let idempotency = idempotency.unwrap_or(Idempotency::NonIdempotent);
        RequestAudit { idempotency, client_deadline, closed: false, attempts: Vec::new() }
    }

    /// Records the start of an attempt, and returns the invariants that it violates.
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

    /// Returns whether the idempotency key of an earlier attempt that may have been executed has expired.
    fn is_key_expired(&self, now: Instant) -> bool {
        let Idempotency::Keyed { window, .. } = self.idempotency else { return false };
        let first = self.attempts.iter().find(|earlier| earlier.may_have_executed);
        first.is_some_and(|first| now > first.begun_at + window)
    }

    /// Returns whether a location is outside the scope of the idempotency key of an earlier attempt that may
    /// have been executed.
    fn is_key_out_of_scope(&self, location: Option<Location>) -> bool {
        let Idempotency::Keyed { scope, .. } = self.idempotency else { return false };
        let first = self.attempts.iter().find(|earlier| earlier.may_have_executed);
        let first = first.and_then(|first| first.location);
        first.zip(location).is_some_and(|(first, location)| !first.shares_keys(location, scope))
    }

    /// Records the end of an attempt, and returns the invariant that it violates. Attempts that never began
    /// are ignored.
    pub fn attempt_ended(&mut self, number: u16, outcome: Outcome) -> Option<ViolationKind> {
        let attempt = self.attempts.iter_mut().find(|attempt| attempt.number == number)?;
        let was_in_flight = std::mem::replace(&mut attempt.in_flight, false);
        attempt.may_have_executed = !outcome.never_executed();
        (!was_in_flight).then_some(ViolationKind::UnexpectedEnd)
    }

    /// Records that the client has disconnected, after which no answer and no further attempt is due.
    pub fn client_disconnected(&mut self) {
        self.closed = true;
    }

    /// Records the final answer, and returns the invariant that it violates.
    pub fn answered(&mut self, now: Instant) -> Option<ViolationKind> {
        if std::mem::replace(&mut self.closed, true) {
            return Some(ViolationKind::SecondAnswer);
        }
        (now > self.client_deadline + ANSWER_SLACK).then_some(ViolationKind::LateAnswer)
    }
}
