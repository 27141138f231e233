//! Connections to backends: a pool per backend, and the exchange of commands and replies.
//!
//! A connection carries one command at a time, because an attempt is cancelled by closing its connection.

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
