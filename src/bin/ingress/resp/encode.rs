//! Writes RESP2 values to a buffer.

use super::MAX_LINE_BYTES;
use std::io::Write;

/// Length of an error line without its message, rounded up: `-ERR ` and the terminator.
const ERROR_LINE_OVERHEAD: usize = 8;

/// Appends the header of an array of `count` elements.
pub fn write_array_header(out: &mut Vec<u8>, count: usize) {
    let _ = write!(out, "*{count}\r\n"); // Writing to a Vec cannot fail.
}

/// Appends a bulk string that consists of `parts`.
pub fn write_bulk_string(out: &mut Vec<u8>, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    let _ = write!(out, "${length}\r\n"); // Writing to a Vec cannot fail.
    for part in parts {
        out.extend_from_slice(part);
    }
    out.extend_from_slice(b"\r\n");
}

/// Appends an error line. Control characters of the message become spaces, and the message is cut to the
/// maximum length of a line: otherwise the line would be invalid.
pub fn write_error(out: &mut Vec<u8>, message: &str) {
    let printable = message.bytes().map(|byte| if byte.is_ascii_control() { b' ' } else { byte });
    out.extend_from_slice(b"-ERR ");
    out.extend(printable.take(MAX_LINE_BYTES - ERROR_LINE_OVERHEAD));
    out.extend_from_slice(b"\r\n");
}
