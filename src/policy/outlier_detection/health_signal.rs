//! What the end of an attempt says of the backend that it went to.

use crate::Outcome;

/// What the end of an attempt says of its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// It served the attempt.
    Success,
    /// It rejected the attempt unseen: it is overloaded, not faulty.
    Rejection,
    /// It answered with an error, or broke the connection.
    Failure,
    /// No connection to it could be made.
    ConnectFailure,
}

impl HealthSignal {
    /// What an outcome says; none where the backend did not determine it. A timeout is among these: it may be
    /// the client's deadline, and [`eject_if_silent`](super::BackendHealth::eject_if_silent) finds backends
    /// that do not answer.
    pub(crate) fn from_outcome(outcome: Outcome) -> Option<HealthSignal> {
        match outcome {
            Outcome::Ok => Some(HealthSignal::Success),
            Outcome::Rejected => Some(HealthSignal::Rejection),
            Outcome::Error | Outcome::Reset => Some(HealthSignal::Failure),
            Outcome::ConnectFailed => Some(HealthSignal::ConnectFailure),
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut => None,
        }
    }

    /// Whether the attempt counts as failed in the failure rate; none if it does not count.
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
