//! The state of one client's connection: its input, its replies, and how it is closed.

use super::error::ClientError;
use super::output::OutputBuffer;
use super::reply_queue::ReplyQueue;
use super::Capacity;
use crate::resp;
use ingress::permissions::{may_close_client, ClientConnectionState, ClosingState};
use ingress::{Duration, Instant};
use mio::net::TcpStream;
use std::net::Shutdown;

/// The most replies that a connection may be owed before reading from it pauses. All clients together,
/// sending and never reading, must fit in the memory.
const MAX_PENDING_REPLIES: usize = 256;
/// The most bytes of unread replies of a connection before reading from it pauses.
const MAX_UNREAD_BYTES: usize = 64 * 1024;
/// Errors in a row after which a connection is closed: each costs a reply, and some clients go on for ever.
const MAX_CONSECUTIVE_ERRORS: u32 = 8;
/// How long the first command, or the rest of an incomplete one, may take to arrive.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client may take to read its last replies; each further input restarts it.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client that goes on sending may take to read its last replies.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// The state of closing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseState {
    /// Commands are accepted.
    Open,
    /// Further input is discarded. The sending side is shut down once all replies are written.
    Closing,
    /// The sending side is shut down; the client may still read its last replies.
    ShutDown,
}

/// Why this side began to close a connection, or accepted it only to close it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosingCause {
    /// It was accepted over the limit.
    OverLimit,
    /// What the client sent is not RESP2.
    ProtocolError,
    /// Too many commands in a row were invalid.
    InvalidCommands,
    /// The rest of a command did not arrive in time.
    CommandTimeout,
    /// The memory limit of all clients was reached, and the rest of a command was missing.
    MemoryLimit,
}

