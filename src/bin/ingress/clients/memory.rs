//! Accounts for the memory of client connections and enforces the limit on their sum.

use super::close_reason::ClientCloseReason;
use super::close_state::ClosingCause;
use super::connection::ClientConnection;
use super::error::ClientError;
use super::Clients;

/// Memory used by all connections, and its limit.
pub struct MemoryBudget {
    /// Memory used by all connections together, in bytes.
    used: usize,
    /// Maximum of `used`, in bytes.
    limit: usize,
}

impl MemoryBudget {
    /// Creates an unused budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        MemoryBudget { used: 0, limit }
    }

    /// Updates the memory accounted for a connection to its current size.
    pub fn account(&mut self, connection: &mut ClientConnection) {
        let memory = connection.memory_size();
        self.used = self.used - connection.accounted_memory + memory;
        connection.accounted_memory = memory;
    }

    /// Subtracts the memory of a connection that is being removed.
    pub fn release(&mut self, connection: &ClientConnection) {
        self.used -= connection.accounted_memory;
    }

    fn is_exceeded(&self) -> bool {
        self.used > self.limit
    }
}

impl Clients {
    /// Accounts for the memory of a connection, and closes connections while the limit over all connections
    /// is exceeded.
    ///
    /// The limits per connection do not bound the sum over all connections. Of the connections that wait for
    /// their clients, the one that uses the most memory is closed, with an error reply if it has an
    /// incomplete command. A connection with replies that the ingress has not tried to write yet is not
    /// closed.
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
            self.abort_command(key, ClientError::MemoryLimit, ClosingCause::MemoryLimit);
            self.memory.account(&mut self.connections[key]);
        }
    }
}
