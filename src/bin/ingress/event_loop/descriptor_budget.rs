//! Divides the process's file descriptors between clients and backends.

use super::EventLoopError;
use crate::backends::BackendConnections;
use crate::clients::{Capacity, Clients};
use ingress::Instant;

/// Descriptors of neither clients nor backends: standard streams, poll, listener, signals, discovery, peers,
/// and a reserve for descriptors that are opened before others are closed.
const RESERVED_DESCRIPTORS: usize = 20;
/// Clients that are accepted beyond the budget to be sent a rejection.
const MAX_OVER_LIMIT_CLIENTS: usize = 8;
/// The fewest connections that an ingress can serve with.
const MIN_CONNECTIONS: usize = 8;
/// The greatest share of the budget for the clients, and for the backends, in percent.
const MAX_SHARE_PERCENT: usize = 75;

/// The limits on the connections of clients and backends.
pub struct DescriptorBudget {
    /// The most connections of clients and backends together.
    max_connections: usize,
}

/// The descriptors that the system allows this process; none if they cannot be read.
fn system_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

impl DescriptorBudget {
    /// The budget by the configuration, or by the system's limit if that is lower: connecting without a free
    /// descriptor fails.
    pub fn new(configured: usize) -> Result<Self, EventLoopError> {
        let allowed = configured.min(system_limit().unwrap_or(usize::MAX));
        let max_connections = allowed.checked_sub(RESERVED_DESCRIPTORS + MAX_OVER_LIMIT_CLIENTS);
        let max_connections = max_connections.filter(|connections| *connections >= MIN_CONNECTIONS);
        let max_connections = max_connections.ok_or(EventLoopError::TooFewDescriptors { allowed })?;
        Ok(DescriptorBudget { max_connections })
    }

    /// The most sockets that can be ready at once.
    pub fn max_sockets(&self) -> usize {
        self.max_connections + RESERVED_DESCRIPTORS + MAX_OVER_LIMIT_CLIENTS
    }

    /// The most connections of either clients or backends.
    fn max_share(&self) -> usize {
        self.max_connections * MAX_SHARE_PERCENT / 100
    }

    /// Whether all connections are in use.
    fn is_exhausted(&self, clients: &Clients, backend_connections: &BackendConnections) -> bool {
        clients.len() + backend_connections.len() >= self.max_connections
    }

    /// Whether one more client can be accepted, if need be by closing an idle connection.
    pub fn capacity_for_client(
        &self,
        clients: &mut Clients,
        backend_connections: &mut BackendConnections,
        now: Instant,
    ) -> Capacity {
        let max_share = self.max_share();
        let is_full = clients.len() >= max_share || self.is_exhausted(clients, backend_connections);
        if !is_full
            || clients.close_longest_idle(now)
            || (clients.len() < max_share && backend_connections.close_longest_idle())
        {
            Capacity::Available
        } else if clients.over_limit_count() < MAX_OVER_LIMIT_CLIENTS {
            Capacity::OverLimit
        } else {
            Capacity::Exhausted
        }
    }

    /// Whether one more connection to a backend can be opened, if need be after closing an idle connection.
    pub fn reserve_for_backend(
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
