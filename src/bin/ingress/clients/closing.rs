//! Closing connections: those that are done with, idle or too slow, and all of them at a shutdown.

use super::connection::Connection;
use super::error::ClientError;
use super::{Accepting, ClientEvent, Clients};
use ingress::Instant;

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has closed its end.
    ClientGone,
    /// It broke, as a read or a write has shown.
    Broken,
    /// It was idle, and its descriptor was needed.
    MadeRoom,
    /// It was idle, and the process ends.
    Draining,
    /// No command ever came.
    Silent,
    /// The client was told of the end, and had its time to read that.
    Lingered,
    /// The client does not read its replies.
    NotReading,
    /// Clients hold all the memory that they may, and this one has unread replies.
    OutOfMemory,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [CloseReason; 8] = [
        CloseReason::ClientGone,
        CloseReason::Broken,
        CloseReason::MadeRoom,
        CloseReason::Draining,
        CloseReason::Silent,
        CloseReason::Lingered,
        CloseReason::NotReading,
        CloseReason::OutOfMemory,
    ];

    /// Whether replies may go with the connection: nobody waits for them.
    fn may_drop_replies(self) -> bool {
        !matches!(self, CloseReason::MadeRoom | CloseReason::Draining | CloseReason::Silent)
    }
}

impl Clients {
    /// Closes the connection that has been idle for longest, to free its descriptor; false if none is idle.
    pub fn close_longest_idle(&mut self, now: Instant) -> bool {
        loop {
            let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
            // Those that never sent a command go first, except those of this very turn: descriptors are freed before
            // it is known whether anybody waits for one, and what the latest client sends may not have arrived.
            // Many fall idle at one clock: of these the one accepted first goes.
            let order = |connection: &Connection| {
                let is_spared = connection.has_sent_command() || connection.last_active_at >= now;
                (is_spared, connection.last_active_at, connection.serial)
            };
            let longest = idle.min_by_key(|(_, connection)| order(connection));
            let Some((key, idle_since)) = longest.map(|(key, connection)| (key, connection.last_active_at))
            else {
                return false;
            };
            self.close_if_silent(key, idle_since, CloseReason::MadeRoom);
            if !self.connections.contains(key) {
                return true;
            }
        }
    }

    /// Closes connections as soon as they are idle, from now on. While connections are still accepted, those that
    /// have not sent a command yet are kept.
    pub fn drain(&mut self, now: Instant, accepting: Accepting) {
        self.draining = true;
        if accepting == Accepting::Stop {
            self.listener = None;
        }
        let closable = self.keys_of(|connection| {
            connection.is_idle() && (connection.has_sent_command() || accepting == Accepting::Stop)
        });
        closable.into_iter().for_each(|key| self.close_if_silent(key, now, CloseReason::Draining));
    }

    /// Closes connections whose clients take too long to send, to read, or to end.
    pub fn close_expired(&mut self, now: Instant) {
        self.close_late_clients(now);
        if self.lingering_count == 0 {
            return;
        }
        for key in self.keys_of(|connection| connection.is_linger_over(now)) {
            // A client over the limit may have sent its request by now: once it is told so, the next call closes it.
            self.read(key, now);
            let connection = self.connections.get(key);
            if connection.is_some_and(|connection| connection.is_shut_down() || connection.output.is_empty())
            {
                self.remove(key, CloseReason::Lingered);
            }
        }
    }

    /// Closes connections that send nothing, leave a command incomplete or read nothing for too long: they hold
    /// descriptors and memory.
    fn close_late_clients(&mut self, now: Instant) {
        let overdue = self.keys_of(|connection| connection.is_command_overdue(now));
        let not_reading = self.keys_of(|connection| connection.output.is_timed_out(now));
        not_reading.into_iter().for_each(|key| self.remove(key, CloseReason::NotReading));
        for key in overdue {
            // The rest may have arrived by now.
            self.read(key, now);
            let connection = self.connections.get_mut(key);
            let Some(connection) = connection.filter(|connection| connection.is_command_overdue(now)) else {
                continue;
            };
            if connection.input.is_empty() {
                self.close_if_silent(key, now, CloseReason::Silent);
                continue;
            }
            connection.abort_command(ClientError::CommandTimeout);
            self.queue_for_write(key);
        }
    }

    /// Moves a connection on to its end if nothing is left to be written.
    pub(super) fn close_if_done(&mut self, key: usize, now: Instant) {
        let connection = &mut self.connections[key];
        if connection.is_ready_for_shutdown() {
            self.lingering_count += usize::from(connection.linger_until.is_none());
            connection.start_lingering_close(now);
        } else {
            self.close_if_drained(key, now);
        }
    }

    /// Closes a connection that has fallen idle while all are to be closed.
    pub(super) fn close_if_drained(&mut self, key: usize, now: Instant) {
        if self.draining && self.connections.get(key).is_some_and(Connection::is_idle) {
            self.close_if_silent(key, now, CloseReason::Draining);
        }
    }

    /// Closes an idle connection unless a command has arrived on it that was not read yet.
    fn close_if_silent(&mut self, key: usize, now: Instant, reason: CloseReason) {
        self.read(key, now);
        if self.connections.get(key).is_some_and(Connection::is_idle) {
            self.remove(key, reason);
        }
    }

    /// Closes and forgets a connection, and reports its requests that have no reply yet.
    pub(super) fn remove(&mut self, key: usize, reason: CloseReason) {
        let connection = self.connections.remove(key); // Dropping it closes the socket and ends its polling.
        let replies_owed = connection.replies.len();
        let unwritten_bytes = connection.output.unwritten();
        tracing::debug!(
            target: "client_connection",
            client = connection.serial,
            ?reason,
            replies_owed,
            unwritten_bytes,
            "closed"
        );
        self.close_counts[reason as usize] += 1;
        if connection.is_busy() && !reason.may_drop_replies() {
            self.abandoned.push(connection.replies.pending_latest_first().next());
        }
        self.lingering_count -= usize::from(connection.linger_until.is_some());
        self.over_limit_count -= usize::from(connection.over_limit);
        self.memory.release(&connection);
        // The latest first: a request that waits in a queue must not be started in the place of an earlier one, only
        // to be cancelled.
        let pending = connection.replies.pending_latest_first();
        let disconnected: Vec<ClientEvent> = pending.map(ClientEvent::Disconnected).collect();
        if !disconnected.is_empty() {
            // Commands that were not taken yet need not be started.
            self.events.retain(|event| {
                !matches!(event, ClientEvent::Command { reply_to, .. } if reply_to.serial == connection.serial)
            });
            self.events.extend(disconnected);
        }
    }

    /// The keys of the connections that are `selected`.
    fn keys_of(&self, selected: impl Fn(&Connection) -> bool) -> Vec<usize> {
        let connections = self.connections.iter().filter(|(_, connection)| selected(connection));
        connections.map(|(key, _)| key).collect()
    }
}
