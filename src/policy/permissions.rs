//! The rules on what may be done now, each answered with a typed reason for a no. [`crate::audit`] checks
//! afterwards what was done.
//!
//! | question | who asks | file |
//! | --- | --- | --- |
//! | may an attempt be started? | the retry policy and the host | `policy/retry/permission.rs` |
//! | may an idempotency key be repeated? | the retry policy | `policy/retry/permission.rs` |
//! | may the first byte of an attempt be written? | the host | here |
//! | may a backend be sent something new? | the host; the load balancer chooses among ready ones | here |
//! | may a connection be used again? | the host | here |
//! | may a client's connection be closed? | the host | here |

pub use super::retry::permission::{
    may_repeat_key, may_start_attempt, AttemptContext, AttemptKind, AttemptRefusal, KeyExpired,
};
use crate::{Availability, Duration, Instant};
use thiserror::Error;

/// Why the first byte of an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WriteRefusal {
    /// No answer is owed any more.
    #[error("the request is closed: answered, or abandoned by its client")]
    Closed,
    /// The attempt's time is over.
    #[error("the attempt's time is over")]
    Expired,
    /// The connection took longer to come up than the policy counted on.
    #[error("the connection came up too late")]
    ConnectedTooLate,
}

/// What is known of an attempt whose first byte could be written.
#[derive(Clone, Copy, Debug)]
pub struct WriteContext {
    /// The time.
    pub now: Instant,
    /// When the attempt is given up.
    pub expires_at: Instant,
    /// By when the policy counts on its beginning.
    pub begins_by: Instant,
    /// No answer is owed any more: the request has its final answer, or its client has disconnected.
    pub closed: bool,
}

/// Whether the first byte of an attempt may be written now.
///
/// # Errors
///
/// The first of these that holds: no answer is owed any more, the attempt has expired, or its connection came
/// up later than the policy counted on.
pub fn may_begin_writing(context: &WriteContext) -> Result<(), WriteRefusal> {
    if context.closed {
        Err(WriteRefusal::Closed)
    } else if context.now >= context.expires_at {
        Err(WriteRefusal::Expired)
    } else if context.now > context.begins_by {
        Err(WriteRefusal::ConnectedTooLate)
    } else {
        Ok(())
    }
}

/// Why a backend may be sent nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BackendRefusal {
    /// It finishes its work.
    #[error("the backend is draining")]
    Draining,
    /// It was taken away, or was never listed.
    #[error("the backend is not listed")]
    NotListed,
}

/// Whether a backend that is listed as this, or not at all, may be sent something new.
///
/// # Errors
///
/// If the backend is draining, or is not listed.
pub fn may_send_to(listed: Option<Availability>) -> Result<(), BackendRefusal> {
    match listed {
        Some(Availability::Ready) => Ok(()),
        Some(Availability::Draining) => Err(BackendRefusal::Draining),
        Some(Availability::Gone) | None => Err(BackendRefusal::NotListed),
    }
}

/// Why an idle connection may not be used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReuseRefusal {
    /// Stray bytes of the last exchange may still come.
    #[error("it has not rested for long enough")]
    TooFresh,
    /// The backend may have closed it.
    #[error("it was idle for too long")]
    TooOld,
}

/// How long a connection may be idle and be used.
#[derive(Clone, Copy, Debug)]
pub struct ReuseLimits {
    /// At the least.
    pub min_idle_time: Duration,
    /// Less than this.
    pub max_idle_time: Duration,
}

/// Whether a connection that was idle for so long may carry the next command.
///
/// # Errors
///
/// If the connection was idle for less than the least idle time, or for the limit or longer.
pub fn may_reuse_connection(idle_time: Duration, limits: ReuseLimits) -> Result<(), ReuseRefusal> {
    if idle_time < limits.min_idle_time {
        Err(ReuseRefusal::TooFresh)
    } else if idle_time >= limits.max_idle_time {
        Err(ReuseRefusal::TooOld)
    } else {
        Ok(())
    }
}

/// Why a client's connection has to stay open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CloseRefusal {
    /// Replies are owed, or not written yet.
    #[error("replies are owed")]
    RepliesOwed,
    /// Part of a command has come, or more may be waiting to be read.
    #[error("a command may have come")]
    InputPending,
    /// Its end has begun already.
    #[error("it is closing")]
    Closing,
    /// It was accepted only to reject its first request.
    #[error("it is over the limit")]
    OverLimit,
}

/// Whether this side ends the connection of a client already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosingState {
    /// It serves commands.
    Open,
    /// It was accepted over the limit on connections, only to reject its first request.
    OverLimit,
    /// Its end has begun.
    Closing,
}

/// What is known of a client's connection.
#[derive(Clone, Copy, Debug)]
pub struct ClientConnectionState {
    /// It awaits or is being sent a reply.
    pub is_busy: bool,
    /// Something was received and not parsed, or is to be read yet.
    pub has_input: bool,
    /// Whether this side ends it already.
    pub closing: ClosingState,
}

/// Whether a client's connection may be closed now without a word, as between two requests.
///
/// # Errors
///
/// The first of these that holds: replies are owed, input has come or may be waiting, or the connection is
/// closing already.
pub fn may_close_client(connection: ClientConnectionState) -> Result<(), CloseRefusal> {
    if connection.is_busy {
        return Err(CloseRefusal::RepliesOwed);
    }
    if connection.has_input {
        return Err(CloseRefusal::InputPending);
    }
    match connection.closing {
        ClosingState::Open => Ok(()),
        ClosingState::OverLimit => Err(CloseRefusal::OverLimit),
        ClosingState::Closing => Err(CloseRefusal::Closing),
    }
}

#[cfg(test)]
mod tests;
