//! Safety rules for attempts: when an attempt may be started, and when an idempotency key may be used
//! again.
//!
//! These rules only cover what may be executed twice, and how often. [`RetryPolicy`](super::RetryPolicy)
//! decides whether a retry is useful.

use crate::{Duration, Idempotency, Instant};
use thiserror::Error;

/// Relation of an attempt to the earlier attempts of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt of a request.
    First,
    /// A further attempt, sent while none is in flight.
    Retry,
    /// A further attempt, sent while another one is in flight.
    Hedge,
}

/// Reason why an attempt may not be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AttemptRefusal {
    /// The request has its final answer, or its client has disconnected.
    #[error("the request is closed: it was answered or its client disconnected")]
    Closed,
    /// The request has reached the maximum number of attempts.
    #[error("the request has reached its maximum number of attempts")]
    AttemptLimit,
    /// An earlier attempt may have been executed, and the class is not idempotent.
    #[error("an earlier attempt of a non-idempotent request may have been executed")]
    MayHaveExecuted,
    /// An earlier attempt is in flight, and the settings don't allow hedging.
    #[error("an attempt is in flight and hedging is not allowed")]
    InFlight,
}

/// The backends may have dropped the idempotency key by the time the attempt begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the backends may have dropped the idempotency key")]
pub struct KeyExpired;

/// Input of [`may_start_attempt`].
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext {
    /// Whether and where the request may be executed again.
    pub idempotency: Idempotency,
    /// Whether the settings allow two attempts in flight at the same time.
    pub hedging: bool,
    /// Maximum number of attempts of a request.
    pub max_attempts: usize,
    /// Number of attempts so far.
    pub attempts: usize,
    /// Earlier attempts that have not ended.
    pub in_flight: usize,
    /// Whether a backend executed an earlier attempt or may have executed it.
    pub may_have_executed: bool,
    /// Whether the request has its final answer or its client has disconnected.
    pub closed: bool,
}

/// Returns the kind of attempt that may be started for a request now.
///
/// # Errors
///
/// Returns the first refusal that applies: the request is closed, it has reached its maximum number of
/// attempts, it is not idempotent and may have been executed, or an attempt is in flight and hedging is not
/// allowed.
pub fn may_start_attempt(context: &AttemptContext) -> Result<AttemptKind, AttemptRefusal> {
    if context.closed {
        return Err(AttemptRefusal::Closed);
    }
    if context.attempts >= context.max_attempts {
        return Err(AttemptRefusal::AttemptLimit);
    }
    if context.idempotency == Idempotency::NonIdempotent && context.may_have_executed {
        return Err(AttemptRefusal::MayHaveExecuted);
    }
    match (context.attempts, context.in_flight) {
        (0, _) => Ok(AttemptKind::First),
        (_, 0) => Ok(AttemptKind::Retry),
        _ if context.hedging => Ok(AttemptKind::Hedge),
        _ => Err(AttemptRefusal::InFlight),
    }
}

/// Checks that an attempt that begins at `begins_by` at the latest finds the idempotency key at the
/// backends. `first_sent_at` is the time at which the first attempt with the key was sent.
///
/// # Errors
///
/// Returns [`KeyExpired`] if the window of the key may be over when the attempt begins.
pub fn may_repeat_key(
    window: Duration,
    first_sent_at: Instant,
    begins_by: Instant,
) -> Result<(), KeyExpired> {
    if begins_by < first_sent_at + window {
        Ok(())
    } else {
        Err(KeyExpired)
    }
}
