//! Encoded commands into which the timeout of each attempt is inserted.

use crate::resp;
use ingress::Duration;
use std::ops::Range;

/// Expected size of an encoded command without its options and body, in bytes.
const EXPECTED_OVERHEAD: usize = 96;
/// Expected size of an encoded body without the body itself, in bytes.
const EXPECTED_BODY_OVERHEAD: usize = 16;
const ARGUMENTS_BEFORE_OPTIONS: usize = 3;

/// An encoded command without the two parts that depend on the timeout: the length of the options, and the
/// timeout itself.
#[derive(Debug)]
pub struct CommandTemplate {
    /// The range of the request id in `bytes`.
    request_id: Range<usize>,
    /// The encoded arguments; the options lack their length and timeout.
    bytes: Vec<u8>,
    /// The position of the options in `bytes`.
    options_start: usize,
    /// The position in `bytes` at which the timeout is inserted.
    timeout_position: usize,
    /// The position after the options in `bytes`.
    options_end: usize,
}

impl CommandTemplate {
    /// Encodes the arguments of a command. `timeout` is the range of the timeout's value in the options.
    pub fn new(arguments: &[&[u8]], timeout: Range<usize>) -> Self {
        let (before_options, rest) = arguments.split_at(ARGUMENTS_BEFORE_OPTIONS);
        let (options, bodies) = (rest[0], &rest[1..]);
        let body_size = bodies.first().map_or(0, |body| body.len() + EXPECTED_BODY_OVERHEAD);
        let mut bytes = Vec::with_capacity(EXPECTED_OVERHEAD + options.len() + body_size);
        resp::write_array_header(&mut bytes, arguments.len());
        for argument in before_options {
            resp::write_bulk_string(&mut bytes, &[argument]);
        }
        let options_start = bytes.len();
        let id_end = options_start - b"\r\n".len();
        let id_len = before_options.last().map_or(0, |id| id.len());
        bytes.extend_from_slice(&options[..timeout.start]);
        let timeout_position = bytes.len();
        bytes.extend_from_slice(&options[timeout.end..]);
        let options_end = bytes.len();
        for body in bodies {
            resp::write_bulk_string(&mut bytes, &[body]);
        }
        let request_id = id_end - id_len..id_end;
        CommandTemplate { request_id, bytes, options_start, timeout_position, options_end }
    }

    /// Returns the request id from the client.
    pub fn request_id(&self) -> &[u8] {
        &self.bytes[self.request_id.clone()]
    }

    /// Appends the command with this timeout, at least 1 ms.
    pub fn encode(&self, timeout: Duration, out: &mut Vec<u8>) {
        let timeout_ms = timeout.as_millis().max(1).to_string();
        let before_timeout = &self.bytes[self.options_start..self.timeout_position];
        let after_timeout = &self.bytes[self.timeout_position..self.options_end];
        out.extend_from_slice(&self.bytes[..self.options_start]);
        resp::write_bulk_string(out, &[before_timeout, timeout_ms.as_bytes(), after_timeout]);
        out.extend_from_slice(&self.bytes[self.options_end..]);
    }

    /// Returns the allocated memory, in bytes.
    pub fn allocated(&self) -> usize {
        self.bytes.capacity()
    }
}
