//! Accounts for the memory of client connections.
//!
//! The limits are kept by taking less, not by closing connections: a request is forwarded only with memory for
//! its reply, and a long command is stored only with memory for all of it.

use super::limits::INPUT_RESERVATION_BYTES;

/// Divisor of the memory limit that gives the maximum memory of the replies of one connection. A client that
/// does not read leaves the rest to the others.
const MAX_CONNECTION_SHARE_DIVISOR: usize = 2;

/// Limits on the memory of all client connections, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientMemoryLimits {
    /// Maximum memory of input, replies, requests and connections to backends together. The event loop rejects
    /// requests beyond it.
    pub total: usize,
    /// Maximum memory of incomplete commands that are longer than
    /// [`MAX_UNRESERVED_INPUT_BYTES`](super::limits::MAX_UNRESERVED_INPUT_BYTES), as a part of `total`.
    pub input: usize,
}

/// Memory of one connection, or of all, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionMemory {
    /// Memory of the input, or reserved for it.
    pub input: usize,
    /// Memory of the replies, with the part that is reserved for pending ones.
    pub replies: usize,
}

impl ConnectionMemory {
    /// Returns the memory of both.
    pub fn total(self) -> usize {
        self.input + self.replies
    }
}

/// Memory used by all connections, and its limits.
pub struct MemoryBudget {
    /// Memory used by all connections together.
    used: ConnectionMemory,
    /// Memory of requests and connections to backends, which counts against the same limit.
    used_by_requests: usize,
    limits: ClientMemoryLimits,
}

impl MemoryBudget {
    /// Creates an unused budget.
    pub fn new(limits: ClientMemoryLimits) -> Self {
        MemoryBudget { used: ConnectionMemory::default(), used_by_requests: 0, limits }
    }

    /// Returns the memory used by all connections and requests together, in bytes.
    fn total(&self) -> usize {
        self.used.total() + self.used_by_requests
    }

    /// Sets the memory of requests and connections to backends.
    pub fn set_used_by_requests(&mut self, bytes: usize) {
        self.used_by_requests = bytes;
    }

    /// Returns whether `bytes` are available.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.total() + bytes <= self.limits.total
    }

    /// Returns the maximum memory of the replies of one connection, in bytes.
    pub fn max_replies_per_connection(&self) -> usize {
        self.limits.total / MAX_CONNECTION_SHARE_DIVISOR
    }

    /// Returns whether [`INPUT_RESERVATION_BYTES`] are available for the input of a connection.
    pub fn can_reserve_input(&self) -> bool {
        self.used.input + INPUT_RESERVATION_BYTES <= self.limits.input
            && self.has_room_for(INPUT_RESERVATION_BYTES)
    }

    /// Returns whether `bytes` are available for input that is read ahead. Half of the memory for input is left
    /// for commands.
    pub fn can_read_ahead(&self, bytes: usize) -> bool {
        self.used.input + bytes <= self.limits.input / 2 && self.has_room_for(bytes)
    }

    /// Accounts for the current memory of a connection.
    pub fn add(&mut self, memory: ConnectionMemory) {
        self.used.input += memory.input;
        self.used.replies += memory.replies;
    }

    /// Removes the memory that was accounted for a connection.
    pub fn subtract(&mut self, memory: ConnectionMemory) {
        self.used.input -= memory.input;
        self.used.replies -= memory.replies;
    }

    /// Returns whether less memory is left than a long command needs.
    pub fn is_short(&self) -> bool {
        !self.has_room_for(INPUT_RESERVATION_BYTES)
    }
}
