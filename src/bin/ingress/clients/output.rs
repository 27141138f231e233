//! The output buffer of a connection.

use crate::socket_error::is_out_of_memory;
use ingress::{Duration, Instant};
use mio::net::TcpStream;
use std::io::{self, Write};

/// The capacity of its buffer that an idle connection keeps, in bytes.
const IDLE_CAPACITY: usize = 2 * 1024;
/// How long a client may read nothing before its connection is closed.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All was written, or as much as the socket takes; a readiness event follows.
    Written,
    /// The system lacks memory; the write is to be retried.
    OutOfMemory,
}

/// Bytes that are still to be written to a connection.
#[derive(Default)]
pub struct OutputBuffer {
    /// The bytes; those already written are removed once all are.
    pub bytes: Vec<u8>,
    /// How many of the bytes are written.
    written: usize,
    /// Since when the socket takes nothing.
    blocked_since: Option<Instant>,
}

impl OutputBuffer {
    /// Whether all is written and cleared.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// How many bytes are not written yet.
    pub fn unwritten(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Whether the socket took nothing at the latest write.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since.is_some()
    }

    /// Whether the client has read nothing for too long.
    pub fn is_timed_out(&self, now: Instant) -> bool {
        self.blocked_since.is_some_and(|since| now > since + WRITE_TIMEOUT)
    }

    /// Writes as much as the socket takes; an error means that the connection is broken.
    pub fn write_to(&mut self, stream: &mut TcpStream, now: Instant) -> io::Result<WriteOutcome> {
        while self.unwritten() > 0 {
            match stream.write(&self.bytes[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.written += written;
                    self.blocked_since = None;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.blocked_since = self.blocked_since.or(Some(now));
                    break;
                }
                Err(error) if is_out_of_memory(&error) => return Ok(WriteOutcome::OutOfMemory),
                Err(error) => return Err(error),
            }
        }
        Ok(WriteOutcome::Written)
    }

    /// Removes the written bytes and frees most of their memory.
    pub fn clear(&mut self) {
        self.written = 0;
        self.bytes.clear();
        self.bytes.shrink_to(IDLE_CAPACITY);
    }
}
