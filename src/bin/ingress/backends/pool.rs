//! The pools of connections, one for each backend: the backend's address, and the idle connections to it.

use super::closing::BackendCloseReason;
use super::connection::BackendConnection;
use super::exchange::Usability;
use super::idle_reuse::IdleReuseTracker;
use super::reply::ExchangeResult;
use super::{ExchangeCompletion, FirstByteWritten};
use crate::discovery::{EndpointEntry, EndpointList};
use crate::socket_error::is_local_shortage;
use ingress::permissions::{may_reuse_connection, may_send_to, BackendRefusal, ReuseLimits};
use ingress::{Availability, BackendId, Duration, Instant, Outcome};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Bytes of a read, and the capacity that the buffers of an idle connection keep.
pub const BUFFER_SIZE: usize = 32 * 1024;
/// The least time for which a connection is idle after a reply.
///
/// A duplicate reply would be taken for the reply to the next command, since replies carry no id. It arrives
/// some milliseconds after the first one, so it is found before the connection is reused.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(20);
/// The parts that the backends' keep-alive timeout is divided into; idle connections are closed one part
/// before its end. If both ends closed them at the same time, a command could be written to a connection that
/// the backend is closing.
const KEEPALIVE_MARGIN_DIVISOR: u64 = 5;

/// The connections to one backend that are idle.
#[derive(Default)]
pub struct Pool {
    /// The backend's address.
    pub address: Option<SocketAddr>,
    /// The backend's availability in the endpoint list.
    pub availability: Availability,
    /// Keys of the idle connections, the newest last.
    pub idle: Vec<usize>,
}

/// The connections to all backends.
pub struct BackendConnections {
    /// Every connection by its key.
    pub(super) connections: Slab<BackendConnection>,
    /// A pool for each backend of the endpoint list.
    pub(super) pools: HashMap<BackendId, Pool>,
    /// The serial number of the latest connection.
    last_serial: u64,
    /// The buffer for reads.
    pub(super) read_buffer: Vec<u8>,
    /// Idle connections are closed after this time, before the backend closes them.
    configured_max_idle_time: Duration,
    /// Shortens that time if reused connections turn out to be dead.
    pub(super) idle_reuse: IdleReuseTracker,
    /// The poll's token of the connection with a key.
    token: fn(usize) -> Token,
    /// The ends of attempts that were not taken yet.
    pub(super) completions: Vec<ExchangeCompletion>,
    /// The begun attempts that were not taken yet.
    pub(super) first_bytes_written: Vec<FirstByteWritten>,
    /// The number of connections opened so far.
    pub opened_count: u64,
}

impl BackendConnections {
    /// Without any backend. Backends close connections that have been idle for `keepalive_timeout`; `token`
    /// returns the poll's token of the connection with a key.
    pub fn new(keepalive_timeout: Duration, token: fn(usize) -> Token) -> Self {
        BackendConnections {
            connections: Slab::new(),
            pools: HashMap::new(),
            last_serial: 0,
            read_buffer: vec![0; BUFFER_SIZE],
            configured_max_idle_time: keepalive_timeout / KEEPALIVE_MARGIN_DIVISOR
                * (KEEPALIVE_MARGIN_DIVISOR - 1),
            idle_reuse: IdleReuseTracker::default(),
            token,
            completions: Vec::new(),
            first_bytes_written: Vec::new(),
            opened_count: 0,
        }
    }

    /// Takes the ends of attempts, in order.
    pub fn take_completions(&mut self) -> Vec<ExchangeCompletion> {
        std::mem::take(&mut self.completions)
    }