/// A client's connection.
pub struct ClientConnection {
    /// The socket.
    pub stream: TcpStream,
    /// The number of the connection, which unlike its key is never reused.
    pub serial: u64,
    /// Received bytes that are not parsed: at most one incomplete command, unless reading is paused.
    pub input: Vec<u8>,
    /// The replies that are owed.
    pub replies: ReplyQueue,
    /// The replies that are being written.
    pub output: OutputBuffer,
    /// The connection's part of the accounted memory.
    pub accounted_memory: usize,
    /// The latest of its acceptance, its last command, and the time when all its replies were written.
    pub last_active_at: Instant,
    /// When the incomplete command in `input` began to arrive; before the first command, when the connection
    /// was accepted.
    command_started_at: Instant,
    /// Invalid commands since the last valid one.
    consecutive_errors: u32,
    /// The state of closing it.
    close_state: CloseState,
    /// The first cause for closing it, for the log.
    pub closing_cause: Option<ClosingCause>,
    /// When it is closed even if the client has not closed its end. A connection over the limit has this from
    /// the start.
    pub linger_until: Option<Instant>,
    /// Whether it can be served, as of its acceptance.
    capacity: Capacity,
    /// Reading is paused since too many replies are owed or unread.
    pub reading_paused: bool,
    /// Since when input may be unread; none if the socket was read to its end.
    pub unread_since: Option<Instant>,
    /// It is in the queue of connections to be written to.
    pub queued_for_write: bool,
    /// It is in the queue of connections to be read from.
    pub queued_for_read: bool,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream, serial: u64, capacity: Capacity, now: Instant) -> Self {
        let is_over_limit = capacity == Capacity::OverLimit;
        ClientConnection {
            stream,
            serial,
            input: Vec::new(),
            replies: ReplyQueue::default(),
            output: OutputBuffer::default(),
            accounted_memory: 0,
            last_active_at: now,
            command_started_at: now,
            consecutive_errors: 0,
            close_state: CloseState::Open,
            closing_cause: is_over_limit.then_some(ClosingCause::OverLimit),
            linger_until: is_over_limit.then_some(now + LINGER_TIMEOUT),
            capacity,
            reading_paused: false,
            unread_since: None,
            queued_for_write: false,
            queued_for_read: false,
        }
    }

    /// Whether it is between two requests, with nothing left to be read, parsed or written.
    pub fn is_idle(&self) -> bool {
        let state = ClientConnectionState {
            is_busy: self.is_busy(),
            has_input: !self.input.is_empty() || self.queued_for_read,
            closing: self.closing(),
        };
        may_close_client(state).is_ok()
    }

    /// Whether this side ends it already.
    fn closing(&self) -> ClosingState {
        if self.is_closing() {
            ClosingState::Closing
        } else if self.is_over_limit() {
            ClosingState::OverLimit
        } else {
            ClosingState::Open
        }
    }

    /// Whether a reply is owed or not completely written.
    pub fn is_busy(&self) -> bool {
        !self.replies.is_empty() || !self.output.is_empty()
    }

    /// Whether so many replies are owed or unread that no further command is parsed.
    pub fn is_backlogged(&self) -> bool {
        let unread_bytes = self.replies.ready_bytes() + self.output.unwritten();
        self.replies.len() >= MAX_PENDING_REPLIES || unread_bytes >= MAX_UNREAD_BYTES
    }

    /// Whether it was accepted over the limit: its first request is rejected.
    pub fn is_over_limit(&self) -> bool {
        self.capacity == Capacity::OverLimit
    }

    /// Whether it is being closed: further input is discarded.
    pub fn is_closing(&self) -> bool {
        self.close_state != CloseState::Open
    }

    /// Whether its sending side is shut down.
    pub fn is_shut_down(&self) -> bool {
        self.close_state == CloseState::ShutDown
    }

    /// Whether a complete command ever arrived.
    pub fn has_sent_command(&self) -> bool {
        self.replies.was_used()
    }

    /// Whether it waits for its client to send the rest of a command, or to read.
    pub fn awaits_client(&self) -> bool {
        !self.input.is_empty() || self.output.is_blocked()
    }

    /// Whether its first command, or the rest of an incomplete one, has not arrived in time.
    pub fn is_command_overdue(&self, now: Instant) -> bool {
        let is_exempt = self.is_closing() || self.is_over_limit() || self.reading_paused;
        let awaits_command =
            if self.input.is_empty() { !self.has_sent_command() } else { !self.is_backlogged() };
        now > self.command_started_at + COMMAND_TIMEOUT && !is_exempt && awaits_command
    }

    /// Whether its time for lingering is over.
    pub fn is_linger_over(&self, now: Instant) -> bool {
        self.linger_until.is_some_and(|until| until <= now)
    }

    /// The memory that its buffers take.
    pub fn memory_size(&self) -> usize {
        self.input.capacity() + self.replies.ready_bytes() + self.output.bytes.capacity()
    }

    /// Appends received bytes to the input.
    pub fn receive(&mut self, bytes: &[u8], now: Instant) {
        if self.is_closing() {
            // Reading and discarding them prevents a reset by the kernel, which would lose the client's last
            // replies.
            return self.extend_lingering(now);
        }
        if self.input.is_empty() && self.has_sent_command() {
            self.command_started_at = now.max(self.command_started_at);
        }
        self.input.extend_from_slice(bytes);
    }

    /// Records a complete command.
    pub fn record_command(&mut self, now: Instant) {
        self.last_active_at = now.max(self.last_active_at);
        self.command_started_at = now.max(self.command_started_at);
    }

    /// Records a valid command.
    pub fn record_valid_command(&mut self) {
        self.consecutive_errors = 0;
    }

    /// Records an invalid command; after too many in a row the connection is closed after its reply.
    pub fn record_invalid_command(&mut self) {
        self.consecutive_errors += 1;
        if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS {
            self.start_closing(ClosingCause::InvalidCommands);
        }
    }

    /// Removes parsed input.
    pub fn consume_input(&mut self, len: usize) {
        self.input.drain(..len);
        if self.input.is_empty() {
            self.input = Vec::new(); // Frees the memory: many connections are idle.
        }
    }

    /// Replies to the command that was just parsed.
    pub fn reply_immediately(&mut self, reply: &[u8]) {
        self.replies.push_ready(reply, &mut self.output.bytes);
    }

    /// Replies with an error to the input that was just parsed.
    pub fn reply_error(&mut self, error: ClientError) {
        self.reply_immediately(&error_line(error));
    }

    /// Closes the connection in the middle of a command, after an error reply.
    pub fn abort_command(&mut self, error: ClientError, cause: ClosingCause) {
        self.reply_error(error);
        self.start_closing(cause);
        self.input = Vec::new();
    }

    /// Begins to close the connection: no further command is accepted, and owed replies are still written.
    pub fn start_closing(&mut self, cause: ClosingCause) {
        self.closing_cause.get_or_insert(cause);
        if self.close_state == CloseState::Open {
            self.close_state = CloseState::Closing;
        }
    }

    /// Whether it is being closed and all replies are written, so that it can be shut down.
    pub fn is_ready_for_shutdown(&self) -> bool {
        self.close_state == CloseState::Closing && !self.is_busy()
    }

    /// Shuts down the sending side and leaves the connection open for a while. If it were closed at once,
    /// input that is still arriving would reset it, and the client would lose its last replies.
    pub fn start_lingering_close(&mut self, now: Instant) {
        let _ = self.stream.shutdown(Shutdown::Write);
        self.close_state = CloseState::ShutDown;
        self.linger_until = Some(now + LINGER_TIMEOUT);
    }

    /// Gives a client that still sends more time to read its last replies.
    fn extend_lingering(&mut self, now: Instant) {
        let latest = self.last_active_at + MAX_LINGER;
        if let Some(until) = self.linger_until.as_mut().filter(|_| self.close_state == CloseState::ShutDown) {
            *until = (now + LINGER_TIMEOUT).min(latest).max(*until);
        }
    }
}

/// The RESP2 error line for an error.
pub fn error_line(error: ClientError) -> Vec<u8> {
    let mut line = Vec::new();
    resp::write_error(&mut line, &error.to_string());
    line
}
