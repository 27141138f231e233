//! The output buffer of a client connection.

use super::limits::LINGER_TIMEOUT;
use crate::socket_error::is_out_of_memory;
use ingress::{Duration, Instant};
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, Write};

/// Maximum size of a chunk to which further replies are appended, in bytes. Small replies share a chunk, so
/// that they share a system call, and long ones are never copied.
const MAX_SHARED_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks for which an empty buffer keeps memory.
const MAX_IDLE_CHUNKS: usize = 8;
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

/// Replies to be written to a connection, oldest first.
#[derive(Default)]
pub struct OutputBuffer {
    /// The output in chunks, none of them empty. Each is freed as soon as it is written.
    chunks: VecDeque<Vec<u8>>,
    /// The number of bytes of the first chunk that are already written.
    written: usize,
    /// Total length of the chunks, in bytes.
    length: usize,
    /// Total capacity of the chunks, in bytes.
    capacity: usize,
    /// The time since which the socket accepts no bytes.
    blocked_since: Option<Instant>,
}

impl OutputBuffer {
    /// Appends a reply.
    pub fn push(&mut self, reply: Vec<u8>) {
        self.length += reply.len();
        match self.chunks.back_mut() {
            Some(last) if last.len() + reply.len() <= MAX_SHARED_CHUNK_BYTES => {
                self.capacity -= last.capacity();
                last.extend_from_slice(&reply);
                self.capacity += last.capacity();
            }
            _ if reply.is_empty() => {}
            _ => {
                self.capacity += reply.capacity();
                self.chunks.push_back(reply);
            }
        }
    }

    /// Returns whether all output is written.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns the number of bytes not written yet.
    pub fn unwritten(&self) -> usize {
        self.length - self.written
    }

    /// Returns the memory of the output, in bytes.
    pub fn memory_size(&self) -> usize {
        self.capacity + self.chunks.capacity() * size_of::<Vec<u8>>()
    }

    /// Returns whether the client has read nothing for `timeout`, although output is unwritten.
    pub fn is_blocked_for(&self, timeout: Duration, now: Instant) -> bool {
        self.blocked_since.is_some_and(|since| now > since + timeout)
    }

    /// Returns whether output is unwritten and the client has read some of it within [`LINGER_TIMEOUT`].
    pub fn is_being_read(&self, now: Instant) -> bool {
        self.unwritten() > 0 && self.blocked_since.is_none_or(|since| now < since + LINGER_TIMEOUT)
    }

    /// Writes as much as the socket accepts. An error means that the connection has failed.
    pub fn write_to(&mut self, stream: &mut TcpStream, now: Instant) -> io::Result<WriteOutcome> {
        while let Some(chunk) = self.chunks.front() {
            match stream.write(&chunk[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.blocked_since = None;
                    self.record_written(written);
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

    /// Records that bytes of the first chunk were written, and frees the chunk if it has no others.
    fn record_written(&mut self, written: usize) {
        self.written += written;
        if self.chunks.front().is_none_or(|chunk| chunk.len() > self.written) {
            return;
        }
        let Some(chunk) = self.chunks.pop_front() else { return };
        self.written = 0;
        self.length -= chunk.len();
        self.capacity -= chunk.capacity();
        if self.chunks.is_empty() && self.chunks.capacity() > MAX_IDLE_CHUNKS {
            self.chunks = VecDeque::new();
        }
    }
}
