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

/// How much of a command is written. Only a backend that has its last byte can have begun to execute it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandState {
    /// At least one byte is still to be written.
    Incomplete,
    /// It is completely written.
    Sent,
}

/// Identifies a connection: keys are reused, serial numbers are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId {
    /// Its index in the table of connections.
    pub(super) key: usize,
    /// Its number among all connections of the process.
    pub(super) serial: u64,
}

impl ConnectionId {
    /// Its number among all connections of the process.
    pub fn serial(self) -> u64 {
        self.serial
    }
}

/// The connection of an attempt that has been assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedConnection {
    /// The connection.
    pub connection: ConnectionId,
    /// How much of the command was written at once.
    pub command: CommandState,
}

/// An attempt whose first byte was written.
#[derive(Clone, Copy, Debug)]
pub struct FirstByteWritten {
    /// The attempt.
    pub attempt: AttemptId,
    /// The backend that the connection leads to.
    pub backend: BackendId,
    /// The timeout that the command states.
    pub stated_timeout: StatedTimeout,
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
pub struct ExchangeCompletion {
    /// The attempt.
    pub attempt: AttemptId,
    /// The backend that it was sent to.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// When the attempt was assigned to the connection.
    pub started_at: Instant,
    /// The requests that wait at the backend, where it reported them.
    pub reported_queue_depth: Option<f64>,
    /// With [`Outcome::Ok`]: the value as encoded by the backend.
    pub value: Vec<u8>,
}
