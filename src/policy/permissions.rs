//! Permission checks for actions of the gateway and its host. Each refusal is a typed reason.
//! [`crate::audit`] verifies afterwards that the actions followed these rules.
//!
//! | permission | checked by | file |
//! | --- | --- | --- |
//! | start an attempt | the retry policy and the host | `policy/retry/permission.rs` |
//! | repeat an idempotency key | the retry policy | `policy/retry/permission.rs` |
//! | write the first byte of an attempt | the host | this file |
//! | send new work to a backend | the host; the load balancer chooses among ready backends | this file |
//! | reuse a backend connection | the host | this file |
//! | close a client's connection | the host | this file |

pub use super::retry::permission::{
    may_repeat_key, may_start_attempt, AttemptContext, AttemptKind, AttemptRefusal, KeyExpired,
};
use crate::{Availability, Duration, Instant};
use thiserror::Error;

/// Reason why the first byte of an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WriteRefusal {
    /// The request has its final answer, or its client has disconnected.
    #[error("the request is closed: it was answered or its client disconnected")]
    Closed,
    /// The attempt has reached its expiry time.
    #[error("the attempt has expired")]
    Expired,
    /// The connection was established later than the retry policy assumed.
    #[error("the connection was established too late")]
    ConnectedTooLate,
}

/// Input of [`may_begin_writing`].
#[derive(Clone, Copy, Debug)]
pub struct WriteContext {
    /// Current time.
    pub now: Instant,
    /// Time at which the attempt expires.
    pub expires_at: Instant,
    /// Latest start of the attempt that the retry policy assumed.
    pub begins_by: Instant,
    /// Whether the request has its final answer or its client has disconnected.
    pub closed: bool,
}

/// Checks that the first byte of an attempt may be written now.
///
/// # Errors
///
/// Returns the first refusal that applies: the request is closed, the attempt has expired, or its
/// connection was established later than the retry policy assumed.
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

/// Reason why a backend may not be sent new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BackendRefusal {
    /// The backend finishes its pending requests and accepts no new ones.
    #[error("the backend is draining")]
    Draining,
    /// The backend was removed from the endpoint list or was never in it.
    #[error("the backend is not listed")]
    NotListed,
}

/// Checks that a backend with this availability may be sent new work; `None` means that the backend is not
/// listed.
///
/// # Errors
///
/// Returns a refusal if the backend is draining or not listed.
pub fn may_send_to(listed: Option<Availability>) -> Result<(), BackendRefusal> {
    match listed {
        Some(Availability::Ready) => Ok(()),
        Some(Availability::Draining) => Err(BackendRefusal::Draining),
        Some(Availability::Gone) | None => Err(BackendRefusal::NotListed),
    }
}

/// Reason why an idle connection may not be used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReuseRefusal {
    /// Stray bytes of the previous exchange may still arrive.
    #[error("the connection was idle for less than the minimum time")]
    TooFresh,
    /// The backend may have closed the connection.
    #[error("the connection was idle for too long")]
    TooOld,
}

/// Range of idle times with which a connection may be reused.
#[derive(Clone, Copy, Debug)]
pub struct ReuseLimits {
    /// Minimum idle time, inclusive.
    pub min_idle_time: Duration,
    /// Maximum idle time, exclusive.
    pub max_idle_time: Duration,
}

/// Checks that a connection may carry the next command after this idle time.
///
/// # Errors
///
/// Returns a refusal if the idle time is below the minimum, or at or above the maximum.
pub fn may_reuse_connection(idle_time: Duration, limits: ReuseLimits) -> Result<(), ReuseRefusal> {
    if idle_time < limits.min_idle_time {
        Err(ReuseRefusal::TooFresh)
    } else if idle_time >= limits.max_idle_time {
        Err(ReuseRefusal::TooOld)
    } else {
        Ok(())
    }
}

/// Reason why a client's connection has to stay open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CloseRefusal {
    /// Replies are pending or not completely written.
    #[error("replies to the client are pending")]
    RepliesOwed,
    /// Part of a command was received, or unread input may contain one.
    #[error("the input may contain a command")]
    InputPending,
    /// The connection is being closed already.
    #[error("the connection is being closed already")]
    Closing,
    /// The connection was accepted only to reject its requests.
    #[error("the connection is over the connection limit")]
    OverLimit,
}

/// Phase of closing a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosingState {
    /// The connection serves commands.
    Open,
    /// The connection was accepted above the connection limit, only to reject its requests.
    OverLimit,
    /// The connection is being closed.
    Closing,
}

/// State of a client's connection that decides whether it may be closed.
#[derive(Clone, Copy, Debug)]
pub struct ClientConnectionState {
    /// Whether a reply is pending or being written.
    pub is_busy: bool,
    /// Whether received input is not parsed yet, or unread input may be waiting.
    pub has_input: bool,
    /// Whether the ingress is closing the connection.
    pub closing: ClosingState,
}

/// Checks that a client's connection may be closed now without notice, as between two requests.
///
/// # Errors
///
/// Returns the first refusal that applies: replies are pending, input was received or may be waiting, or
/// the connection is over the connection limit or being closed already.
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
