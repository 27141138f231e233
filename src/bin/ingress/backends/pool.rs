//! Connection pools, one per backend, with the backend's address and its idle connections.

use super::closing::BackendCloseReason;
use super::connection::BackendConnection;
use super::exchange::Usability;
use super::idle_reuse::IdleReuseTracker;
use super::reply::ExchangeResult;
use super::{ExchangeCompletion, FirstByteWritten};
use crate::discovery::{EndpointEntry, EndpointList};
use crate::socket_error::is_local_shortage;
use ingress::permissions::{may_reuse_connection, may_send_to, BackendRefusal, ReuseLimits};
use ingress::{Availability, BackendId, Duration, Instant, Outcome, UnixTime};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Minimum time that a connection stays idle after a reply before it is reused.
///
/// Replies carry no id, so a duplicate reply would be taken for the reply to the next command. A duplicate
/// arrives some milliseconds after the original and is detected during this time.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(20);
/// Divisor of the backends' keep-alive timeout. Idle connections are closed by the resulting margin before
/// the timeout expires: if both ends closed at the same time, a command could be written to a connection that
/// the backend is closing.
const KEEPALIVE_MARGIN_DIVISOR: u64 = 5;

/// The endpoint state of one backend and the idle connections to it.
#[derive(Default)]
pub struct Pool {
    pub address: Option<SocketAddr>,
    /// Start time of the backend's process, as listed.
    pub started_at: UnixTime,
    pub availability: Availability,
    /// Keys of the idle connections, the most recently used last.
    pub idle: Vec<usize>,
}

/// The open connections to all backends, busy or idle, and results that the event loop has not processed yet.
pub struct BackendConnections {
    /// All connections, idle or not, by key.
    pub(super) connections: Slab<BackendConnection>,
    /// The pools of all backends in the endpoint list.
    pub(super) pools: HashMap<BackendId, Pool>,
    last_serial: u64,
    pub(super) read_buffer: Vec<u8>,
    /// Memory of the buffers of all connections, in bytes.
    pub(super) memory_used: usize,
    /// Time after which idle connections are closed, shorter than the backends' keep-alive timeout.
    configured_max_idle_time: Duration,
    /// Lowers the maximum idle time when reused connections turn out to be stale.
    pub(super) idle_reuse: IdleReuseTracker,
    /// Maps a connection's key to the token of its readiness events.
    token_of: fn(usize) -> Token,
    /// Results of attempts since the last [`BackendConnections::take_completions`].
    pub(super) completions: Vec<ExchangeCompletion>,
    /// Attempts whose first byte was written since the last [`BackendConnections::take_first_bytes_written`].
    pub(super) first_bytes_written: Vec<FirstByteWritten>,
    /// Number of connections opened since the process started.
    pub opened_count: u64,
}

impl BackendConnections {
    /// Creates an empty set of pools. Backends close connections that have been idle for `keepalive_timeout`;
    /// `token_of` maps a connection's key to the token of its readiness events.
    pub fn new(keepalive_timeout: Duration, token_of: fn(usize) -> Token) -> Self {
        BackendConnections {
            connections: Slab::new(),
            pools: HashMap::new(),
            last_serial: 0,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            memory_used: 0,
            configured_max_idle_time: keepalive_timeout / KEEPALIVE_MARGIN_DIVISOR
                * (KEEPALIVE_MARGIN_DIVISOR - 1),
            idle_reuse: IdleReuseTracker::default(),
            token_of,
            completions: Vec::new(),
            first_bytes_written: Vec::new(),
            opened_count: 0,
        }
    }

    /// Removes and returns the results of attempts, in order.
    pub fn take_completions(&mut self) -> Vec<ExchangeCompletion> {
        std::mem::take(&mut self.completions)
    }

    /// Removes and returns the attempts whose first byte was written, in order.
    pub fn take_first_bytes_written(&mut self) -> Vec<FirstByteWritten> {
        std::mem::take(&mut self.first_bytes_written)
    }

