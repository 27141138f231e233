//! One client's connection: what it has sent, what it is owed, and how it ends.

use super::error::ClientError;
use super::output::OutputBuffer;
use super::reply_queue::ReplyQueue;
use super::Capacity;
use crate::resp;
use ingress::permissions::{may_close_client, ClientConnectionFacts};
use ingress::{Duration, Instant};
use mio::net::TcpStream;
use std::net::Shutdown;

/// The most replies that a connection may be owed until no more is read from it. As many clients as there are
/// descriptors, sending and never reading, must fit in the memory.
const MAX_PENDING_REPLIES: usize = 256;
/// The most bytes of replies that a connection may leave unread until no more is read from it.
const MAX_UNREAD_BYTES: usize = 64 * 1024;
/// Errors in a row after which a connection is closed: each costs a reply, and some clients never give up.
const MAX_CONSECUTIVE_ERRORS: u32 = 8;
/// How long a new connection may send nothing, and how long an incomplete command may stay incomplete.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client may take to read its last replies, counted anew whenever it sends more.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client that keeps sending may take to read its last replies.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// How far the end of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseState {
    /// Commands are accepted.
    Open,
    /// Further input is discarded; the sending side is shut down once all replies are written.
    Closing,
    /// The sending side is shut down; the client may still read its last replies.
    ShutDown,
}

