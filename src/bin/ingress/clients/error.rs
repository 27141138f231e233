//! Errors that are sent to clients.

use crate::command::CommandError;
use crate::resp::ProtocolError;
use thiserror::Error;

/// The reason for refusing a command or closing a connection. The text is sent to the client.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ClientError {
    /// The input is not valid RESP2.
    #[error("protocol error: {0}")]
    Protocol(ProtocolError),
    #[error("unknown command")]
    UnknownCommand,
    /// The command's arguments are invalid.
    #[error(transparent)]
    InvalidCommand(CommandError),
    /// A request with the same id is in flight or ended recently.
    #[error("the id is not new")]
    DuplicateRequestId,
    /// The rest of a command did not arrive in time.
    #[error("the rest of a command did not come in time")]
    CommandTimeout,
}
