//! Reads from client connections and parses their commands.

use super::closing::ClientCloseReason;
use super::connection::{ClientConnection, ClosingCause};
use super::error::ClientError;
use super::{ClientEvent, Clients, ReplyHandle, BUSY_REPLY};
use crate::command::Command;
use crate::readiness::Readiness;
use crate::resp;
use crate::socket_error::is_out_of_memory;
use ingress::{Instant, RequestId};
use std::io::{ErrorKind, Read};
use std::ops::Range;

/// Maximum size of a single read, in bytes.
pub const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of reads from a connection in an iteration, so that a fast client does not delay the
/// others.
const MAX_READS_PER_ITERATION: usize = 4;

const PONG_REPLY: &[u8] = b"+PONG\r\n";

/// The state of reading from a connection, after its commands were parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// Further commands are read and parsed.
    Active,
    /// Too many replies are owed or unwritten.
    Paused,
}

impl Clients {
    /// Reads from a connection whose socket is ready, and schedules a write if the socket is writable.
    pub fn on_ready(&mut self, key: usize, now: Instant, readiness: Readiness) {
        let Some(connection) = self.connections.get(key) else { return };
        if readiness == Readiness::Writable && !connection.output.is_empty() {
            self.queue_for_write(key);
        }
        self.read(key, now);
    }

    /// Closes a connection that the client has closed or half-closed. Unread input is dropped.
    pub fn on_disconnect(&mut self, key: usize) {
        if self.connections.contains(key) {
            self.remove(key, ClientCloseReason::Disconnected);
        }
    }

    /// Continues to read from the connections whose sockets were not read to the end.
    pub fn resume_reads(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.read_queue) {
            if let Some(connection) = self.connections.get_mut(key) {
                connection.queued_for_read = false;
                self.read(key, now);
                self.close_if_idle_at_shutdown(key, now);
            }
        }
    }

    /// Reads from all connections, whether or not their sockets are reported as ready.
    pub fn read_all(&mut self, now: Instant) {
        let keys: Vec<usize> = self.connections.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.read(key, now);
        }
    }

    /// Reads from a connection and enforces the memory limit.
    pub(super) fn read(&mut self, key: usize, now: Instant) {
        if self.connections.get(key).is_some_and(ClientConnection::reads_input) {
            self.read_and_parse(key, now);
            self.enforce_memory_limit(key);
        }
    }

    /// Reads from a connection and parses its commands, up to the limit per iteration.
    ///
    /// A read that would block ends the loop, but a short read does not: readiness is edge-triggered, and the
    /// socket may not be empty after a short read, so that a request could remain unread.
    fn read_and_parse(&mut self, key: usize, now: Instant) {
        for _ in 0..MAX_READS_PER_ITERATION {
            if self.parse_commands(key, now) == ReadState::Paused {
                self.pause_reading(key);
                return;
            }
            let connection = &mut self.connections[key];
            let received = match connection.stream.read(&mut self.read_buffer) {
                Ok(0) => return self.remove(key, ClientCloseReason::Disconnected),
                Ok(received) => received,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    connection.unread_since = None;
                    return;
                }
                Err(error) if is_out_of_memory(&error) => return self.read_later(key),
                Err(_) => return self.remove(key, ClientCloseReason::Broken),
            };
            connection.receive(&self.read_buffer[..received], now);
        }
        match self.parse_commands(key, now) {
            ReadState::Active => self.read_later(key),
            ReadState::Paused => self.pause_reading(key),
        }
    }

    /// Schedules a read in the next iteration. The timeouts of unread commands count from the earliest time
    /// at which they can have arrived.
    fn read_later(&mut self, key: usize) {
        let connection = &mut self.connections[key];
        connection.reading_paused = false;
        connection.unread_since.get_or_insert(self.arrival_time);
        self.queue_for_read(key);
    }

    /// Pauses reading until replies are written. The timeouts of unread commands count from the earliest time
    /// at which they can have arrived.
    fn pause_reading(&mut self, key: usize) {
        let connection = &mut self.connections[key];
        connection.reading_paused = true;
        connection.unread_since.get_or_insert(self.arrival_time);
    }

    /// Parses and handles the complete commands in a connection's input.
    fn parse_commands(&mut self, key: usize, now: Instant) -> ReadState {
        let mut parsed = 0;
        loop {
            let connection = &mut self.connections[key];
            if connection.is_closing() {
                // No further command is answered, so the rest of the input is discarded.
                parsed = connection.input.len();
            }
            if connection.is_backlogged() || parsed >= connection.input.len() {
                break;
            }
            match resp::parse_command(&connection.input[parsed..], &mut self.argument_ranges) {
                Ok(None) => break,
                Ok(Some(len)) => {
                    self.handle_command(key, parsed..parsed + len, now);
                    parsed += len;
                }
                Err(error) => {
                    connection.start_closing(ClosingCause::ProtocolError);
                    self.reply_error(key, ClientError::Protocol(error));
                }
            }
        }
        let connection = &mut self.connections[key];
        connection.consume_input(parsed);
        if connection.is_backlogged() {
            ReadState::Paused
        } else {
            ReadState::Active
        }
    }

    /// Handles the command that was just parsed, at `position` in the connection's input.
    fn handle_command(&mut self, key: usize, position: Range<usize>, now: Instant) {
        let connection = &mut self.connections[key];
        connection.record_command(now);
        let bytes = &connection.input[position];
        match Command::parse(bytes, &self.argument_ranges, &self.schema) {
            Some(Ok(_)) if connection.is_over_limit() => {
                tracing::debug!(
                    target: "client_connection", client = connection.serial,
                    "request rejected: connection over the file descriptor limit"
                );
                connection.start_closing(ClosingCause::OverLimit);
                self.reply_immediately(key, BUSY_REPLY);
            }
            Some(Ok(command)) => self.accept_command(key, command),
            Some(Err(error)) => self.refuse_command(key, ClientError::InvalidCommand(error)),
            None if bytes[self.argument_ranges[0].clone()].eq_ignore_ascii_case(b"PING") => {
                connection.record_valid_command();
                self.reply_immediately(key, PONG_REPLY);
            }
            None => self.refuse_command(key, ClientError::UnknownCommand),
        }
    }

    /// Adds a request to the events for the event loop.
    fn accept_command(&mut self, key: usize, command: Command) {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let connection = &mut self.connections[key];
        connection.record_valid_command();
        let sequence = connection.replies.push_pending(id);
        let reply_to = ReplyHandle { key, serial: connection.serial, sequence };
        let arrived_at = connection.unread_since.unwrap_or(self.arrival_time);
        self.events.push_back(ClientEvent::Command { id, reply_to, arrived_at, command });
    }

    /// Replies with an error to an invalid command.
    fn refuse_command(&mut self, key: usize, error: ClientError) {
        let connection = &mut self.connections[key];
        tracing::debug!(
            target: "client_connection", client = connection.serial, %error, "invalid command refused"
        );
        connection.record_invalid_command();
        self.reply_error(key, error);
    }

    /// Replies with an error to the input that was just parsed.
    fn reply_error(&mut self, key: usize, error: ClientError) {
        self.connections[key].reply_error(error);
        self.queue_for_write(key);
    }

    /// Replies to the command that was just parsed.
    fn reply_immediately(&mut self, key: usize, reply: &[u8]) {
        self.connections[key].reply_immediately(reply);
        self.queue_for_write(key);
    }
}