    /// Takes the attempts whose first byte was written, in order.
    pub fn take_first_bytes_written(&mut self) -> Vec<FirstByteWritten> {
        std::mem::take(&mut self.first_bytes_written)
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Applies the addresses and availabilities of an endpoint list, and returns the backends that are no
    /// longer listed.
    pub fn update_endpoints(&mut self, endpoints: &EndpointList) -> Vec<BackendId> {
        let mut removed = self.missing_backends(endpoints);
        let mut unavailable = HashSet::new();
        for entry in &endpoints.entries {
            let backend = entry.endpoint.backend;
            if entry.endpoint.availability == Availability::Gone {
                removed.push(backend);
                continue;
            }
            if self.has_new_address(entry) || entry.endpoint.availability == Availability::Draining {
                self.close_idle(backend, BackendCloseReason::BackendUnavailable);
                unavailable.insert(backend);
            }
            let pool = self.pools.entry(backend).or_default();
            (pool.address, pool.availability) = (entry.address, entry.endpoint.availability);
        }
        for backend in &removed {
            self.close_idle(*backend, BackendCloseReason::BackendUnavailable);
            self.pools.remove(backend);
            unavailable.insert(*backend);
        }
        self.cancel_unwritten(&unavailable);
        removed
    }

    /// The backends that a snapshot no longer lists.
    fn missing_backends(&self, endpoints: &EndpointList) -> Vec<BackendId> {
        if !endpoints.is_snapshot {
            return Vec::new();
        }
        let listed: HashSet<BackendId> =
            endpoints.entries.iter().map(|entry| entry.endpoint.backend).collect();
        self.pools.keys().filter(|backend| !listed.contains(backend)).copied().collect()
    }

    /// Whether a backend has another address than before.
    fn has_new_address(&self, entry: &EndpointEntry) -> bool {
        self.pools.get(&entry.endpoint.backend).is_some_and(|pool| pool.address != entry.address)
    }

    /// Ends attempts of which nothing is written yet at backends that take no new work: they would begin once
    /// their connections are established, perhaps at another backend with the same address.
    fn cancel_unwritten(&mut self, unavailable: &HashSet<BackendId>) {
        let is_unwritten = |connection: &BackendConnection| {
            connection.has_unwritten_command() && unavailable.contains(&connection.backend)
        };
        for key in self.keys_where(is_unwritten) {
            self.complete(key, ExchangeResult::without_reply(Outcome::NotSent), None);
            self.remove(key, BackendCloseReason::BackendUnavailable);
        }
    }

    /// The keys of all connections that fulfil a condition.
    pub(super) fn keys_where(&self, condition: impl Fn(&BackendConnection) -> bool) -> Vec<usize> {
        self.connections.iter().filter(|(_, connection)| condition(connection)).map(|(key, _)| key).collect()
    }

    /// Whether a backend may be sent a new attempt.
    pub(super) fn may_assign(&self, backend: BackendId) -> Result<(), BackendRefusal> {
        may_send_to(self.pools.get(&backend).map(|pool| pool.availability))
    }

    /// Whether an attempt at a backend would need a new connection. `now` is the exact time, not that of the
    /// tick.
    pub fn needs_connection(&self, backend: BackendId, now: Instant) -> bool {
        self.pools.get(&backend).is_some_and(|pool| self.newest_reusable(pool, now).is_none())
    }

    /// For how long a connection may be idle.
    pub(super) fn max_idle_time(&self) -> Duration {
        self.configured_max_idle_time.min(self.idle_reuse.max_idle_time())
    }

    /// The index in a pool of the newest idle connection that may be reused.
    fn newest_reusable(&self, pool: &Pool, now: Instant) -> Option<usize> {
        let limits = ReuseLimits { min_idle_time: MIN_IDLE_TIME, max_idle_time: self.max_idle_time() };
        let idle_time = |key: usize| now.duration_since(self.connections[key].idle_since);
        pool.idle.iter().rposition(|key| may_reuse_connection(idle_time(*key), limits).is_ok())
    }

    /// Takes an idle connection to a backend or opens a new one, and returns its key; the error is the
    /// attempt's outcome.
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

    /// Takes the newest idle connection to a backend that may be reused, and closes those that turn out to be
    /// unusable.
    fn take_idle(&mut self, backend: BackendId, now: Instant) -> Option<usize> {
        loop {
            let position = self.newest_reusable(self.pools.get(&backend)?, now)?;
            let key = self.pools.get_mut(&backend)?.idle.remove(position);
            let connection = &mut self.connections[key];
            if connection.probe_is_usable() {
                connection.idle_time_before_attempt = Some(now.duration_since(connection.idle_since));
                return Some(key);
            }
            // Frees its descriptor for the next connection.
            self.remove(key, BackendCloseReason::Broken);
        }
    }

    /// Begins to open a connection to a backend. A shortage of sockets on this machine is no failure of the
    /// backend's.
    fn connect(&mut self, registry: &Registry, backend: BackendId, now: Instant) -> Result<usize, Outcome> {
        let address = self.pools.get(&backend).and_then(|pool| pool.address).ok_or(Outcome::ConnectFailed)?;
        let mut stream = TcpStream::connect(address).map_err(|error| {
            tracing::debug!(target: "backend_connection", backend = backend.0, %error, "not connected");
            if is_local_shortage(&error) {
                Outcome::NotSent
            } else {
                Outcome::ConnectFailed
            }
        })?;
        let slot = self.connections.vacant_entry();
        let key = slot.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut stream, (self.token)(key), interest).map_err(|_| Outcome::NotSent)?;
        // Otherwise the second of two small writes would wait for the first one's acknowledgement.
        let _ = stream.set_nodelay(true);
        self.last_serial += 1;
        self.opened_count += 1;
        slot.insert(BackendConnection::new(stream, self.last_serial, backend, address, now));
        Ok(key)
    }

    /// Returns a connection whose attempt has ended to its backend's pool, unless the backend has another
    /// address by now.
    pub(super) fn release(&mut self, key: usize, now: Instant) -> Usability {
        let connection = &mut self.connections[key];
        let Some(pool) = self.pools.get_mut(&connection.backend) else { return Usability::Unusable };
        if pool.address != Some(connection.address) {
            return Usability::Unusable;
        }
        connection.attempt = None;
        connection.idle_since = now;
        connection.received.clear();
        connection.received.shrink_to(BUFFER_SIZE);
        connection.command.shrink_to(BUFFER_SIZE);
        pool.idle.push(key);
        Usability::Usable
    }
}
