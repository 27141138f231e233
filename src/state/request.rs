//! Requests that are not finished, and their attempts.

use crate::{Action, Duration, Endpoint, Instant, Outcome, Request};

/// One send of a request to a backend.
pub struct Attempt {
    /// The backend's entry of the endpoint list at the send.
    pub endpoint: Endpoint,
    /// When the host was asked to send it.
    pub sent_at: Instant,
    /// Its end has not been told.
    pub in_flight: bool,
    /// The host was asked to cancel it.
    pub cancelled: bool,
    /// The outcome proved that the backend never executed it.
    pub never_executed: bool,
}

/// A request from its arrival until its last attempt has ended.
#[derive(Default)]
pub struct RequestState {
    /// As it came, but for the plan, which is its customer's.
    pub request: Request,
    /// When it came.
    pub arrived_at: Instant,
    /// By their number.
    pub attempts: Vec<Attempt>,
    /// Its final answer has been given.
    pub answered: bool,
    /// Its answer has begun to stream to the client.
    pub streaming: bool,
    /// It waits for a grant from its customer's quota owners.
    pub awaiting_grant: bool,
}

impl RequestState {
    /// Cancels the attempts in flight, but for one to keep, where cancelling is `allowed`.
    pub fn cancel_attempts(&mut self, keep: Option<u16>, allowed: bool, actions: &mut Vec<Action>) {
        for (number, attempt) in (0u16..).zip(&mut self.attempts) {
            if allowed && attempt.in_flight && !attempt.cancelled && keep != Some(number) {
                attempt.cancelled = true;
                actions.push(Action::Cancel { id: self.request.id, attempt: number });
            }
        }
    }

    /// Notes a send.
    pub fn begin_attempt(&mut self, endpoint: Endpoint, now: Instant) {
        let (in_flight, cancelled, never_executed) = (true, false, false);
        self.attempts.push(Attempt { endpoint, sent_at: now, in_flight, cancelled, never_executed });
    }

    /// Notes how an attempt ended, and gives the endpoint it was sent to; none if it is not in flight.
    pub fn end_attempt(&mut self, number: u16, outcome: Outcome) -> Option<Endpoint> {
        let attempt = self.attempts.get_mut(usize::from(number)).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.never_executed = outcome.never_executed();
        Some(attempt.endpoint)
    }

    /// How many attempts are in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// The latest attempt that is in flight and not cancelled.
    pub fn latest_attempt_in_flight(&self) -> Option<&Attempt> {
        self.attempts.iter().rev().find(|attempt| attempt.in_flight && !attempt.cancelled)
    }

    /// Whether it waits for a backend, with no attempt in flight.
    pub fn awaits_attempt(&self) -> bool {
        !self.answered && self.attempts_in_flight() == 0
    }

    /// The first attempt that was or may have been executed.
    pub fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_executed)
    }

    /// How long an answer is worth something: the latency objective, or what the client waits if that is
    /// less.
    pub fn useful_duration(&self, latency_objective: Duration) -> Duration {
        latency_objective.min(self.request.deadline.duration_since(self.arrived_at))
    }
}
