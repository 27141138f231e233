//! Closes connections to backends, and frees their descriptors.

use super::connection::BackendConnection;
use super::BackendConnections;
use ingress::{BackendId, Duration, Instant};

/// How long a reply may take to arrive completely after its first byte.
const MAX_REPLY_DURATION: Duration = Duration::from_millis(500);

/// Why a connection to a backend was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendCloseReason {
    /// The gateway cancelled its attempt.
    Cancelled,
    /// Its attempt has timed out.
    TimedOut,
    /// The first byte of its command may not be written any more.
    WriteRefused,
    /// The request was closed before its command was completely written.
    RequestClosed,
    /// It was not established, or its command not completely written, in time.
    ConnectTimeout,
    /// It failed, or the backend has closed it.
    Broken,
    /// The bytes received on it do not allow another use.
    Unusable,
    /// A reply was not completed in time.
    Stalled,
    /// It was idle for too long.
    Expired,
    /// Its descriptor was needed.
    DescriptorNeeded,
    /// Its backend is draining, was removed or has another address.
    BackendUnavailable,
}

impl BackendConnections {
    /// Closes a connection.
    pub(super) fn remove(&mut self, key: usize, reason: BackendCloseReason) {
        let connection = self.connections.remove(key); // Dropping it closes and deregisters it.
        tracing::debug!(
            target: "backend_connection",
            connection = connection.serial,
            backend = connection.backend.0,
            request = connection.attempt.map(|attempt| attempt.request.0),
            attempt = connection.attempt.map(|attempt| attempt.number),
            ?reason,
            "closed"
        );
        if connection.attempt.is_none() {
            if let Some(pool) = self.pools.get_mut(&connection.backend) {
                pool.idle.retain(|idle_key| *idle_key != key);
            }
        }
    }

    /// Closes the idle connections to a backend.
    pub(super) fn close_idle(&mut self, backend: BackendId, reason: BackendCloseReason) {
        let idle = self.pools.get_mut(&backend).map(|pool| std::mem::take(&mut pool.idle));
        for key in idle.into_iter().flatten() {
            self.remove(key, reason);
        }
    }

    /// Closes connections that have been idle for too long, or whose reply is not completed in time. Called
    /// at intervals.
    pub fn sweep(&mut self, now: Instant) {
        self.idle_reuse.decay();
        self.close_expired(now);
        self.close_stalled(now);
    }

    /// Closes connections that have been idle for too long.
    fn close_expired(&mut self, now: Instant) {
        let max_idle_time = self.max_idle_time();
        let is_expired = |connection: &BackendConnection| {
            connection.attempt.is_none() && now.duration_since(connection.idle_since) > max_idle_time
        };
        for key in self.keys_where(is_expired) {
            self.remove(key, BackendCloseReason::Expired);
        }
    }

    /// Closes connections whose reply is not completed in time, such as a line or a length without an end.
    fn close_stalled(&mut self, now: Instant) {
        let is_stalled = |connection: &BackendConnection| {
            !connection.received.is_empty() && now > connection.reply_started_at + MAX_REPLY_DURATION
        };
        for key in self.keys_where(is_stalled) {
            self.fail(key, now, BackendCloseReason::Stalled);
        }
    }

    /// Closes the connection that has been idle for longest, to free its descriptor. Returns false if none is
    /// idle.
    pub fn close_longest_idle(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.attempt.is_none());
        let longest = idle.min_by_key(|(_, connection)| (connection.idle_since, connection.serial));
        let Some(key) = longest.map(|(key, _)| key) else { return false };
        self.remove(key, BackendCloseReason::DescriptorNeeded);
        true
    }
}
