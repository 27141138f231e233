//! Connections to backends: a pool for each, attempts and probes, and how these end. A connection carries one
//! request at a time, for calling an attempt off means closing its connection.

mod assignment;
mod connection;
mod exchange;
mod idle_reuse;
mod pool;
mod reply;

pub use assignment::{AssignedConnection, Assignment, CommandState, Completion, ConnectionId, Readiness};
pub use pool::Backends;

#[cfg(test)]
mod tests;
