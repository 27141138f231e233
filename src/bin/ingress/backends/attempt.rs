//! Identifiers, progress and results of the attempts that connections to backends carry.

use ingress::{BackendId, Duration, Instant, Outcome, RequestId};

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    /// Number of the attempt within its request, starting at 0.
    pub number: u16,
}

/// Progress of writing a command. A backend cannot start executing a command before its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandState {
    /// At least one byte is not written yet.
    Incomplete,
    /// All bytes are written.
    Sent,
}

/// Identifies a connection. Keys are reused after a connection is closed, serial numbers are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId {
    /// Index in the connection slab.
    pub(super) key: usize,
    /// Sequence number among all backend connections of the process.
    pub(super) serial: u64,
}

impl ConnectionId {
    /// Returns the sequence number among all backend connections of the process.
    pub fn serial(self) -> u64 {
        self.serial
    }
}

/// Result of assigning an attempt to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedConnection {
    pub connection: ConnectionId,
    /// Progress of the command after the first write.
    pub command: CommandState,
}

/// Notification that the first byte of an attempt's command was written.
#[derive(Clone, Copy, Debug)]
pub struct FirstByteWritten {
    pub attempt: AttemptId,
    pub backend: BackendId,
    pub stated_timeout: StatedTimeout,
}

/// The timeout that a command states to its backend, relative to the time at which the command was encoded.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedTimeout {
    /// Time at which the command was encoded.
    pub stated_at: Instant,
    /// Time that the attempt had left at `stated_at`.
    pub timeout: Duration,
}

/// Result of a completed attempt.
pub struct ExchangeCompletion {
    pub attempt: AttemptId,
    pub backend: BackendId,
    pub outcome: Outcome,
    /// Time at which the attempt was assigned to its connection.
    pub started_at: Instant,
    /// Number of requests queued at the backend, if the backend reported it.
    pub reported_queue_depth: Option<f64>,
    /// The value as encoded by the backend; empty unless the outcome is [`Outcome::Ok`].
    pub value: Vec<u8>,
}
