//! What a connection is used for, and how that ends.

use ingress::{BackendId, LoadReport, Micros, Outcome, RequestId};

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

/// How an attempt or a health check ended.
pub struct Completion {
    /// What the connection was used for.
    pub assignment: Assignment,
    /// The backend it was connected to.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// When the connection was given the assignment.
    pub started_at: Micros,
    /// The load that the backend reported.
    pub load_report: Option<LoadReport>,
    /// With [`Outcome::Ok`]: the value as encoded by the backend.
    pub value: Vec<u8>,
}