    /// Returns the memory of the buffers of all connections, in bytes.
    pub fn memory_used(&self) -> usize {
        self.memory_used
    }

    /// Updates the memory accounted for a connection to its current size, if the connection is open.
    pub(super) fn account(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let memory = connection.memory_size();
        self.memory_used = self.memory_used - connection.accounted_memory + memory;
        connection.accounted_memory = memory;
    }

    /// Returns the number of open connections, idle or not.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Applies the addresses and availabilities of an endpoint list, and returns the removed backends.
    pub fn update_endpoints(&mut self, endpoints: &EndpointList) -> Vec<BackendId> {
        let mut removed = self.missing_backends(endpoints);
        let mut unavailable = HashSet::new();
        for entry in &endpoints.entries {
            let backend = entry.endpoint.backend;
            if entry.endpoint.availability == Availability::Gone {
                removed.push(backend);
                continue;
            }
            if self.is_new_process(entry) || entry.endpoint.availability == Availability::Draining {
                self.close_idle(backend, BackendCloseReason::BackendUnavailable);
                unavailable.insert(backend);
            }
            let pool = self.pools.entry(backend).or_default();
            pool.address = entry.address;
            pool.started_at = entry.started_at;
            pool.availability = entry.endpoint.availability;
        }
        for backend in &removed {
            self.close_idle(*backend, BackendCloseReason::BackendUnavailable);
            self.pools.remove(backend);
            unavailable.insert(*backend);
        }
        self.cancel_unwritten(&unavailable);
        removed
    }

    /// Returns the backends that a snapshot no longer lists; none for a delta.
    fn missing_backends(&self, endpoints: &EndpointList) -> Vec<BackendId> {
        if !endpoints.is_snapshot {
            return Vec::new();
        }
        let listed: HashSet<BackendId> =
            endpoints.entries.iter().map(|entry| entry.endpoint.backend).collect();
        self.pools.keys().filter(|backend| !listed.contains(backend)).copied().collect()
    }

    /// Returns whether a known backend has a new address, or a new process at the same address. If the host of
    /// the old process has vanished, connections to it stay open, and commands on them would be lost.
    fn is_new_process(&self, entry: &EndpointEntry) -> bool {
        let pool = self.pools.get(&entry.endpoint.backend);
        pool.is_some_and(|pool| pool.address != entry.address || pool.started_at != entry.started_at)
    }

    /// Ends attempts at unavailable backends whose commands are still unwritten. Otherwise the commands would
    /// be written once the connections are established, possibly to another backend with the same address.
    fn cancel_unwritten(&mut self, unavailable: &HashSet<BackendId>) {
        let is_unwritten = |connection: &BackendConnection| {
            connection.has_unwritten_command() && unavailable.contains(&connection.backend)
        };
        for key in self.keys_where(is_unwritten) {
            self.complete(key, ExchangeResult::without_reply(Outcome::NotSent), None);
            self.remove(key, BackendCloseReason::BackendUnavailable);
        }
    }

    /// Returns the keys of all connections that satisfy a condition.
    pub(super) fn keys_where(&self, condition: impl Fn(&BackendConnection) -> bool) -> Vec<usize> {
        self.connections.iter().filter(|(_, connection)| condition(connection)).map(|(key, _)| key).collect()
    }

    /// Checks whether a new attempt may be sent to a backend.
    pub(super) fn may_assign(&self, backend: BackendId) -> Result<(), BackendRefusal> {
        may_send_to(self.pools.get(&backend).map(|pool| pool.availability))
    }

    /// Returns whether an attempt at a backend would need a new connection. `now` is the exact time, not the
    /// gateway's.
    pub fn needs_connection(&self, backend: BackendId, now: Instant) -> bool {
        self.pools.get(&backend).is_some_and(|pool| self.most_recent_reusable(pool, now).is_none())
    }

