//! Parses commands and replies from a buffer.

use super::error::{Parsed, ProtocolError};
use super::{MAX_ELEMENTS, MAX_LENGTH_DIGITS, MAX_LINE_BYTES, MAX_TOTAL_BYTES, MAX_VALUE_BYTES};
use std::ops::Range;

/// Length of the CR LF that ends a line or a bulk string, in bytes.
const TERMINATOR_BYTES: usize = 2;

/// The RESP2 type of an element.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElementKind {
    Simple,
    Error,
    Integer,
    Bulk,
    /// A null bulk string or a null array.
    Null,
}

/// An element of a reply or command, as ranges of the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element {
    pub kind: ElementKind,
    /// The text or body without header and terminator.
    pub payload: Range<usize>,
    /// The complete encoded element, with header and terminator.
    pub span: Range<usize>,
}

/// A reply from a backend.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// A value that is not an array, or a null array.
    Single(Element),
    /// An array of values.
    Array(Vec<Element>),
}

/// A reply and its encoded length.
#[derive(Debug, PartialEq, Eq)]
pub struct ParsedReply {
    pub reply: Reply,
    /// The number of bytes from the beginning of the buffer to the end of the reply.
    pub length: usize,
}

struct Line {
    /// The range of the text, without the terminator.
    text: Range<usize>,
    /// The position after the line.
    end: usize,
}

/// The header of a bulk string or array.
pub(super) struct LengthHeader {
    /// The number of bytes or elements that follow, or `None` for a null.
    pub(super) length: Option<usize>,
    /// The position after the header.
    end: usize,
}

/// Parses the line of at most `max_len` bytes that begins at `start`.
fn parse_line(buffer: &[u8], start: usize, max_len: usize) -> Parsed<Line> {
    let max_len_with_terminator = max_len + TERMINATOR_BYTES;
    let received = &buffer[start..buffer.len().min(start + max_len_with_terminator)];
    match received.iter().position(|byte| *byte == b'\n') {
        Some(newline) if newline > 0 && received[newline - 1] == b'\r' => {
            Ok(Some(Line { text: start..start + newline - 1, end: start + newline + 1 }))
        }
        Some(_) => Err(ProtocolError::UnterminatedLine),
        None if received.len() == max_len_with_terminator => Err(ProtocolError::LineTooLong),
        None => Ok(None),
    }
}

/// Parses the digits of a length of at most `max`. Returns `None` for the -1 of a null.
fn parse_length(digits: &[u8], max: usize) -> Parsed<usize> {
    if digits == b"-1" {
        return Ok(None);
    }
    if digits.is_empty() || digits.len() > MAX_LENGTH_DIGITS || !digits.iter().all(u8::is_ascii_digit) {
        return Err(ProtocolError::InvalidLength);
    }
    let append =
        |length: usize, digit: &u8| length.saturating_mul(10).saturating_add(usize::from(digit - b'0'));
    let length = digits.iter().fold(0, append);
    if length > max {
        return Err(ProtocolError::LengthOverLimit);
    }
    Ok(Some(length))
}

/// Parses the header whose type marker is at `start`, with a length of at most `max`.
pub(super) fn parse_length_header(buffer: &[u8], start: usize, max: usize) -> Parsed<LengthHeader> {
    let Some(line) = parse_line(buffer, start + 1, MAX_LENGTH_DIGITS)? else { return Ok(None) };
    Ok(Some(LengthHeader { length: parse_length(&buffer[line.text], max)?, end: line.end }))
}

/// Returns the position after the terminator of the bulk string with this `body`.
fn bulk_string_end(buffer: &[u8], body: &Range<usize>) -> Parsed<usize> {
    match buffer.get(body.end..).unwrap_or_default() {
        [b'\r', b'\n', ..] => Ok(Some(body.end + TERMINATOR_BYTES)),
        [] | [b'\r'] => Ok(None),
        _ => Err(ProtocolError::UnterminatedBulkString),
    }
}

