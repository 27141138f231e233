//! Closes client connections whose clients exceed a time limit.

use super::close_reason::ClientCloseReason;
use super::close_state::ClosingCause;
use super::connection::ClientConnection;
use super::error::ClientError;
use super::output::WRITE_TIMEOUT;
use super::Clients;
use ingress::{Duration, Instant};

/// Time for which a client may read nothing while memory is short, before its connection is closed.
const SHORTAGE_WRITE_TIMEOUT: Duration = Duration::from_secs(3);

impl Clients {
    /// Closes connections whose clients exceed the time to send a command, to read replies or to close their
    /// end.
    pub fn close_expired(&mut self, now: Instant) {
        self.close_timed_out(now);
        self.close_unread_under_shortage(now);
        self.close_lingered(now);
        if self.over_limit_count > 0 {
            self.close_over_limit(now);
        }
    }

    /// While memory is short, closes connections whose clients do not read: of those that have
    /// read nothing for [`SHORTAGE_WRITE_TIMEOUT`], the ones that use the most memory.
    fn close_unread_under_shortage(&mut self, now: Instant) {
        while self.memory.is_short() {
            let unread = self
                .connections
                .iter()
                .filter(|(_, connection)| connection.output.is_blocked_for(SHORTAGE_WRITE_TIMEOUT, now));
            let largest = unread.max_by_key(|(_, connection)| connection.accounted_memory.replies);
            let Some((key, _)) = largest else { return };
            self.remove(key, ClientCloseReason::MemoryLimit);
        }
    }

    /// Closes connections over the limit whose time is over. Requests that have arrived are rejected first.
    fn close_over_limit(&mut self, now: Instant) {
        let is_over = |connection: &ClientConnection| {
            connection.is_over_limit() && !connection.is_shut_down() && connection.is_linger_over(now)
        };
        for key in self.keys_where(is_over) {
            self.read(key, now);
            let Some(connection) = self.connections.get_mut(key) else { continue };
            if connection.is_busy() {
                if connection.is_closing() && !connection.output.is_being_read(now) {
                    self.remove(key, ClientCloseReason::WriteTimeout);
                    continue;
                }
                // The connection is shut down once the rejections are written.
                connection.start_closing(ClosingCause::OverLimit);
                self.reject_received(key);
            } else if connection.may_have_reply_in_transit(now) {
                self.start_lingering_close(key, now, ClosingCause::OverLimit);
            } else {
                self.remove(key, ClientCloseReason::OverLimitTimeout);
            }
        }
    }

    /// Closes connections that are shut down and whose clients had the time to read their last replies.
    pub fn close_lingered(&mut self, now: Instant) {
        if self.lingering_count == 0 {
            return;
        }
        let is_over =
            |connection: &ClientConnection| connection.is_shut_down() && connection.is_linger_over(now);
        for key in self.keys_where(is_over) {
            // A client that is still sending is given more time.
            self.read(key, now);
            if self.connections.get(key).is_some_and(is_over) {
                self.remove(key, ClientCloseReason::LingerTimeout);
            }
        }
    }

    /// Closes connections that send nothing, leave a command incomplete or do not read their replies for too
    /// long, since they use descriptors and memory.
    fn close_timed_out(&mut self, now: Instant) {
        let overdue = self.keys_where(|connection| connection.is_command_overdue(now));
        let not_reading = self.keys_where(|connection| connection.output.is_blocked_for(WRITE_TIMEOUT, now));
        for key in not_reading {
            self.remove(key, ClientCloseReason::WriteTimeout);
        }
        for key in overdue {
            // The rest of the command may have arrived in the meantime.
            self.read(key, now);
            let connection = self.connections.get(key);
            let Some(connection) = connection.filter(|connection| connection.is_command_overdue(now)) else {
                continue;
            };
            if !connection.has_incomplete_command() {
                self.close_if_still_idle(key, now, ClientCloseReason::NoCommand);
                continue;
            }
            self.abort_command(key, ClientError::CommandTimeout, ClosingCause::CommandTimeout);
        }
    }
}
