//! Closes connections: those that have ended, are idle or too slow, and all of them at a shutdown.

use super::connection::{ClientConnection, ClosingCause};
use super::error::ClientError;
use super::{Accepting, ClientEvent, Clients};
use ingress::Instant;

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientCloseReason {
    /// The client has closed its end.
    Disconnected,
    /// A read or a write has failed.
    Broken,
    /// It was idle, and its descriptor was needed.
    DescriptorNeeded,
    /// It was idle during the shutdown.
    ShuttingDown,
    /// No command has ever arrived on it.
    NoCommand,
    /// It was accepted over the limit, and no request came on it in time.
    OverLimitTimeout,
    /// The time for reading the last reply is over.
    LingerTimeout,
    /// The client does not read its replies.
    WriteTimeout,
    /// The memory limit of all clients is reached, and this one has unread replies.
    MemoryLimit,
}

impl ClientCloseReason {
    /// All reasons.
    pub const ALL: [ClientCloseReason; 9] = [
        ClientCloseReason::Disconnected,
        ClientCloseReason::Broken,
        ClientCloseReason::DescriptorNeeded,
        ClientCloseReason::ShuttingDown,
        ClientCloseReason::NoCommand,
        ClientCloseReason::OverLimitTimeout,
        ClientCloseReason::LingerTimeout,
        ClientCloseReason::WriteTimeout,
        ClientCloseReason::MemoryLimit,
    ];

    /// Whether replies may be lost with the connection, since the client does not wait for them.
    fn may_drop_replies(self) -> bool {
        !matches!(
            self,
            ClientCloseReason::DescriptorNeeded
                | ClientCloseReason::ShuttingDown
                | ClientCloseReason::NoCommand
        )
    }
}

/// The order in which idle connections are closed for their descriptors, the least first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleCloseOrder {
    /// It has sent a command, or is active in this iteration. Others are closed first.
    ///
    /// A descriptor is freed before it is known whether a client waits for it, so a connection that was
    /// accepted in this iteration would be closed before its first command has arrived.
    has_priority: bool,
    /// When it was last active.
    last_active_at: Instant,
    /// Of connections that were last active at the same time, the one accepted first is closed.
    serial: u64,
}

impl IdleCloseOrder {
    /// The place of a connection in this order.
    fn of(connection: &ClientConnection, now: Instant) -> IdleCloseOrder {
        IdleCloseOrder {
            has_priority: connection.has_sent_command() || connection.last_active_at >= now,
            last_active_at: connection.last_active_at,
            serial: connection.serial,
        }
    }
}

impl Clients {
    /// Closes the connection that has been idle for longest, to free its descriptor; false if none is idle.
    pub fn close_longest_idle(&mut self, now: Instant) -> bool {
        loop {
            let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
            let longest = idle.min_by_key(|(_, connection)| IdleCloseOrder::of(connection, now));
            let Some((key, connection)) = longest else { return false };
            let idle_since = connection.last_active_at;
            self.close_if_still_idle(key, idle_since, ClientCloseReason::DescriptorNeeded);
            if !self.connections.contains(key) {
                return true;
            }
        }
    }

    /// Closes connections as soon as they are idle, from now on. While connections are still accepted, those
    /// that have not sent a command yet stay open.
    pub fn close_when_idle(&mut self, now: Instant, accepting: Accepting) {
        self.closes_idle = true;
        if accepting == Accepting::Stop {
            self.listener = None;
        }
        let closable = self.keys_of(|connection| {
            connection.is_idle() && (connection.has_sent_command() || accepting == Accepting::Stop)
        });
        for key in closable {
            self.close_if_still_idle(key, now, ClientCloseReason::ShuttingDown);
        }
    }

    /// Closes connections whose clients take too long to send, to read or to close their end.
    pub fn close_expired(&mut self, now: Instant) {
        self.close_timed_out(now);
        if self.lingering_count == 0 {
            return;
        }
        for key in self.keys_of(|connection| connection.is_linger_over(now)) {
            // A client over the limit may have sent its request by now. It is answered first, and closed by
            // the next call.
            self.read(key, now);
            let Some(connection) = self.connections.get(key) else { continue };
            if connection.is_shut_down() {
                self.remove(key, ClientCloseReason::LingerTimeout);
            } else if connection.output.is_empty() {
                self.remove(key, ClientCloseReason::OverLimitTimeout);
            }
        }
    }

