//! Requests that are not finished, and their attempts.

use crate::{Action, Duration, Endpoint, Instant, Outcome, Request};

/// One send of a request to a backend.
pub(crate) struct Attempt {
    /// The backend's entry of the endpoint list at the send.
    pub endpoint: Endpoint,
    /// When the host was asked to send it.
    pub sent_at: Instant,
    /// Its end has not been reported.
    pub in_flight: bool,
    /// The host was asked to cancel it.
    pub cancelled: bool,
    /// The outcome proved that the backend never executed it.
    pub never_executed: bool,
}

/// A request from its arrival until its last attempt has ended.
#[derive(Default)]
pub(crate) struct RequestState {
    /// As it arrived, but for the plan, which is its customer's.
    pub request: Request,
    /// When it arrived.
    pub arrived_at: Instant,
    /// Its attempts, by their number.
    pub attempts: Vec<Attempt>,
    /// It has its final answer, or its client has disconnected: no answer is owed any more.
    pub closed: bool,
    /// Its answer has begun to stream to the client.
    pub streaming: bool,
    /// It waits for a grant from its customer's quota owners.
    pub awaiting_grant: bool,
}

impl RequestState {
    /// Asks the host to cancel the attempts in flight, but for one to keep.
    pub(crate) fn cancel_attempts(&mut self, keep: Option<u16>, actions: &mut Vec<Action>) {
        for (number, attempt) in (0u16..).zip(&mut self.attempts) {
            if attempt.in_flight && !attempt.cancelled && keep != Some(number) {
                attempt.cancelled = true;
                actions.push(Action::Cancel { id: self.request.id, attempt: number });
            }
        }
    }

    /// Adds an attempt that is sent now.
    pub(crate) fn begin_attempt(&mut self, endpoint: Endpoint, now: Instant) {
        self.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            in_flight: true,
            cancelled: false,
            never_executed: false,
        });
    }

    /// Records how an attempt ended, and returns the endpoint that it was sent to; none if it is not in
    /// flight.
    pub(crate) fn end_attempt(&mut self, number: u16, outcome: Outcome) -> Option<Endpoint> {
        let attempt = self.attempts.get_mut(usize::from(number)).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.never_executed = outcome.never_executed();
        Some(attempt.endpoint)
    }

    /// How many attempts are in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// The latest attempt that is in flight and not cancelled, with its number.
    pub(crate) fn latest_attempt_in_flight(&self) -> Option<(usize, &Attempt)> {
        let mut numbered = self.attempts.iter().enumerate().rev();
        numbered.find(|(_, attempt)| attempt.in_flight && !attempt.cancelled)
    }

    /// Whether it is owed an answer and has no attempt in flight.
    pub(crate) fn awaits_attempt(&self) -> bool {
        !self.closed && self.attempts_in_flight() == 0
    }

    /// The first attempt that was or may have been executed.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_executed)
    }

    /// The time from the arrival within which an answer earns its full weight: the latency objective, or what
    /// the client waits if that is less.
    pub(crate) fn latency_budget(&self, latency_objective: Duration) -> Duration {
        latency_objective.min(self.request.deadline.duration_since(self.arrived_at))
    }
}
