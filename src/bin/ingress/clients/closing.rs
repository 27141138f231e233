//! Closes client connections that have failed or are idle, and all connections during a shutdown.

use super::close_reason::ClientCloseReason;
use super::close_state::ClosingCause;
use super::connection::ClientConnection;
use super::{Accepting, ClientEvent, Clients};
use ingress::Instant;

/// The order in which idle connections are closed to free their descriptors, lowest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleCloseOrder {
    /// Whether the connection has sent a command. Other connections are closed first.
    has_sent_command: bool,
    last_active_at: Instant,
    /// Of connections that were last active at the same time, the one accepted first is closed.
    serial: u64,
}

impl IdleCloseOrder {
    /// Returns the position of a connection in this order.
    fn of(connection: &ClientConnection) -> IdleCloseOrder {
        IdleCloseOrder {
            has_sent_command: connection.has_sent_command(),
            last_active_at: connection.last_active_at,
            serial: connection.serial,
        }
    }
}

impl Clients {
    /// Closes the connection that has been idle for the longest time, to free its descriptor. Returns `false`
    /// if no connection may be closed.
    ///
    /// A connection with a reply in transit keeps its descriptor until its client has closed its end or has had
    /// the time for it. Up to [`MAX_CLIENTS_BEYOND_BUDGET`] of them do not count against the budget meanwhile.
    pub fn close_longest_idle(&mut self, now: Instant) -> bool {
        self.close_lingered(now);
        loop {
            let closable = self.connections.iter().filter(|(_, connection)| {
                connection.is_idle() && !connection.may_have_first_command_in_transit(now)
            });
            let longest = closable.min_by_key(|(_, connection)| IdleCloseOrder::of(connection));
            let Some((key, connection)) = longest else { return false };
            if connection.may_have_reply_in_transit(now) && !self.has_capacity_beyond_budget() {
                return false;
            }
            self.close_if_still_idle(key, now, ClientCloseReason::DescriptorNeeded);
            if self.connections.get(key).is_none_or(ClientConnection::is_closing) {
                return true;
            }
        }
    }

    /// Closes idle connections now, and others once they become idle. While connections are still accepted,
    /// those that have not sent a command stay open.
    pub fn close_when_idle(&mut self, now: Instant, accepting: Accepting) {
        self.closes_idle = true;
        if accepting == Accepting::Stop {
            self.listener = None;
        }
        let closable = self.keys_where(|connection| {
            connection.is_idle() && (connection.has_sent_command() || accepting == Accepting::Stop)
        });
        for key in closable {
            self.close_if_still_idle(key, now, ClientCloseReason::ShuttingDown);
        }
    }

    /// Shuts down the connections that a process exit would otherwise close with a reply in transit. Those
    /// with an incomplete command are included, since nothing waits for its rest any longer.
    pub fn shut_down_before_exit(&mut self, now: Instant) {
        let has_reply_in_transit = |connection: &ClientConnection| {
            !connection.is_closing() && !connection.is_busy() && connection.may_have_reply_in_transit(now)
        };
        for key in self.keys_where(has_reply_in_transit) {
            self.start_lingering_close(key, now, ClosingCause::ShuttingDown);
        }
    }

    /// Returns whether a process exit could drop a reply that is on its way to a client: a client that reads
    /// has not had the time to receive it.
    pub fn has_reply_in_transit(&self, now: Instant) -> bool {
        self.connections.iter().any(|(_, connection)| {
            if connection.is_shut_down() {
                !connection.is_linger_over(now)
            } else if connection.is_busy() {
                connection.output.is_being_read(now)
            } else {
                connection.may_have_reply_in_transit(now)
            }
        })
    }

    /// Shuts down a connection that is to be closed and has replied to all commands that were read.
    pub(super) fn close_if_done(&mut self, key: usize, now: Instant) {
        if !self.connections.get(key).is_some_and(ClientConnection::is_ready_for_shutdown) {
            return self.close_if_idle_at_shutdown(key, now);
        }
        // Further commands may have arrived in the meantime.
        self.read(key, now);
        let Some(connection) = self.connections.get(key) else { return };
        if let Some(cause) = connection.closing_cause.filter(|_| connection.is_ready_for_shutdown()) {
            self.start_lingering_close(key, now, cause);
        }
    }

