//! Discards a command as it arrives, when there is no memory to receive it.

use super::decode::parse_length_header;
use super::error::{Parsed, ProtocolError};
use super::{MAX_ELEMENTS, MAX_TOTAL_BYTES, MAX_VALUE_BYTES};

/// The terminator of a bulk string.
const TERMINATOR: &[u8] = b"\r\n";

/// The part of the command that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// The type marker of the command, or the number of its arguments.
    ArrayHeader,
    /// The type marker of an argument, or its length.
    ArgumentHeader,
    /// The body of an argument, of which this many bytes are left.
    Body(usize),
    /// The terminator of an argument, of which this many bytes have arrived.
    Terminator(usize),
}

/// Discards one command and finds its end. It checks lengths and terminators as
/// [`parse_command`](super::parse_command) does.
#[derive(Debug)]
pub struct CommandSkipper {
    position: Position,
    /// The bytes of the current header.
    header: Vec<u8>,
    /// The number of arguments that have not ended, once the array's header has arrived.
    arguments_left: usize,
    /// The size that the arguments may still have together, in bytes.
    bytes_left: usize,
}

impl Default for CommandSkipper {
    fn default() -> Self {
        CommandSkipper {
            position: Position::ArrayHeader,
            header: Vec::new(),
            arguments_left: 0,
            bytes_left: MAX_TOTAL_BYTES,
        }
    }
}

impl CommandSkipper {
    /// Discards the next received bytes of the command. Returns the number of bytes up to the command's end,
    /// or `None` if all belong to the command and its end has not arrived.
    pub fn skip(&mut self, bytes: &[u8]) -> Parsed<usize> {
        let mut used = 0;
        while let Some(byte) = bytes.get(used) {
            match self.position {
                Position::Body(left) => {
                    let skipped = left.min(bytes.len() - used);
                    used += skipped;
                    self.position = body_position(left - skipped);
                }
                Position::Terminator(arrived) => {
                    if *byte != TERMINATOR[arrived] {
                        return Err(ProtocolError::UnterminatedBulkString);
                    }
                    used += 1;
                    if arrived + 1 < TERMINATOR.len() {
                        self.position = Position::Terminator(arrived + 1);
                    } else if self.end_argument() {
                        return Ok(Some(used));
                    }
                }
                Position::ArrayHeader | Position::ArgumentHeader => {
                    used += 1;
                    self.add_to_header(*byte)?;
                }
            }
        }
        Ok(None)
    }

    /// Ends an argument, and returns whether it is the last one.
    fn end_argument(&mut self) -> bool {
        self.arguments_left -= 1;
        self.position = Position::ArgumentHeader;
        self.arguments_left == 0
    }

    /// Adds a byte to the current header, and interprets the header if it is complete.
    fn add_to_header(&mut self, byte: u8) -> Result<(), ProtocolError> {
        self.header.push(byte);
        let is_array = self.position == Position::ArrayHeader;
        let (marker, error) = if is_array {
            (b'*', ProtocolError::CommandNotArray)
        } else {
            (b'$', ProtocolError::ArgumentNotBulkString)
        };
        if self.header[0] != marker {
            return Err(error);
        }
        let max = if is_array { MAX_ELEMENTS } else { MAX_VALUE_BYTES.min(self.bytes_left) };
        let Some(header) = parse_length_header(&self.header, 0, max)? else { return Ok(()) };
        self.header.clear();
        if is_array {
            self.arguments_left =
                header.length.filter(|count| *count > 0).ok_or(ProtocolError::EmptyCommand)?;
            self.position = Position::ArgumentHeader;
        } else {
            let length = header.length.ok_or(ProtocolError::NullArgument)?;
            self.bytes_left -= length;
            self.position = body_position(length);
        }
        Ok(())
    }
}

/// Returns the position in an argument of whose body this many bytes are left.
fn body_position(left: usize) -> Position {
    if left == 0 {
        Position::Terminator(0)
    } else {
        Position::Body(left)
    }
}
