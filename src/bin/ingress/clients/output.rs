//! What is to be written to a connection.

use crate::socket_error::is_out_of_memory;
use ingress::{Duration, Instant};
use mio::net::TcpStream;
use std::io::{self, Write};

/// What an idle connection may keep of its buffer.
const IDLE_CAPACITY: usize = 2 * 1024;
/// How long a client may accept nothing of its replies until its connection is closed.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// What a call to write came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// All was written, or as much as the client accepts: the poll tells when it accepts more.
    Made,
    /// The system has no memory for it at the moment; it is to be tried again.
    OutOfMemory,
}

/// Bytes that are still to be written to a connection.
#[derive(Default)]
pub struct OutputBuffer {
    /// The bytes, those already written among them until all are.
    pub bytes: Vec<u8>,
    /// How many of the bytes are written.
    written: usize,
    /// Since when the client accepts nothing.
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

    /// Whether the client accepts nothing at present.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since.is_some()
    }

    /// Whether the client has accepted nothing for too long.
    pub fn is_timed_out(&self, now: Instant) -> bool {
        self.blocked_since.is_some_and(|since| now > since + WRITE_TIMEOUT)
    }

    /// Writes as much as the client accepts; an error means that the connection is broken.
    pub fn write_to(&mut self, stream: &mut TcpStream, now: Instant) -> io::Result<WriteProgress> {
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
                Err(error) if is_out_of_memory(&error) => return Ok(WriteProgress::OutOfMemory),
                Err(error) => return Err(error),
            }
        }
        Ok(WriteProgress::Made)
    }

    /// Forgets what is written and gives most of its memory back.
    pub fn clear(&mut self) {
        self.written = 0;
        self.bytes.clear();
        self.bytes.shrink_to(IDLE_CAPACITY);
    }
}
