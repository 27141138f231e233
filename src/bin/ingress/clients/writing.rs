//! Replies to requests and writes the output of client connections.

use super::close_reason::ClientCloseReason;
use super::connection::error_line;
use super::error::ClientError;
use super::output::WriteOutcome;
use super::{Clients, ReplyHandle};
use ingress::Instant;

impl Clients {
    /// Replies with an error to an invalid request. Too many consecutive ones close the connection.
    pub fn refuse_invalid(&mut self, reply_to: ReplyHandle, error: ClientError) {
        let connection = self.connections.get_mut(reply_to.key);
        if let Some(connection) = connection.filter(|connection| connection.serial == reply_to.serial) {
            connection.record_invalid_command();
            if connection.is_closing() {
                self.reject_received(reply_to.key);
            }
        }
        self.reply(reply_to, error_line(error));
    }

    /// Sends the final reply to a request, a complete RESP2 value. Does nothing if the connection is closed.
    pub fn reply(&mut self, reply_to: ReplyHandle, reply: impl Into<Vec<u8>>) {
        let connection = self.connections.get_mut(reply_to.key);
        let Some(connection) = connection.filter(|connection| connection.serial == reply_to.serial) else {
            return;
        };
        if connection.replies.complete(reply_to.sequence, reply.into(), &mut connection.output) {
            connection.account_memory(&mut self.memory);
            self.queue_for_write(reply_to.key);
        }
    }

    /// Writes the output of all connections. All replies of a connection in an iteration are written at once.
    pub fn flush(&mut self, now: Instant) {
        let mut queue = std::mem::take(&mut self.write_retries);
        queue.append(&mut self.write_queue);
        for key in queue {
            let Some(connection) = self.connections.get_mut(key) else { continue };
            connection.queued_for_write = false;
            match connection.output.write_to(&mut connection.stream, now) {
                Ok(WriteOutcome::Written) => {}
                Ok(WriteOutcome::OutOfMemory) => {
                    connection.queued_for_write = true;
                    self.write_retries.push(key);
                    continue;
                }
                Err(_) => {
                    self.remove(key, ClientCloseReason::Broken);
                    continue;
                }
            }
            connection.account_memory(&mut self.memory);
            if connection.output.is_empty() {
                connection.last_active_at = now.max(connection.last_active_at);
            }
            // Commands that waited for the backlog of replies to shrink are parsed now.
            if connection.reading_paused && !connection.is_backlogged() {
                connection.reading_paused = false;
                self.queue_for_read(key);
            }
            self.close_if_done(key, now);
        }
    }
}