/// Parses the command at the beginning of `buffer`, an array of bulk strings. Replaces `arguments` with the
/// ranges of the arguments and returns the command's length.
pub fn parse_command(buffer: &[u8], arguments: &mut Vec<Range<usize>>) -> Parsed<usize> {
    arguments.clear();
    match buffer.first() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err(ProtocolError::CommandNotArray),
    }
    let Some(header) = parse_length_header(buffer, 0, MAX_ELEMENTS)? else { return Ok(None) };
    let count = header.length.filter(|count| *count > 0).ok_or(ProtocolError::EmptyCommand)?;
    let mut position = header.end;
    let mut remaining = MAX_TOTAL_BYTES;
    for _ in 0..count {
        let max_len = MAX_VALUE_BYTES.min(remaining);
        let Some(argument) = parse_argument(buffer, position, max_len)? else { return Ok(None) };
        remaining -= argument.payload.len();
        position = argument.span.end;
        arguments.push(argument.payload);
    }
    Ok(Some(position))
}

/// Parses the argument of at most `max_len` bytes that begins at `start`.
fn parse_argument(buffer: &[u8], start: usize, max_len: usize) -> Parsed<Element> {
    match buffer.get(start) {
        None => return Ok(None),
        Some(b'$') => {}
        Some(_) => return Err(ProtocolError::ArgumentNotBulkString),
    }
    let Some(argument) = parse_bulk_string(buffer, start, max_len)? else { return Ok(None) };
    match argument.kind {
        ElementKind::Null => Err(ProtocolError::NullArgument),
        _ => Ok(Some(argument)),
    }
}

/// Parses the bulk string of at most `max_len` bytes that begins at `start`, which may be null.
fn parse_bulk_string(buffer: &[u8], start: usize, max_len: usize) -> Parsed<Element> {
    let Some(header) = parse_length_header(buffer, start, max_len)? else { return Ok(None) };
    let Some(length) = header.length else {
        return Ok(Some(null_element(start, header.end)));
    };
    let payload = header.end..header.end + length;
    let Some(end) = bulk_string_end(buffer, &payload)? else { return Ok(None) };
    Ok(Some(Element { kind: ElementKind::Bulk, payload, span: start..end }))
}

/// Returns a null element that spans these positions.
fn null_element(start: usize, end: usize) -> Element {
    Element { kind: ElementKind::Null, payload: end..end, span: start..end }
}

/// Parses the reply element that begins at `start`, a bulk string of at most `max_len` bytes or a line.
fn parse_element(buffer: &[u8], start: usize, max_len: usize) -> Parsed<Element> {
    let Some(marker) = buffer.get(start) else { return Ok(None) };
    let kind = match marker {
        b'+' => ElementKind::Simple,
        b'-' => ElementKind::Error,
        b':' => ElementKind::Integer,
        b'$' => return parse_bulk_string(buffer, start, max_len),
        b'*' => return parse_null_array(buffer, start, max_len),
        _ => return Err(ProtocolError::UnknownTypeMarker),
    };
    let Some(line) = parse_line(buffer, start + 1, MAX_LINE_BYTES)? else { return Ok(None) };
    Ok(Some(Element { kind, payload: line.text, span: start..line.end }))
}

/// Parses the array that begins at `start` inside another one, where only the null array is accepted.
fn parse_null_array(buffer: &[u8], start: usize, max_len: usize) -> Parsed<Element> {
    let Some(header) = parse_length_header(buffer, start, max_len)? else { return Ok(None) };
    match header.length {
        None => Ok(Some(null_element(start, header.end))),
        Some(_) => Err(ProtocolError::NestedArray),
    }
}

/// Parses the reply at the beginning of `buffer`.
pub fn parse_reply(buffer: &[u8]) -> Parsed<ParsedReply> {
    if buffer.first() != Some(&b'*') {
        let element = parse_element(buffer, 0, MAX_VALUE_BYTES)?;
        return Ok(element.map(single_reply));
    }
    let Some(header) = parse_length_header(buffer, 0, MAX_ELEMENTS)? else { return Ok(None) };
    let Some(count) = header.length else {
        return Ok(Some(single_reply(null_element(0, header.end))));
    };
    let mut elements = Vec::with_capacity(count);
    let mut position = header.end;
    let mut remaining = MAX_TOTAL_BYTES;
    for _ in 0..count {
        let max_len = MAX_VALUE_BYTES.min(remaining);
        let Some(element) = parse_element(buffer, position, max_len)? else { return Ok(None) };
        position = element.span.end;
        remaining = remaining.saturating_sub(element.payload.len());
        elements.push(element);
    }
    Ok(Some(ParsedReply { reply: Reply::Array(elements), length: position }))
}

/// Returns the reply that consists of one element.
fn single_reply(element: Element) -> ParsedReply {
    let length = element.span.end;
    ParsedReply { reply: Reply::Single(element), length }
}
