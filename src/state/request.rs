//! Requests that are not finished, and their attempts.

use crate::{Action, Endpoint, Micros, Request};

pub struct Attempt {
    pub endpoint: Endpoint,
    pub sent_at: Micros,
    pub in_flight: bool,
    pub cancelled: bool,
    /// Proved never to have run.
    pub never_executed: bool,
}

#[derive(Default)]
pub struct RequestState {
    pub request: Request,
    pub arrived_at: Micros,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
    pub streaming: bool,
    /// Waits for the word of its customer's homes.
    pub awaiting_grant: bool,
}

impl RequestState {
    /// Calls the attempts off, but for one to keep.
    pub fn cancel_attempts(&mut self, keep: Option<u16>, allowed: bool, actions: &mut Vec<Action>) {
        for (n, a) in (0u16..).zip(&mut self.attempts) {
            if allowed && a.in_flight && !a.cancelled && keep != Some(n) {
                a.cancelled = true;
                actions.push(Action::Cancel { id: self.request.id, attempt: n });
            }
        }
    }

    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.in_flight).count()
    }

    /// The first attempt that ran or may have run.
    pub fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_executed)
    }

    /// How long an answer is worth something: the aim, or what the client waits if that is less.
    pub fn useful_duration(&self, aim: Micros) -> f64 {
        aim.min(self.request.deadline.saturating_sub(self.arrived_at)) as f64
    }
}
