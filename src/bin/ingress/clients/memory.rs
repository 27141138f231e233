//! The memory that all client connections hold together.

use super::closing::CloseReason;
use super::connection::Connection;
use super::error::ClientError;
use super::Clients;

/// How much memory connections hold, and how much they may.
pub struct MemoryBudget {
    /// Bytes held by all connections together.
    used: usize,
    /// Bytes that they may hold.
    limit: usize,
}

impl MemoryBudget {
    /// Nothing is used yet.
    pub fn new(limit: usize) -> Self {
        MemoryBudget { used: 0, limit }
    }

    /// Brings what is accounted for a connection up to date.
    pub fn account(&mut self, connection: &mut Connection) {
        let held = connection.memory_held();
        self.used = self.used - connection.accounted_memory + held;
        connection.accounted_memory = held;
    }

    /// Gives back what is accounted for a connection that is removed.
    pub fn release(&mut self, connection: &Connection) {
        self.used -= connection.accounted_memory;
    }

    /// Whether connections hold more than they may.
    fn is_exceeded(&self) -> bool {
        self.used > self.limit
    }
}

impl Clients {
    /// Accounts for what a connection holds. The limits of single connections do not bound all of them together:
    /// beyond the common limit, the connection with the longest incomplete command is told so and closed, or the one
    /// with the most unread replies. Replies that were not written yet are not the client's fault and are sent
    /// within the turn.
    pub(super) fn enforce_memory_limit(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        self.memory.account(connection);
        while self.memory.is_exceeded() {
            let closable = self.connections.iter_mut().filter(|(_, connection)| connection.is_client_late());
            let largest = closable.max_by_key(|(_, connection)| connection.accounted_memory);
            let Some((key, connection)) = largest else { return };
            if connection.input.is_empty() {
                self.remove(key, CloseReason::OutOfMemory);
                continue;
            }
            connection.abort_command(ClientError::OutOfMemory);
            self.memory.account(connection);
            self.queue_for_write(key);
        }
    }
}