    /// Closes connections that send nothing, leave a command incomplete or read nothing for too long, since
    /// they use descriptors and memory.
    fn close_timed_out(&mut self, now: Instant) {
        let overdue = self.keys_of(|connection| connection.is_command_overdue(now));
        let not_reading = self.keys_of(|connection| connection.output.is_timed_out(now));
        for key in not_reading {
            self.remove(key, ClientCloseReason::WriteTimeout);
        }
        for key in overdue {
            // The rest may have arrived by now.
            self.read(key, now);
            let connection = self.connections.get_mut(key);
            let Some(connection) = connection.filter(|connection| connection.is_command_overdue(now)) else {
                continue;
            };
            if connection.input.is_empty() {
                self.close_if_still_idle(key, now, ClientCloseReason::NoCommand);
                continue;
            }
            connection.abort_command(ClientError::CommandTimeout, ClosingCause::CommandTimeout);
            self.queue_for_write(key);
        }
    }

    /// Shuts down or closes a connection whose replies are all written, if it is to end.
    pub(super) fn close_if_done(&mut self, key: usize, now: Instant) {
        let connection = &mut self.connections[key];
        if connection.is_ready_for_shutdown() {
            self.lingering_count += usize::from(connection.linger_until.is_none());
            connection.start_lingering_close(now);
        } else {
            self.close_if_idle_at_shutdown(key, now);
        }
    }

    /// Closes a connection that has become idle during the shutdown.
    pub(super) fn close_if_idle_at_shutdown(&mut self, key: usize, now: Instant) {
        if self.closes_idle && self.connections.get(key).is_some_and(ClientConnection::is_idle) {
            self.close_if_still_idle(key, now, ClientCloseReason::ShuttingDown);
        }
    }

    /// Closes an idle connection, unless a command has arrived on it meanwhile.
    ///
    /// A request in the socket's buffer would be lost with the connection: its client would see a close in
    /// place of a reply. So the buffer is read to its end right before the close.
    fn close_if_still_idle(&mut self, key: usize, now: Instant, reason: ClientCloseReason) {
        self.read(key, now);
        if self.connections.get(key).is_some_and(ClientConnection::is_idle) {
            self.remove(key, reason);
        }
    }

    /// Closes and removes a connection, and reports its requests without a reply as disconnected.
    pub(super) fn remove(&mut self, key: usize, reason: ClientCloseReason) {
        let connection = self.connections.remove(key); // Dropping it closes the socket and ends its polling.
        let replies_owed = connection.replies.len();
        let unwritten_bytes = connection.output.unwritten();
        tracing::debug!(
            target: "client_connection",
            client = connection.serial,
            ?reason,
            cause = connection.closing_cause.map(tracing::field::debug),
            replies_owed,
            unwritten_bytes,
            "closed"
        );
        self.close_counts[reason as usize] += 1;
        if connection.is_busy() && !reason.may_drop_replies() {
            self.closed_with_replies_owed.push(connection.replies.pending_latest_first().next());
        }
        self.lingering_count -= usize::from(connection.linger_until.is_some());
        self.over_limit_count -= usize::from(connection.is_over_limit());
        self.memory.release(&connection);
        // The latest first: otherwise the end of an earlier request would start a later one of this client,
        // only for it to be cancelled.
        let pending = connection.replies.pending_latest_first();
        let disconnected: Vec<ClientEvent> = pending.map(ClientEvent::Disconnected).collect();
        if !disconnected.is_empty() {
            // Commands that were not handled yet are dropped.
            let serial = connection.serial;
            self.events.retain(
                |event| !matches!(event, ClientEvent::Command { reply_to, .. } if reply_to.serial == serial),
            );
            self.events.extend(disconnected);
        }
    }

    /// The keys of the connections that fulfil a condition.
    fn keys_of(&self, selected: impl Fn(&ClientConnection) -> bool) -> Vec<usize> {
        let connections = self.connections.iter().filter(|(_, connection)| selected(connection));
        connections.map(|(key, _)| key).collect()
    }
}