/// A client's connection.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// The number of the connection; unlike its key, no other has it again.
    pub serial: u64,
    /// What was received and not parsed: at most one incomplete command, unless reading is paused.
    pub input: Vec<u8>,
    /// The replies that are owed.
    pub replies: ReplyQueue,
    /// The replies that are being written.
    pub output: OutputBuffer,
    /// The memory that the connection was last found to hold.
    pub accounted_memory: usize,
    /// When it was accepted, last sent a command, or last had all its replies written.
    pub last_active_at: Instant,
    /// When the incomplete command in `input` began to arrive; without one, as long as no command ever came, when the
    /// connection was accepted.
    command_started_at: Instant,
    /// Rejected commands since the last valid one.
    consecutive_errors: u32,
    /// How far its end has come.
    close_state: CloseState,
    /// When it is closed though the client has not ended it. One over the limit has this from the start.
    pub linger_until: Option<Instant>,
    /// It was accepted only to be told with its first request that the ingress is busy.
    pub over_limit: bool,
    /// Nothing is read since too many replies are owed or unread.
    pub reading_paused: bool,
    /// Since when something may be unread, where it was not read to the end.
    pub unread_since: Option<Instant>,
    /// It is in the queue of connections to be written to.
    pub queued_for_write: bool,
    /// It is in the queue of connections to be read from.
    pub queued_for_read: bool,
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream, serial: u64, capacity: Capacity, now: Instant) -> Self {
        let over_limit = capacity == Capacity::OverLimit;
        Connection {
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
            linger_until: over_limit.then_some(now + LINGER_TIMEOUT),
            over_limit,
            reading_paused: false,
            unread_since: None,
            queued_for_write: false,
            queued_for_read: false,
        }
    }

    /// Whether it is between two requests, with nothing left to be read, parsed or written.
    pub fn is_idle(&self) -> bool {
        let facts = ClientConnectionFacts {
            is_busy: self.is_busy(),
            has_input: !self.input.is_empty() || self.queued_for_read,
            is_closing: self.is_closing() || self.over_limit,
        };
        may_close_client(facts).is_ok()
    }

    /// Whether it awaits or is being sent a reply.
    pub fn is_busy(&self) -> bool {
        !self.replies.is_empty() || !self.output.is_empty()
    }

    /// Whether so much is owed or unread that no further command is parsed.
    pub fn is_backlogged(&self) -> bool {
        let unread_bytes = self.replies.ready_bytes() + self.output.unwritten();
        self.replies.len() >= MAX_PENDING_REPLIES || unread_bytes >= MAX_UNREAD_BYTES
    }

    /// Whether its end has begun: what it still sends is discarded.
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

    /// Whether it waits for the client: for the rest of a command, or for it to read.
    pub fn is_client_late(&self) -> bool {
        !self.input.is_empty() || self.output.is_blocked()
    }

    /// Whether its first command, or the rest of a command, has not arrived in time.
    pub fn is_command_overdue(&self, now: Instant) -> bool {
        let is_exempt = self.is_closing() || self.over_limit || self.reading_paused;
        let awaits_command =
            if self.input.is_empty() { !self.has_sent_command() } else { !self.is_backlogged() };
        now > self.command_started_at + COMMAND_TIMEOUT && !is_exempt && awaits_command
    }

    /// Whether its time for lingering is over.
    pub fn is_linger_over(&self, now: Instant) -> bool {
        self.linger_until.is_some_and(|until| until <= now)
    }

    /// The memory that it holds.
    pub fn memory_held(&self) -> usize {
        self.input.capacity() + self.replies.ready_bytes() + self.output.bytes.capacity()
    }

    /// Takes in bytes that arrived.
    pub fn receive(&mut self, bytes: &[u8], now: Instant) {
        if self.is_closing() {
            // They had to be read, or the kernel would reset the connection before the client has its replies.
            return self.extend_lingering(now);
        }
        if self.input.is_empty() && self.has_sent_command() {
            self.command_started_at = now.max(self.command_started_at);
        }
        self.input.extend_from_slice(bytes);
    }

    /// Notes that a complete command was parsed.
    pub fn record_command(&mut self, now: Instant) {
        self.last_active_at = now.max(self.last_active_at);
        self.command_started_at = now.max(self.command_started_at);
    }

    /// Notes a command that was accepted.
    pub fn record_valid_command(&mut self) {
        self.consecutive_errors = 0;
    }

    /// Notes a command that was rejected; after too many in a row the connection is closed behind its reply.
    pub fn record_protocol_error(&mut self) {
        self.consecutive_errors += 1;
        if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS {
            self.start_closing();
        }
    }

    /// Forgets the input that was parsed.
    pub fn consume_input(&mut self, len: usize) {
        self.input.drain(..len);
        if self.input.is_empty() {
            self.input = Vec::new(); // Many connections are idle: none keeps memory that it does not need.
        }
    }

    /// Replies to what was just parsed.
    pub fn reply_immediately(&mut self, reply: &[u8]) {
        self.replies.push_ready(reply, &mut self.output.bytes);
    }

    /// Replies with an error to what was just parsed.
    pub fn reply_error(&mut self, error: ClientError) {
        self.reply_immediately(&error_line(error));
    }

    /// Ends the connection in the middle of a command, once the client is told why.
    pub fn abort_command(&mut self, error: ClientError) {
        self.reply_error(error);
        self.start_closing();
        self.input = Vec::new();
    }

    /// Accepts no further command: the connection ends with the replies that it is owed.
    pub fn start_closing(&mut self) {
        if self.close_state == CloseState::Open {
            self.close_state = CloseState::Closing;
        }
    }

    /// Whether its end has begun and all replies are written, so that it can be shut down.
    pub fn is_ready_for_shutdown(&self) -> bool {
        self.close_state == CloseState::Closing && !self.is_busy()
    }

    /// Shuts the sending side down and lets the client read its last replies. Closed at once, the connection would be
    /// reset by what the client still sends, and the replies lost.
    pub fn start_lingering_close(&mut self, now: Instant) {
        let _ = self.stream.shutdown(Shutdown::Write);
        self.close_state = CloseState::ShutDown;
        self.linger_until = Some(now + LINGER_TIMEOUT);
    }

    /// Gives a client that still sends more time to notice the end.
    fn extend_lingering(&mut self, now: Instant) {
        let latest = self.last_active_at + MAX_LINGER;
        if let Some(until) = self.linger_until.as_mut().filter(|_| self.close_state == CloseState::ShutDown) {
            *until = (now + LINGER_TIMEOUT).min(latest).max(*until);
        }
    }
}

/// The RESP2 error line that tells a client of an error.
pub fn error_line(error: ClientError) -> Vec<u8> {
    let mut line = Vec::new();
    resp::write_error(&mut line, &error.to_string());
    line
}