    /// Returns the maximum time that a connection may be idle.
    pub(super) fn max_idle_time(&self) -> Duration {
        self.configured_max_idle_time.min(self.idle_reuse.max_idle_time())
    }

    /// Returns the index in a pool of the most recently used idle connection that may be reused.
    fn most_recent_reusable(&self, pool: &Pool, now: Instant) -> Option<usize> {
        let limits = ReuseLimits { min_idle_time: MIN_IDLE_TIME, max_idle_time: self.max_idle_time() };
        let idle_time = |key: usize| now.duration_since(self.connections[key].idle_since);
        pool.idle.iter().rposition(|key| may_reuse_connection(idle_time(*key), limits).is_ok())
    }

    /// Takes an idle connection to a backend or opens a new one, and returns its key, or the outcome of the
    /// attempt on failure.
    pub(super) fn acquire(
        &mut self,
        registry: &Registry,
        backend: BackendId,
        now: Instant,
    ) -> Result<usize, Outcome> {
        match self.take_idle(backend, now) {
            Some(key) => Ok(key),
            None => self.connect(registry, backend, now),
        }
    }

    /// Removes the most recently used connection that may be reused from a backend's pool and returns its
    /// key. Connections that turn out to be unusable are closed.
    fn take_idle(&mut self, backend: BackendId, now: Instant) -> Option<usize> {
        loop {
            let position = self.most_recent_reusable(self.pools.get(&backend)?, now)?;
            let key = self.pools.get_mut(&backend)?.idle.remove(position);
            let connection = &mut self.connections[key];
            if connection.probe_is_usable() {
                connection.idle_time_before_attempt = Some(now.duration_since(connection.idle_since));
                return Some(key);
            }
            // Frees the descriptor for the next connection.
            self.remove(key, BackendCloseReason::Broken);
        }
    }

    /// Starts opening a connection to a backend. A socket shortage on this machine is reported as
    /// [`Outcome::NotSent`], so that it does not count as a failure of the backend.
    fn connect(&mut self, registry: &Registry, backend: BackendId, now: Instant) -> Result<usize, Outcome> {
        let pool = self.pools.get(&backend).ok_or(Outcome::ConnectFailed)?;
        let (address, started_at) = (pool.address.ok_or(Outcome::ConnectFailed)?, pool.started_at);
        let mut stream = TcpStream::connect(address).map_err(|error| {
            tracing::debug!(
                target: "backend_connection", backend = backend.0, %error, "could not connect to backend"
            );
            if is_local_shortage(&error) {
                Outcome::NotSent
            } else {
                Outcome::ConnectFailed
            }
        })?;
        let slot = self.connections.vacant_entry();
        let key = slot.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut stream, (self.token_of)(key), interest).map_err(|_| Outcome::NotSent)?;
        // Otherwise the second of two small writes would wait for the acknowledgement of the first.
        let _ = stream.set_nodelay(true);
        self.last_serial += 1;
        self.opened_count += 1;
        let connection = BackendConnection::new(stream, self.last_serial, backend, address, now);
        slot.insert(BackendConnection { process_started_at: started_at, ..connection });
        Ok(key)
    }

    /// Returns a connection to its backend's pool after an attempt, unless the backend was removed, or has a new
    /// address or process.
    pub(super) fn release(&mut self, key: usize, now: Instant) -> Usability {
        let connection = &mut self.connections[key];
        let Some(pool) = self.pools.get_mut(&connection.backend) else { return Usability::Unusable };
        let is_same_process = pool.started_at == connection.process_started_at;
        if pool.address != Some(connection.address) || !is_same_process {
            return Usability::Unusable;
        }
        connection.attempt = None;
        connection.idle_since = now;
        // Hundreds of connections are idle, and the memory of a long command or reply would be kept by each.
        connection.clear_buffers();
        pool.idle.push(key);
        Usability::Usable
    }
}
