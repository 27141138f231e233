//! Reads from client connections and parses their commands.

use super::close_reason::ClientCloseReason;
use super::close_state::ClosingCause;
use super::connection::ClientConnection;
use super::error::ClientError;
use super::{ClientEvent, Clients, ReplyHandle, BUSY_REPLY};
use crate::command::{Command, CommandSchema};
use crate::readiness::Readiness;
use crate::resp;
use crate::socket_error::is_out_of_memory;
use ingress::{Instant, RequestId};
use std::io::{ErrorKind, Read};
use std::ops::Range;

/// Maximum number of reads from a connection in an iteration, so that a fast client does not delay the
/// others.
pub(super) const MAX_READS_PER_ITERATION: usize = 4;
/// Maximum number of invalid commands that are read beyond the end of a connection to find a valid one.
const MAX_WITHHELD_ERRORS: usize = 1024;

const PONG_REPLY: &[u8] = b"+PONG\r\n";

/// The state of reading from a connection, after its commands were parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// Further commands are read and parsed.
    Active,
    /// Too many replies are owed or unwritten.
    Paused,
    /// The connection is being closed, and further input stays unread.
    Ended,
}

/// A complete command of a client.
enum ReceivedCommand {
    /// A valid request.
    Request(Command),
    /// A PING, which the ingress answers itself.
    Ping,
    /// A command that is refused.
    Invalid(ClientError),
}

impl ReceivedCommand {
    /// Interprets the command in `bytes`, whose arguments are at `arguments`.
    fn parse(bytes: &[u8], arguments: &[Range<usize>], schema: &CommandSchema) -> ReceivedCommand {
        match Command::parse(bytes, arguments, schema) {
            Some(Ok(command)) => ReceivedCommand::Request(command),
            Some(Err(error)) => ReceivedCommand::Invalid(ClientError::InvalidCommand(error)),
            None if bytes[arguments[0].clone()].eq_ignore_ascii_case(b"PING") => ReceivedCommand::Ping,
            None => ReceivedCommand::Invalid(ClientError::UnknownCommand),
        }
    }
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

