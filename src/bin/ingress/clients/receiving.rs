//! Stores received bytes within the memory limit: reserves memory for long commands, discards those for which there
//! is none, and reads ahead while replies are backlogged.

use super::close_reason::ClientCloseReason;
use super::close_state::ClosingCause;
use super::error::ClientError;
use super::input_storage::InputStorage;
use super::limits::{MAX_UNRESERVED_INPUT_BYTES, READ_BUFFER_BYTES};
use super::reading::MAX_READS_PER_ITERATION;
use super::{Clients, BUSY_REPLY};
use crate::resp::CommandSkipper;
use crate::socket_error::is_out_of_memory;
use ingress::Instant;
use std::io::{ErrorKind, Read};

impl Clients {
    /// Reserves memory for a long incomplete command, or releases it. Without memory, the command is discarded
    /// and rejected at its end.
    ///
    /// Memory is reserved for the whole command. If it were reserved for the bytes that have arrived, all of
    /// it could be used by commands of which none can be completed.
    pub(super) fn reserve_input(&mut self, key: usize) {
        let connection = &mut self.connections[key];
        if connection.input.len() <= MAX_UNRESERVED_INPUT_BYTES {
            if connection.input_storage.is_reserved() {
                connection.input_storage = InputStorage::Unreserved;
            }
        } else if self.memory.can_reserve_input() {
            connection.input_storage = InputStorage::Reserved;
        } else if !connection.input_storage.is_reserved() {
            // Unparsed commands behind a backlog of replies are bounded by `read_limit`.
            if !connection.is_backlogged() && !connection.is_closing() {
                self.discard_command(key);
            }
        }
    }

    /// Discards the incomplete command in a connection's input, and what will arrive of it.
    fn discard_command(&mut self, key: usize) {
        let connection = &mut self.connections[key];
        let input = std::mem::take(&mut connection.input);
        let mut skipper = CommandSkipper::default();
        if skipper.skip(&input) != Ok(None) {
            connection.input = input; // Not an incomplete command, so the parser handles it.
            return;
        }
        tracing::debug!(
            target: "client_connection", client = connection.serial, "command discarded: no memory for it"
        );
        connection.input_storage = InputStorage::Discarding(skipper);
    }

    /// Returns the maximum number of bytes to read at once from a connection. It is small when no memory is
    /// left for long commands, since unparsed commands behind a backlog of replies are not discarded.
    pub(super) fn read_limit(&self, key: usize) -> usize {
        if self.connections[key].input_storage.is_reserved() || self.memory.can_reserve_input() {
            READ_BUFFER_BYTES
        } else {
            MAX_UNRESERVED_INPUT_BYTES
        }
    }

    /// Adds received bytes to a connection's input, except those of a command that is being discarded.
    pub(super) fn receive(&mut self, key: usize, bytes: &[u8], now: Instant) {
        let connection = &mut self.connections[key];
        let Some(mut skipper) = connection.input_storage.take_skipper() else {
            return connection.receive(bytes, now);
        };
        match skipper.skip(bytes) {
            Ok(None) => connection.input_storage = InputStorage::Discarding(skipper),
            Ok(Some(length)) => {
                connection.record_command(now);
                connection.receive(&bytes[length..], now);
                self.reject_command(key);
            }
            Err(error) => {
                connection.start_closing(ClosingCause::ProtocolError);
                self.reply_error(key, ClientError::Protocol(error));
            }
        }
    }

    /// Rejects the command that has just ended, without looking at it.
    pub(super) fn reject_command(&mut self, key: usize) {
        let connection = &mut self.connections[key];
        connection.record_valid_command();
        if connection.is_over_limit() {
            connection.record_rejected_request();
        }
        self.reply_immediately(key, BUSY_REPLY);
    }

    /// Reads from a connection whose commands are not parsed now, up to the limit per iteration, to detect that
    /// its client disconnects.
    pub(super) fn read_ahead(&mut self, key: usize) {
        for _ in 0..MAX_READS_PER_ITERATION {
            let connection = &mut self.connections[key];
            if connection.read_ahead.is_full() || !self.memory.can_read_ahead(READ_BUFFER_BYTES) {
                return;
            }
            match connection.stream.read(&mut self.read_buffer) {
                Ok(0) => return self.remove(key, ClientCloseReason::Disconnected),
                Ok(received) => {
                    connection.read_ahead.push(&self.read_buffer[..received]);
                    connection.account_memory(&mut self.memory);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if is_out_of_memory(&error) => break,
                Err(_) => return self.remove(key, ClientCloseReason::Broken),
            }
        }
        self.queue_for_read(key);
    }
}
