//! Closes connections to backends: expired and stalled ones, and idle ones when a descriptor is needed.

use super::connection::BackendConnection;
use super::BackendConnections;
use ingress::{BackendId, Duration, Instant};

/// Maximum time from the first byte of a reply to its last.
const MAX_REPLY_DURATION: Duration = Duration::from_millis(500);

/// Reason for closing a connection to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendCloseReason {
    /// The gateway cancelled the attempt.
    Cancelled,
    /// The attempt timed out.
    TimedOut,
    /// The first byte of the command may not be written: the attempt expired, the connection was established
    /// too late, or the request was closed.
    WriteRefused,
    /// The request was closed before the command was completely written.
    RequestClosed,
    /// The command was not completely written before the connect timeout expired.
    ConnectTimeout,
    /// The connection failed, or the backend closed it.
    Broken,
    /// The bytes received do not allow the connection to be reused.
    Unusable,
    /// The reply was not completed in time.
    Stalled,
    /// The connection exceeded the maximum idle time.
    Expired,
    /// The idle connection's descriptor was needed for another socket.
    DescriptorNeeded,
    /// The backend is draining, was removed, or has a new address.
    BackendUnavailable,
}

impl BackendConnections {
    /// Closes a connection without recording a completion for its attempt.
    pub(super) fn remove(&mut self, key: usize, reason: BackendCloseReason) {
        let connection = self.connections.remove(key); // Closed and deregistered when dropped.
        self.memory_used -= connection.accounted_memory;
        tracing::debug!(
            target: "backend_connection",
            connection = connection.serial,
            backend = connection.backend.0,
            request = connection.attempt.map(|attempt| attempt.request.0),
            attempt = connection.attempt.map(|attempt| attempt.number),
            ?reason,
            "backend connection closed"
        );
        if connection.attempt.is_none() {
            if let Some(pool) = self.pools.get_mut(&connection.backend) {
                pool.idle.retain(|idle_key| *idle_key != key);
            }
        }
    }

    /// Closes the idle connections to a backend and removes them from its pool.
    pub(super) fn close_idle(&mut self, backend: BackendId, reason: BackendCloseReason) {
        let idle = self.pools.get_mut(&backend).map(|pool| std::mem::take(&mut pool.idle));
        for key in idle.into_iter().flatten() {
            self.remove(key, reason);
        }
    }

    /// Closes connections that exceeded the maximum idle time, or whose reply is not completed in time.
    /// Called periodically.
    pub fn sweep(&mut self, now: Instant) {
        self.idle_reuse.decay();
        self.close_expired(now);
        self.close_stalled(now);
    }

    /// Closes connections that exceeded the maximum idle time.
    fn close_expired(&mut self, now: Instant) {
        let max_idle_time = self.max_idle_time();
        let is_expired = |connection: &BackendConnection| {
            connection.attempt.is_none() && now.duration_since(connection.idle_since) > max_idle_time
        };
        for key in self.keys_where(is_expired) {
            self.remove(key, BackendCloseReason::Expired);
        }
    }

    /// Closes connections whose reply is not completed in time, such as a line or a length without a
    /// terminator.
    fn close_stalled(&mut self, now: Instant) {
        let is_stalled = |connection: &BackendConnection| {
            !connection.received.is_empty() && now > connection.reply_started_at + MAX_REPLY_DURATION
        };
        for key in self.keys_where(is_stalled) {
            self.fail(key, now, BackendCloseReason::Stalled);
        }
    }

    /// Closes the connection with the longest idle time to free its descriptor. Returns `false` if no
    /// connection is idle.
    pub fn close_longest_idle(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.attempt.is_none());
        let longest = idle.min_by_key(|(_, connection)| (connection.idle_since, connection.serial));
        let Some(key) = longest.map(|(key, _)| key) else { return false };
        self.remove(key, BackendCloseReason::DescriptorNeeded);
        true
    }
}
