//! Connections to backends: a pool for each backend, the attempts on them, and how these end.
//!
//! A connection carries one command at a time, since cancelling an attempt means closing its connection.

mod assignment;
mod connection;
mod exchange;
mod idle_reuse;
mod pool;
mod reply;

pub use assignment::{
    AssignedConnection, AttemptId, Begun, CommandState, Completion, ConnectionEnd, ConnectionId,
    StatedTimeout,
};
pub use pool::Backends;

#[cfg(test)]
mod tests;
