//! What connections are given to do, and how it ends.

use ingress::{BackendId, LoadReport, Micros, Outcome, RequestId};

/// What a connection is busy with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// An attempt of a request, the first one with number 0.
    Attempt { id: RequestId, attempt: u16 },
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

/// What the poll reported about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    pub writable: bool,
    /// The backend has closed its end, or the connection has an error.
    pub closed: bool,
}

/// A connection that has been given an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedConnection {
    pub connection: ConnectionId,
    /// How much of the command could be written at once.
    pub command: CommandState,
}

/// A connection, for as long as it lives: places in the slab are used again, serial numbers are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId {
    pub(super) key: usize,
    pub(super) serial: u64,
}

/// How an attempt or a probe ended.
pub struct Completion {
    pub assignment: Assignment,
    pub backend: BackendId,
    pub outcome: Outcome,
    pub started_at: Micros,
    pub load_report: Option<LoadReport>,
    /// With [`Outcome::Ok`]: the value's bytes as they came.
    pub value: Vec<u8>,
}