    /// Removes and returns the keys of the connections whose sockets were not read to the end. The caller
    /// resumes each with [`Clients::resume_read`], and takes its events before it resumes the next one: the
    /// commands of all connections together could exceed the memory limit.
    pub fn take_read_queue(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.read_queue)
    }

    /// Continues to read from a connection whose socket was not read to the end.
    pub fn resume_read(&mut self, key: usize, now: Instant) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.queued_for_read = false;
            self.read(key, now);
            self.close_if_done(key, now);
        }
    }

    /// Returns the keys of all connections.
    pub fn keys(&self) -> Vec<usize> {
        self.connections.iter().map(|(key, _)| key).collect()
    }

    /// Reads from a connection, and reserves memory for an incomplete command or discards it.
    pub fn read(&mut self, key: usize, now: Instant) {
        if !self.connections.get(key).is_some_and(ClientConnection::reads_input) {
            return;
        }
        self.read_and_parse(key, now);
        if self.connections.contains(key) {
            self.reserve_input(key);
            self.connections[key].account_memory(&mut self.memory);
        }
    }

    /// Reads from a connection and parses its commands, up to the limit per iteration.
    ///
    /// A read that would block ends the loop, but a short read does not: readiness is edge-triggered, and the
    /// socket may not be empty after a short read, so that a request could remain unread.
    fn read_and_parse(&mut self, key: usize, now: Instant) {
        for _ in 0..MAX_READS_PER_ITERATION {
            match self.parse_commands(key, now) {
                ReadState::Active => {}
                ReadState::Paused => return self.pause_reading(key),
                ReadState::Ended => return,
            }
            if let Some(chunk) = self.connections[key].read_ahead.pop() {
                self.receive(key, &chunk, now);
                continue;
            }
            let read_limit = self.read_limit(key);
            let connection = &mut self.connections[key];
            let received = match connection.stream.read(&mut self.read_buffer[..read_limit]) {
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
            let bytes = std::mem::take(&mut self.read_buffer);
            self.receive(key, &bytes[..received], now);
            self.read_buffer = bytes;
        }
        match self.parse_commands(key, now) {
            ReadState::Active => self.read_later(key),
            ReadState::Paused => self.pause_reading(key),
            ReadState::Ended => {}
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

    /// Pauses parsing until replies are written. The timeouts of unread commands count from the earliest time
    /// at which they can have arrived.
    fn pause_reading(&mut self, key: usize) {
        let connection = &mut self.connections[key];
        connection.reading_paused = true;
        connection.unread_since.get_or_insert(self.arrival_time);
        self.read_ahead(key);
    }

    /// Parses and handles the complete commands in a connection's input.
    fn parse_commands(&mut self, key: usize, now: Instant) -> ReadState {
        let mut parsed = 0;
        loop {
            let connection = &mut self.connections[key];
            let is_parsed = parsed >= connection.input.len();
            if is_parsed || connection.is_closing() || connection.is_backlogged() {
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
        if connection.is_closing() {
            self.reject_received(key);
        }
        let connection = &self.connections[key];
        if !connection.reads_input() {
            ReadState::Ended
        } else if connection.is_backlogged() {
            ReadState::Paused
        } else {
            ReadState::Active
        }
    }

    /// Handles the command that was just parsed, at `position` in the connection's input.
    fn handle_command(&mut self, key: usize, position: Range<usize>, now: Instant) {
        let connection = &mut self.connections[key];
        connection.record_command(now);
        match ReceivedCommand::parse(&connection.input[position], &self.argument_ranges, &self.schema) {
            ReceivedCommand::Request(_) if connection.is_over_limit() => {
                tracing::debug!(
                    target: "client_connection", client = connection.serial,
                    "request rejected: connection over the file descriptor limit"
                );
                self.reject_command(key);
            }
            ReceivedCommand::Request(command) => self.accept_command(key, command),
            ReceivedCommand::Ping => {
                connection.record_valid_command();
                self.reply_immediately(key, PONG_REPLY);
            }
            ReceivedCommand::Invalid(error) => self.refuse_command(key, error),
        }
    }

    /// Begins to close a connection with an incomplete command, which gets an error reply. Complete commands
    /// before it are rejected.
    pub(super) fn abort_command(&mut self, key: usize, error: ClientError, cause: ClosingCause) {
        self.connections[key].start_closing(cause);
        if self.reject_received(key) {
            self.reply_error(key, error);
        }
    }

    /// Replies to the commands that a connection had received when it began to close, and removes them. Requests
    /// are rejected: without a reply, the client could not exclude that they were executed. Returns whether an
    /// incomplete command was dropped.
    ///
    /// Invalid commands behind the last valid one get no reply, so that a client that sends nothing else costs
    /// a limited number of them.
    pub(super) fn reject_received(&mut self, key: usize) -> bool {
        let connection = &mut self.connections[key];
        let input = connection.take_input();
        let was_discarding = connection.input_storage.take_skipper().is_some();
        if connection.discards_input() {
            return false;
        }
        let (mut rest, mut withheld_errors, mut rejected) = (&input[..], Vec::new(), 0);
        while withheld_errors.len() < MAX_WITHHELD_ERRORS {
            let Ok(Some(len)) = resp::parse_command(rest, &mut self.argument_ranges) else { break };
            let reply = match ReceivedCommand::parse(&rest[..len], &self.argument_ranges, &self.schema) {
                ReceivedCommand::Request(_) => {
                    rejected += 1;
                    Some(BUSY_REPLY)
                }
                ReceivedCommand::Ping => Some(PONG_REPLY),
                ReceivedCommand::Invalid(error) => {
                    withheld_errors.push(error);
                    None
                }
            };
            if let Some(reply) = reply {
                withheld_errors.drain(..).for_each(|error| connection.reply_error(error));
                connection.reply_immediately(reply);
            }
            rest = &rest[len..];
        }
        if rejected > 0 {
            let client = connection.serial;
            tracing::debug!(
                target: "client_connection", client, rejected, "requests rejected: connection being closed"
            );
        }
        self.queue_for_write(key);
        was_discarding || !rest.is_empty()
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
    pub(super) fn reply_error(&mut self, key: usize, error: ClientError) {
        self.connections[key].reply_error(error);
        self.queue_for_write(key);
    }

    /// Replies to the command that was just parsed.
    pub(super) fn reply_immediately(&mut self, key: usize, reply: &[u8]) {
        self.connections[key].reply_immediately(reply);
        self.queue_for_write(key);
    }
}

#[cfg(test)]
mod tests;
