//! A strict, bounded codec for RESP2, the wire format of commands and replies.
//!
//! Parsing is stateless: each call parses the bytes received so far and reports them as incomplete, complete
//! or malformed. Lengths are checked as soon as they are parsed, so that a connection never waits for bytes
//! that would be rejected. A body is skipped by its length, so that parsing an incomplete value again is
//! cheap.
//!
//! The crate `redis-protocol` is not used because it accepts any two bytes as the end of a bulk string, waits
//! for bodies of any announced length, and overflows the stack on deep nesting.

mod decode;
mod encode;
mod error;
mod skip;

pub use decode::{parse_command, parse_reply, Element, ElementKind, ParsedReply, Reply};
pub use encode::{write_array_header, write_bulk_string, write_error};
pub use error::ProtocolError;
pub use skip::CommandSkipper;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Maximum number of arguments of a command, and of elements of a reply.
const MAX_ELEMENTS: usize = 8;
/// Maximum total size of the arguments of a command, or of the elements of a reply, in bytes.
const MAX_TOTAL_BYTES: usize = MAX_VALUE_BYTES + 4096;
/// Maximum length of a header of a bulk string or array with its terminator, in bytes.
const MAX_HEADER_BYTES: usize = 1 + MAX_LENGTH_DIGITS + 2;
/// Maximum size of an encoded command, in bytes.
pub const MAX_COMMAND_BYTES: usize = MAX_TOTAL_BYTES + (MAX_ELEMENTS + 1) * (MAX_HEADER_BYTES + 2);
/// Maximum size of an encoded bulk string, in bytes.
pub const MAX_BULK_STRING_BYTES: usize = MAX_HEADER_BYTES + MAX_VALUE_BYTES + 2;
/// Maximum length of a status or error line, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// Maximum number of digits of a length.
const MAX_LENGTH_DIGITS: usize = 10;

#[cfg(test)]
mod tests;
