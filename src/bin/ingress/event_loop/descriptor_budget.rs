//! Divides the file descriptors of the process between clients and backends.

use super::EventLoopError;
use crate::backends::BackendConnections;
use crate::clients::{Capacity, Clients, MAX_CLIENTS_BEYOND_BUDGET};
use ingress::Instant;

/// Descriptors that are not available for connections of clients and backends: standard streams, poll,
/// listener, signals, up to three connections to discovery, peers, and a reserve for descriptors that are
/// opened before others are closed.
const RESERVED_DESCRIPTORS: usize = 20;
/// Minimum number of connections with which an ingress can serve requests.
const MIN_CONNECTIONS: usize = 8;
/// Maximum share of the budget for clients, and for backends, in percent.
const MAX_SHARE_PERCENT: usize = 75;

/// The limits on the number of client and backend connections.
pub struct DescriptorBudget {
    /// Maximum number of client and backend connections together.
    max_connections: usize,
}

/// Returns the system's limit on the descriptors of this process, or `None` if it cannot be read.
fn system_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

impl DescriptorBudget {
    /// Creates a budget from the configured limit, or from the system's limit if that is lower: beyond it,
    /// opening a connection would fail.
    pub fn new(configured: usize) -> Result<Self, EventLoopError> {
        let allowed = configured.min(system_limit().unwrap_or(usize::MAX));
        let max_connections = allowed.checked_sub(RESERVED_DESCRIPTORS + MAX_CLIENTS_BEYOND_BUDGET);
        let max_connections = max_connections.filter(|connections| *connections >= MIN_CONNECTIONS);
        let max_connections = max_connections.ok_or(EventLoopError::TooFewDescriptors { allowed })?;
        Ok(DescriptorBudget { max_connections })
    }

    /// Returns the maximum number of sockets that can be ready at once.
    pub fn max_sockets(&self) -> usize {
        self.max_connections + RESERVED_DESCRIPTORS + MAX_CLIENTS_BEYOND_BUDGET
    }

    /// Returns the maximum number of connections that clients, or backends, may use.
    fn max_share(&self) -> usize {
        self.max_connections * MAX_SHARE_PERCENT / 100
    }

    /// Returns whether the budget of connections is used up.
    fn is_exhausted(&self, clients: &Clients, backend_connections: &BackendConnections) -> bool {
        clients.budgeted_count() + backend_connections.len() >= self.max_connections
    }

    /// Returns the capacity for one more client. Closes an idle connection if the limit is reached.
    pub fn capacity_for_client(
        &self,
        clients: &mut Clients,
        backend_connections: &mut BackendConnections,
        now: Instant,
    ) -> Capacity {
        let max_share = self.max_share();
        let is_full =
            clients.budgeted_count() >= max_share || self.is_exhausted(clients, backend_connections);
        if !is_full
            || clients.close_longest_idle(now)
            || (clients.budgeted_count() < max_share && backend_connections.close_longest_idle())
        {
            Capacity::Available
        } else if clients.has_capacity_beyond_budget() {
            Capacity::OverLimit
        } else {
            Capacity::Exhausted
        }
    }

    /// Returns whether one more connection to a backend can be opened. Closes an idle connection if the limit
    /// is reached.
    pub fn ensure_capacity_for_backend(
        &self,
        clients: &mut Clients,
        backend_connections: &mut BackendConnections,
        now: Instant,
    ) -> bool {
        if backend_connections.len() >= self.max_share() {
            return backend_connections.close_longest_idle();
        }
        !self.is_exhausted(clients, backend_connections)
            || backend_connections.close_longest_idle()
            || clients.close_longest_idle(now)
    }
}
