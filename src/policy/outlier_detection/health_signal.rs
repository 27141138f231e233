//! Health signals: the evidence that the outcome of an attempt gives about its backend.

use crate::Outcome;

/// Health signal that the outcome of an attempt gives about its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// The backend served the attempt.
    Success,
    /// The backend rejected the attempt without processing it: it is overloaded, not faulty.
    Rejection,
    /// The backend answered with an error or broke the connection.
    Failure,
    /// No connection to the backend could be established.
    ConnectFailure,
}

impl HealthSignal {
    /// Returns the signal of an outcome, or `None` if the backend did not determine the outcome. A timeout
    /// gives no signal, since it may be the client's deadline;
    /// [`eject_if_silent`](super::BackendHealth::eject_if_silent) detects backends that don't answer.
    pub(crate) fn from_outcome(outcome: Outcome) -> Option<HealthSignal> {
        match outcome {
            Outcome::Ok => Some(HealthSignal::Success),
            Outcome::Rejected => Some(HealthSignal::Rejection),
            Outcome::Error | Outcome::Reset => Some(HealthSignal::Failure),
            Outcome::ConnectFailed => Some(HealthSignal::ConnectFailure),
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut => None,
        }
    }

    /// Returns whether the attempt counts as failed in the failure rate, or `None` if it does not count.
    pub(super) fn is_failure(self) -> Option<bool> {
        match self {
            HealthSignal::Success => Some(false),
            HealthSignal::Failure | HealthSignal::ConnectFailure => Some(true),
            HealthSignal::Rejection => None,
        }
    }
}

#[cfg(test)]
mod tests;