    /// Closes a connection if the process is shutting down and the connection is idle.
    fn close_if_idle_at_shutdown(&mut self, key: usize, now: Instant) {
        if self.closes_idle && self.connections.get(key).is_some_and(ClientConnection::is_idle) {
            self.close_if_still_idle(key, now, ClientCloseReason::ShuttingDown);
        }
    }

    /// Closes an idle connection, unless a command has arrived in the meantime.
    ///
    /// A request in the socket's buffer would be lost with the connection, and the client would receive no
    /// reply. So the buffer is read to its end just before the close. A reply in the other direction would be
    /// lost if the client sent a request after the close. So the connection is only shut down while one may be
    /// in transit.
    pub(super) fn close_if_still_idle(&mut self, key: usize, now: Instant, reason: ClientCloseReason) {
        self.read(key, now);
        let Some(connection) = self.connections.get(key).filter(|connection| connection.is_idle()) else {
            return;
        };
        match reason.closing_cause() {
            Some(cause) if connection.may_have_reply_in_transit(now) => {
                self.start_lingering_close(key, now, cause);
            }
            _ => self.remove(key, reason),
        }
    }

    /// Shuts down a connection without unwritten replies, and lets its client read those in transit.
    pub(super) fn start_lingering_close(&mut self, key: usize, now: Instant, cause: ClosingCause) {
        let connection = &mut self.connections[key];
        connection.start_closing(cause);
        self.lingering_count += usize::from(connection.linger_until.is_none());
        self.yielding_count += usize::from(connection.yields_descriptor());
        connection.start_lingering_close(now);
        let client = connection.serial;
        tracing::debug!(target: "client_connection", client, ?cause, "client connection shut down");
    }

    /// Closes and removes a connection, and reports its unanswered requests as disconnected.
    pub(super) fn remove(&mut self, key: usize, reason: ClientCloseReason) {
        let connection = self.connections.remove(key); // Dropping it closes and deregisters the socket.
        let replies_owed = connection.replies.len();
        let unwritten_bytes = connection.output.unwritten();
        tracing::debug!(
            target: "client_connection",
            client = connection.serial,
            ?reason,
            cause = connection.closing_cause.map(tracing::field::debug),
            replies_owed,
            unwritten_bytes,
            "client connection closed"
        );
        self.close_counts[reason as usize] += 1;
        if connection.is_busy() && !reason.may_drop_replies() {
            self.closed_with_replies_owed.push(connection.replies.pending_latest_first().next());
        }
        self.lingering_count -= usize::from(connection.linger_until.is_some());
        self.over_limit_count -= usize::from(connection.is_over_limit());
        self.yielding_count -= usize::from(connection.yields_descriptor());
        self.memory.subtract(connection.accounted_memory);
        // The latest request is reported first: the end of an earlier one would otherwise start a later one
        // of the same client, which would be cancelled at once.
        let pending = connection.replies.pending_latest_first();
        let disconnected: Vec<ClientEvent> = pending.map(ClientEvent::Disconnected).collect();
        if !disconnected.is_empty() {
            // Pending commands of this connection are dropped.
            let serial = connection.serial;
            self.events.retain(
                |event| !matches!(event, ClientEvent::Command { reply_to, .. } if reply_to.serial == serial),
            );
            self.events.extend(disconnected);
        }
    }

    /// Returns the keys of the connections that satisfy a condition.
    pub(super) fn keys_where(&self, condition: impl Fn(&ClientConnection) -> bool) -> Vec<usize> {
        let connections = self.connections.iter().filter(|(_, connection)| condition(connection));
        connections.map(|(key, _)| key).collect()
    }
}

#[cfg(test)]
mod tests;
