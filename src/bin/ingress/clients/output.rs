//! The output buffer of a client connection.

use super::connection::LINGER_TIMEOUT;
use crate::socket_error::is_out_of_memory;
use ingress::{Duration, Instant};
use mio::net::TcpStream;
use std::io::{self, Write};

/// Maximum capacity of the buffer that an idle connection keeps, in bytes.
const IDLE_CAPACITY: usize = 2 * 1024;
/// Time for which a client may read nothing before its connection is closed.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All output was written, or as much as the socket accepts; a readiness event follows.
    Written,
    /// The system has no memory for the write, which is to be retried.
    OutOfMemory,
}

/// Bytes to be written to a connection.
#[derive(Default)]
pub struct OutputBuffer {
    /// Bytes written and to be written; they are removed once all are written.
    pub bytes: Vec<u8>,
    /// The number of `bytes` that are already written.
    written: usize,
    /// The time since which the socket accepts no bytes.
    blocked_since: Option<Instant>,
}

impl OutputBuffer {
    /// Returns whether all output is written and cleared.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes not written yet.
    pub fn unwritten(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Returns whether the socket did not accept all output at the latest write.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since.is_some()
    }

    /// Returns whether the client has read nothing for [`WRITE_TIMEOUT`].
    pub fn is_timed_out(&self, now: Instant) -> bool {
        self.blocked_since.is_some_and(|since| now > since + WRITE_TIMEOUT)
    }

    /// Returns whether output is unwritten and the client has read some of it within [`LINGER_TIMEOUT`].
    pub fn is_being_read(&self, now: Instant) -> bool {
        self.unwritten() > 0 && self.blocked_since.is_none_or(|since| now < since + LINGER_TIMEOUT)
    }

    /// Writes as much as the socket accepts. An error means that the connection has failed.
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
