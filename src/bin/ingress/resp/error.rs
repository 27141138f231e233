//! Why bytes are rejected as RESP2.

use thiserror::Error;

/// Why bytes are rejected as RESP2.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ProtocolError {
    /// A line feed without a carriage return before it.
    #[error("a line does not end with CR LF")]
    UnterminatedLine,
    /// A status, error or length line over its limit.
    #[error("a line is too long")]
    LineTooLong,
    /// A length that is not written in digits.
    #[error("a length is no number")]
    InvalidLength,
    /// A length over the limit.
    #[error("a length is over the limit")]
    LengthOverLimit,
    /// A bulk string without a terminator after its length.
    #[error("a bulk string does not end with CR LF")]
    UnterminatedBulkString,
    /// A command that is not an array.
    #[error("a command is no array")]
    CommandNotArray,
    /// A command without a verb.
    #[error("a command is empty")]
    EmptyCommand,
    /// An argument that is not a bulk string.
    #[error("an argument is no bulk string")]
    ArgumentNotBulkString,
    /// A null argument.
    #[error("an argument is null")]
    NullArgument,
    /// A reply that starts with none of the type markers.
    #[error("an answer begins with no mark of RESP2")]
    UnknownTypeMarker,
    /// An array as an element of another array.
    #[error("an array stands inside an array")]
    NestedArray,
}

/// The result of parsing bytes received so far: `None` while they are incomplete.
pub type Parsed<T> = Result<Option<T>, ProtocolError>;
