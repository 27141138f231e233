//! What a connection is used for, and how that ends.

use ingress::{BackendId, Duration, Instant, LoadReport, Outcome, RequestId};

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Assignment {
    /// An attempt of a request, the first one with number 0.
    Attempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// A health check.
    HealthCheck,
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

/// A connection that has been given an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedConnection {
    /// The connection.
    pub connection: ConnectionId,
    /// How much of the command could be written at once.
    pub command: CommandState,
}

/// An assignment of whose command the first byte was written.
#[derive(Clone, Copy, Debug)]
pub struct Begun {
    /// What the connection is used for.
    pub assignment: Assignment,
    /// The backend it is connected to.
    pub backend: BackendId,
    /// When the command was encoded that was written.
    pub at: Instant,
    /// The time that the command tells the backend to have.
    pub time_told: Duration,
}

/// Why a connection to a backend was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Its attempt or health check was given up.
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
    /// The policy wanted its backend's idle connections closed.
    Requested,
}

/// A command as it is written: what it tells the backend, and when that was true.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeTold {
    /// When the command was encoded.
    pub at: Instant,
    /// The time that it tells the backend to have.
    pub time_left: Duration,
}

/// How an attempt or a health check ended.
pub struct Completion {
    /// What the connection was used for.
    pub assignment: Assignment,
    /// The backend it was connected to.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// When the connection was given the assignment.
    pub started_at: Instant,
    /// The load that the backend reported.
    pub load_report: Option<LoadReport>,
    /// With [`Outcome::Ok`]: the value as encoded by the backend.
    pub value: Vec<u8>,
}
