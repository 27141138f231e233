//! The attempts that connections carry, and how these end.

use ingress::{BackendId, Duration, Instant, Outcome, RequestId};

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number; the first one has 0.
    pub number: u16,
}

/// How much of a command is written. Only a backend that has its last byte may have begun to execute it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandState {
    /// At least one byte is still to be written.
    Unsent,
    /// All of it is written.
    Sent,
}

/// Identifies a connection for as long as it lives: keys are used again, serial numbers are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId {
    /// Its place in the table of connections.
    pub(super) key: usize,
    /// Counts all connections of the process.
    pub(super) serial: u64,
}

/// A connection that has been given an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedConnection {
    /// The connection.
    pub connection: ConnectionId,
    /// How much of the command could be written at once.
    pub command: CommandState,
}

/// An attempt of whose command the first byte was written.
#[derive(Clone, Copy, Debug)]
pub struct Begun {
    /// The attempt.
    pub attempt: AttemptId,
    /// The backend that the connection leads to.
    pub backend: BackendId,
    /// When the command that was written was encoded.
    pub at: Instant,
    /// The timeout that the command states.
    pub stated_timeout: Duration,
}

/// Why a connection to a backend was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Its attempt was cancelled, or timed out.
    Cancelled,
    /// It did not come up, or its command could not be written, in time.
    ConnectTimeout,
    /// It broke, or the backend ended it.
    Broken,
    /// What came on it does not allow another use.
    Unusable,
    /// A reply that had begun did not go on.
    Stalled,
    /// It was idle for as long as it may be.
    Expired,
    /// Its descriptor was needed.
    MadeRoom,
    /// Its backend drains, was removed or has moved.
    BackendClosed,
}

/// The timeout that a command states to its backend, which is true at the time of its encoding.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedTimeout {
    /// When the command was encoded.
    pub stated_at: Instant,
    /// How much time the attempt had left then.
    pub timeout: Duration,
}

/// How an attempt ended.
pub struct Completion {
    /// The attempt.
    pub attempt: AttemptId,
    /// The backend that it was sent to.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// When the connection was given the attempt.
    pub started_at: Instant,
    /// The requests that wait at the backend, where it reported them.
    pub reported_queue_depth: Option<f64>,
    /// With [`Outcome::Ok`]: the value as encoded by the backend.
    pub value: Vec<u8>,
}
