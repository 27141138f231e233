//! The pools of connections, one for each backend: where to connect to, which connections are idle, and when these are
//! used again or closed.

use super::connection::Connection;
use super::idle_reuse::IdleReuseTracker;
use super::reply::ExchangeResult;
use super::{Begun, Completion, ConnectionEnd};
use crate::discovery::{EndpointEntry, EndpointList};
use crate::socket_error::is_local_shortage;
use ingress::permissions::{may_reuse_connection, may_send_to, BackendRefusal, ReuseLimits};
use ingress::{Availability, BackendId, Duration, Instant, Outcome};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Bytes read at once, and the capacity that an idle connection's buffers may keep.
pub const BUFFER_SIZE: usize = 32 * 1024;
/// How long a connection stays idle after a reply at the least: stray bytes or a duplicate reply must arrive before the
/// next command, which could be served with them, since replies bear no id. They come up to some milliseconds late.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(20);
/// How long the rest of a reply may take to come once it has begun.
const MAX_REPLY_DURATION: Duration = Duration::from_millis(500);

/// The connections to one backend that are idle.
#[derive(Default)]
pub struct Pool {
    /// Where to connect to.
    pub address: Option<SocketAddr>,
    /// How the backend is listed.
    pub availability: Availability,
    /// Keys of the idle connections, the newest last.
    pub idle: Vec<usize>,
}

/// The connections to all backends.
pub struct Backends {
    /// Every connection by its key.
    pub(super) connections: Slab<Connection>,
    /// A pool for each backend of the endpoint list.
    pub(super) pools: HashMap<BackendId, Pool>,
    /// The serial number of the latest connection.
    last_serial: u64,
    /// What a read fills first.
    pub(super) read_buffer: Vec<u8>,
    /// Idle connections are closed after this, before the backend does.
    max_idle_time: Duration,
    /// Shortens the idle time further where connections turn out to be stale.
    pub(super) idle_reuse: IdleReuseTracker,
    /// The poll's token of the connection with a key.
    token: fn(usize) -> Token,
    /// What [`Backends::take_completions`] returns next.
    pub(super) completions: Vec<Completion>,
    /// What [`Backends::take_begun`] returns next.
    pub(super) begun: Vec<Begun>,
    /// How many connections were opened.
    pub opened_count: u64,
}

impl Backends {
    /// No backend yet. Backends close connections that have been idle for `keepalive_timeout`; `token` gives the
    /// poll's token of the connection with a key.
    pub fn new(keepalive_timeout: Duration, token: fn(usize) -> Token) -> Self {
        Backends {
            connections: Slab::new(),
            pools: HashMap::new(),
            last_serial: 0,
            read_buffer: vec![0; BUFFER_SIZE],
            // Where both ends close at the same moment a command may be written to a dead connection.
            max_idle_time: keepalive_timeout / 5 * 4,
            idle_reuse: IdleReuseTracker::default(),
            token,
            completions: Vec::new(),
            begun: Vec::new(),
            opened_count: 0,
        }
    }

    /// The completions since the last call, in order.
    pub fn take_completions(&mut self) -> Vec<Completion> {
        std::mem::take(&mut self.completions)
    }

