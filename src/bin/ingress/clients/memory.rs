//! The memory of all client connections.

use super::closing::ClientCloseReason;
use super::connection::{ClientConnection, ClosingCause};
use super::error::ClientError;
use super::Clients;

/// The memory that connections take, and its limit.
pub struct MemoryBudget {
    /// Bytes of all connections together.
    used: usize,
    /// The most bytes of all connections together.
    limit: usize,
}

impl MemoryBudget {
    /// A budget of which nothing is used.
    pub fn new(limit: usize) -> Self {
        MemoryBudget { used: 0, limit }
    }

    /// Updates the accounted memory of a connection.
    pub fn account(&mut self, connection: &mut ClientConnection) {
        let memory = connection.memory_size();
        self.used = self.used - connection.accounted_memory + memory;
        connection.accounted_memory = memory;
    }

    /// Subtracts the memory of a connection that is removed.
    pub fn release(&mut self, connection: &ClientConnection) {
        self.used -= connection.accounted_memory;
    }

    /// Whether the limit is exceeded.
    fn is_exceeded(&self) -> bool {
        self.used > self.limit
    }
}

impl Clients {
    /// Accounts for the memory of a connection, and closes connections while the limit of all is exceeded.
    ///
    /// The limits of single connections do not bound their sum. The connection that takes the most is closed,
    /// of those that wait for their clients: with an error if it has an incomplete command. A connection with
    /// replies that the ingress has not written yet is not closed.
    pub(super) fn enforce_memory_limit(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        self.memory.account(connection);
        while self.memory.is_exceeded() {
            let closable = self.connections.iter_mut().filter(|(_, connection)| connection.awaits_client());
            let largest = closable.max_by_key(|(_, connection)| connection.accounted_memory);
            let Some((key, connection)) = largest else { return };
            if connection.input.is_empty() {
                self.remove(key, ClientCloseReason::MemoryLimit);
                continue;
            }
            connection.abort_command(ClientError::MemoryLimit, ClosingCause::MemoryLimit);
            self.memory.account(connection);
            self.queue_for_write(key);
        }
    }
}
