//! The errors that are sent to clients.

use crate::command::CommandError;
use crate::resp::ProtocolError;
use thiserror::Error;

/// Why a command is refused with an error, or a connection closed; clients are sent the text.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ClientError {
    /// What the client sent is not RESP2.
    #[error("protocol error: {0}")]
    Protocol(ProtocolError),
    /// The command's verb is unknown.
    #[error("unknown command")]
    UnknownCommand,
    /// The command's arguments are not acceptable.
    #[error(transparent)]
    InvalidCommand(CommandError),
    /// A request with the same id is in flight or has just ended.
    #[error("the id is not new")]
    DuplicateRequestId,
    /// The memory limit of all clients is reached, and this connection takes the most.
    #[error("no memory for the rest of a command")]
    MemoryLimit,
    /// A command was not completed in time.
    #[error("the rest of a command did not come in time")]
    CommandTimeout,
}
