//! The records of unfinished requests and their attempts.

use crate::{Action, Duration, Endpoint, Instant, Outcome, Request};

/// One send of a request to a backend.
pub(crate) struct Attempt {
    /// The backend's entry in the endpoint list at the time of the send.
    pub endpoint: Endpoint,
    /// Time at which the host was asked to send it.
    pub sent_at: Instant,
    /// Whether its end has not been reported yet.
    pub in_flight: bool,
    /// Whether the host was asked to cancel it.
    pub cancelled: bool,
    /// Whether its outcome proves that the backend did not execute it.
    pub never_executed: bool,
}

/// A request from its arrival until its last attempt has ended.
#[derive(Default)]
pub(crate) struct RequestState {
    /// The request as received, except for the plan, which is the one in the customer's record.
    pub request: Request,
    pub arrived_at: Instant,
    /// All attempts so far, indexed by their number.
    pub attempts: Vec<Attempt>,
    /// Whether it has its final answer or its client has disconnected.
    pub closed: bool,
    /// Whether a streamed answer has begun.
    pub streaming: bool,
    /// Whether it waits for a grant from its customer's quota owners.
    pub awaiting_grant: bool,
}

impl RequestState {
    /// Cancels all attempts in flight except `keep`.
    pub(crate) fn cancel_attempts(&mut self, keep: Option<u16>, actions: &mut Vec<Action>) {
        for (number, attempt) in (0u16..).zip(&mut self.attempts) {
            if attempt.in_flight && !attempt.cancelled && keep != Some(number) {
                attempt.cancelled = true;
                actions.push(Action::Cancel { id: self.request.id, attempt: number });
            }
        }
    }

    /// Adds an attempt that is sent at `now`.
    pub(crate) fn begin_attempt(&mut self, endpoint: Endpoint, now: Instant) {
        self.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            in_flight: true,
            cancelled: false,
            never_executed: false,
        });
    }

    /// Records the end of an attempt and returns the endpoint that it was sent to. Returns `None` if it was
    /// not in flight.
    pub(crate) fn end_attempt(&mut self, number: u16, outcome: Outcome) -> Option<Endpoint> {
        let attempt = self.attempts.get_mut(usize::from(number)).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.never_executed = outcome.never_executed();
        Some(attempt.endpoint)
    }

    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// Returns the latest attempt that is in flight and not cancelled, with its number.
    pub(crate) fn latest_attempt_in_flight(&self) -> Option<(usize, &Attempt)> {
        let mut numbered = self.attempts.iter().enumerate().rev();
        numbered.find(|(_, attempt)| attempt.in_flight && !attempt.cancelled)
    }

    /// Returns whether the request is open and has no attempt in flight.
    pub(crate) fn awaits_attempt(&self) -> bool {
        !self.closed && self.attempts_in_flight() == 0
    }

    /// Returns the first attempt that was or may have been executed.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_executed)
    }

    /// Returns the time from arrival within which an answer earns the full priority weight: the latency
    /// objective, or the time until the deadline if that is shorter.
    pub(crate) fn latency_budget(&self, latency_objective: Duration) -> Duration {
        latency_objective.min(self.request.deadline.duration_since(self.arrived_at))
    }
}
