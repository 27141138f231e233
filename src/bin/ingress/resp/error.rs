//! Errors of parsing RESP2.

use thiserror::Error;

/// The reason for rejecting bytes as RESP2. If a client sent them, it receives the text.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ProtocolError {
    /// A line feed does not follow a carriage return.
    #[error("a line does not end with CR LF")]
    UnterminatedLine,
    /// A status, error or length line exceeds its limit.
    #[error("a line is too long")]
    LineTooLong,
    /// A length does not consist of digits.
    #[error("a length is no number")]
    InvalidLength,
    /// A length exceeds its limit.
    #[error("a length is over the limit")]
    LengthOverLimit,
    /// A bulk string has no terminator after its length.
    #[error("a bulk string does not end with CR LF")]
    UnterminatedBulkString,
    #[error("a command is no array")]
    CommandNotArray,
    /// A command has no verb.
    #[error("a command is empty")]
    EmptyCommand,
    #[error("an argument is no bulk string")]
    ArgumentNotBulkString,
    #[error("an argument is null")]
    NullArgument,
    /// An element of a reply starts with an unknown type marker.
    #[error("a reply begins with an unknown type marker")]
    UnknownTypeMarker,
    /// An array that is not null is an element of another array.
    #[error("an array is nested in an array")]
    NestedArray,
}

/// The result of parsing the bytes received so far: `None` while they are incomplete.
pub type Parsed<T> = Result<Option<T>, ProtocolError>;
