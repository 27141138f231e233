//! Connections to backends: a pool for each backend, and the attempts on the connections.
//!
//! A connection carries one command at a time, since cancelling an attempt means closing its connection.

mod attempt;
mod closing;
mod connection;
mod exchange;
mod idle_reuse;
mod pool;
mod reply;

pub use attempt::{
    AssignedConnection, AttemptId, CommandState, ConnectionId, ExchangeCompletion, FirstByteWritten,
    StatedTimeout,
};
pub use closing::BackendCloseReason;
pub use pool::BackendConnections;

#[cfg(test)]
mod tests;