    /// The attempts that have begun since the last call, in order.
    pub fn take_begun(&mut self) -> Vec<Begun> {
        std::mem::take(&mut self.begun)
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Takes over the addresses of an endpoint list, and returns the backends that are no longer listed.
    pub fn update_endpoints(&mut self, endpoints: &EndpointList) -> Vec<BackendId> {
        let mut removed = self.missing_backends(endpoints);
        let mut closed_to_new_work = HashSet::new();
        for entry in &endpoints.entries {
            let backend = entry.endpoint.backend;
            if entry.endpoint.availability == Availability::Gone {
                removed.push(backend);
                continue;
            }
            if self.has_moved(entry) || entry.endpoint.availability == Availability::Draining {
                self.close_idle(backend, ConnectionEnd::BackendClosed);
                closed_to_new_work.insert(backend);
            }
            let pool = self.pools.entry(backend).or_default();
            (pool.address, pool.availability) = (entry.address, entry.endpoint.availability);
        }
        for backend in &removed {
            self.close_idle(*backend, ConnectionEnd::BackendClosed);
            self.pools.remove(backend);
            closed_to_new_work.insert(*backend);
        }
        self.cancel_unsent(&closed_to_new_work);
        removed
    }

    /// The backends that a snapshot no longer has.
    fn missing_backends(&self, endpoints: &EndpointList) -> Vec<BackendId> {
        if !endpoints.is_snapshot {
            return Vec::new();
        }
        let listed: HashSet<BackendId> =
            endpoints.entries.iter().map(|entry| entry.endpoint.backend).collect();
        self.pools.keys().filter(|backend| !listed.contains(backend)).copied().collect()
    }

    /// Whether a backend has an address other than before.
    fn has_moved(&self, entry: &EndpointEntry) -> bool {
        self.pools.get(&entry.endpoint.backend).is_some_and(|pool| pool.address != entry.address)
    }

    /// Ends attempts of which nothing is written yet, since their connections are still being established, at
    /// backends that are closed to new work: they would begin later, and perhaps at another backend that has the address
    /// then.
    fn cancel_unsent(&mut self, closed_to_new_work: &HashSet<BackendId>) {
        let is_unsent = |connection: &Connection| {
            connection.is_not_yet_written() && closed_to_new_work.contains(&connection.backend)
        };
        for key in self.keys_where(is_unsent) {
            self.complete(key, ExchangeResult::without_reply(Outcome::NotSent), None);
            self.remove(key, ConnectionEnd::BackendClosed);
        }
    }

    /// The keys of all connections that fulfil a condition.
    fn keys_where(&self, condition: impl Fn(&Connection) -> bool) -> Vec<usize> {
        self.connections.iter().filter(|(_, connection)| condition(connection)).map(|(key, _)| key).collect()
    }

    /// Whether a backend may be given something new.
    pub(super) fn may_assign(&self, backend: BackendId) -> Result<(), BackendRefusal> {
        may_send_to(self.pools.get(&backend).map(|pool| pool.availability))
    }

    /// Whether an attempt at a backend would need a new connection. `now` is the time to the microsecond, not that of
    /// the tick.
    pub fn needs_connection(&self, backend: BackendId, now: Instant) -> bool {
        self.pools.get(&backend).is_some_and(|pool| self.newest_reusable(pool, now).is_none())
    }

    /// The place in a pool of the newest idle connection that may be used.
    fn newest_reusable(&self, pool: &Pool, now: Instant) -> Option<usize> {
        let max_idle_time = self.idle_reuse.max_idle_time().min(self.max_idle_time);
        let limits = ReuseLimits { min_idle_time: MIN_IDLE_TIME, max_idle_time };
        let idle_time = |key: usize| now.duration_since(self.connections[key].state_since);
        pool.idle.iter().rposition(|key| may_reuse_connection(idle_time(*key), limits).is_ok())
    }

    /// The key of an idle connection to a backend, which leaves the pool, or of a new one; else how the attempt ends.
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

    /// Takes the newest idle connection to a backend that may be used, and closes those that turn out to be unusable.
    fn take_idle(&mut self, backend: BackendId, now: Instant) -> Option<usize> {
        loop {
            let position = self.newest_reusable(self.pools.get(&backend)?, now)?;
            let key = self.pools.get_mut(&backend)?.idle.remove(position);
            let connection = &mut self.connections[key];
            if connection.is_quiet() {
                connection.idle_before = Some(now.duration_since(connection.state_since));
                return Some(key);
            }
            // Its descriptor serves the next one.
            self.remove(key, ConnectionEnd::Broken);
        }
    }

    /// Begins to connect to a backend. That no socket can be had here is no failure of the backend's.
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
        // Without it the second of two small writes would wait for the first one's acknowledgement.
        let _ = stream.set_nodelay(true);
        self.last_serial += 1;
        self.opened_count += 1;
        slot.insert(Connection::new(stream, self.last_serial, backend, address, now));
        Ok(key)
    }

    /// Puts a connection whose exchange is over into its backend's pool. Returns false if the backend has left the
    /// connection's address.
    pub(super) fn release(&mut self, key: usize, now: Instant) -> bool {
        let connection = &mut self.connections[key];
        let Some(pool) = self.pools.get_mut(&connection.backend) else { return false };
        if pool.address != Some(connection.address) {
            return false;
        }
        connection.attempt = None;
        connection.state_since = now;
        connection.received.clear();
        connection.received.shrink_to(BUFFER_SIZE);
        connection.command.shrink_to(BUFFER_SIZE);
        pool.idle.push(key);
        true
    }

    /// Closes a connection.
    pub(super) fn remove(&mut self, key: usize, end: ConnectionEnd) {
        let connection = self.connections.remove(key); // dropping it closes and deregisters it
        tracing::debug!(
            target: "backend_connection",
            connection = connection.serial,
            backend = connection.backend.0,
            attempt = ?connection.attempt,
            reason = ?end,
            "closed"
        );
        if connection.attempt.is_none() {
            if let Some(pool) = self.pools.get_mut(&connection.backend) {
                pool.idle.retain(|idle_key| *idle_key != key);
            }
        }
    }

    /// Closes the idle connections to a backend.
    fn close_idle(&mut self, backend: BackendId, end: ConnectionEnd) {
        let idle = self.pools.get_mut(&backend).map(|pool| std::mem::take(&mut pool.idle));
        for key in idle.into_iter().flatten() {
            self.remove(key, end);
        }
    }

    /// Closes connections that have been idle for too long, or whose reply has stalled. Called every half second.
    pub fn sweep(&mut self, now: Instant) {
        self.idle_reuse.decay();
        self.close_expired(now);
        self.close_stalled(now);
    }

    /// Closes connections that have been idle for too long.
    fn close_expired(&mut self, now: Instant) {
        let max_idle_time = self.max_idle_time.min(self.idle_reuse.max_idle_time());
        let is_expired = |connection: &Connection| {
            connection.attempt.is_none() && now.duration_since(connection.state_since) > max_idle_time
        };
        for key in self.keys_where(is_expired) {
            self.remove(key, ConnectionEnd::Expired);
        }
    }

    /// A reply that has begun and does not go on will not become complete: a line or a length without an end.
    fn close_stalled(&mut self, now: Instant) {
        let is_stalled = |connection: &Connection| {
            !connection.received.is_empty() && now > connection.reply_started_at + MAX_REPLY_DURATION
        };
        for key in self.keys_where(is_stalled) {
            self.fail(key, now, ConnectionEnd::Stalled);
        }
    }

    /// Closes the connection that has been idle for longest, to free its descriptor. Returns false if none is idle.
    pub fn close_longest_idle(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.attempt.is_none());
        let longest = idle.min_by_key(|(_, connection)| (connection.state_since, connection.serial));
        let Some(key) = longest.map(|(key, _)| key) else { return false };
        self.remove(key, ConnectionEnd::MadeRoom);
        true
    }
}
