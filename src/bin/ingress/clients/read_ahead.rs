//! Input that is read while a connection's replies are backlogged, before its commands are parsed.
//!
//! The kernel reports that a client has closed its connection only once all input before that has been received.
//! If nothing were read during a backlog, the client's last input would not fit in the kernel's buffer, and its
//! requests would be sent to backends after it has left.

use std::collections::VecDeque;

/// Maximum size of the input that is read ahead, in bytes.
const MAX_READ_AHEAD_BYTES: usize = 1024 * 1024;

/// Received bytes that follow the input that is being parsed, oldest first.
#[derive(Default)]
pub struct ReadAhead {
    chunks: VecDeque<Vec<u8>>,
    /// Total size of the chunks, in bytes.
    length: usize,
}

impl ReadAhead {
    /// Returns whether no bytes are left.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns whether no further bytes are to be read ahead.
    pub fn is_full(&self) -> bool {
        self.length >= MAX_READ_AHEAD_BYTES
    }

    /// Returns the memory of the bytes.
    pub fn memory_size(&self) -> usize {
        self.length
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        self.chunks.push_back(bytes.to_vec());
    }

    /// Removes and returns the oldest chunk.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        let chunk = self.chunks.pop_front();
        self.length -= chunk.as_ref().map_or(0, Vec::len);
        if self.chunks.is_empty() {
            self.chunks = VecDeque::new();
        }
        chunk
    }
}
