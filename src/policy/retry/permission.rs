//! Whether an attempt of a request may be started, and whether its idempotency key may be used again.
//!
//! These rules are about safety alone: what may be executed twice, and how often. Whether a retry is of any
//! use is the matter of [`RetryPolicy`](super::RetryPolicy).

use crate::{Duration, Idempotency, Instant};
use thiserror::Error;

/// What kind of attempt may be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The request's first one.
    First,
    /// A further one, with none in flight.
    Retry,
    /// A further one beside one in flight.
    Hedge,
}

/// Why an attempt may not be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AttemptRefusal {
    /// No answer is owed any more.
    #[error("the request is closed: answered, or abandoned by its client")]
    Closed,
    /// The settings allow no further attempt.
    #[error("there were as many attempts as are allowed")]
    AttemptLimit,
    /// An earlier attempt may have been executed, and the class may not be executed again.
    #[error("an earlier attempt may have been executed")]
    MayHaveExecuted,
    /// An earlier attempt is in flight, and the settings allow no second one beside it.
    #[error("an attempt is in flight")]
    InFlight,
}

/// The backends may have forgotten the idempotency key by the time the attempt begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the idempotency key may be forgotten")]
pub struct KeyExpired;

/// What is known of a request that wants an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext {
    /// Whether it may be executed again.
    pub idempotency: Idempotency,
    /// Whether the settings allow two attempts in flight together.
    pub hedging: bool,
    /// The most attempts of a request.
    pub max_attempts: usize,
    /// Its attempts so far.
    pub attempts: usize,
    /// Those of them that are in flight.
    pub in_flight: usize,
    /// Whether one of them was or may have been executed.
    pub may_have_executed: bool,
    /// No answer is owed any more: the request has its final answer, or its client has disconnected.
    pub closed: bool,
}

/// Whether a request may have an attempt now.
///
/// # Errors
///
/// The first of these that holds: no answer is owed any more, the request has had all its attempts, it is not
/// idempotent and may have been executed, or an attempt is in flight and hedging is not permitted.
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

/// Whether an attempt that begins at `begins_by` at the latest meets backends that know the key of the
/// attempt that was first sent, at `first_sent_at`.
///
/// # Errors
///
/// If the window of the key may be over when the attempt begins.
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
