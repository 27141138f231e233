//! The state of a client connection: its input, its replies, and how it is closed.

use super::close_state::{CloseState, ClosingCause};
use super::error::ClientError;
use super::input_storage::InputStorage;
use super::limits::{INPUT_RESERVATION_BYTES, LINGER_TIMEOUT};
use super::memory::{ConnectionMemory, MemoryBudget};
use super::output::OutputBuffer;
use super::read_ahead::ReadAhead;
use super::reply_queue::ReplyQueue;
use super::Capacity;
use crate::buffer::extend_in_steps;
use crate::resp;
use ingress::permissions::{may_close_client, ClientConnectionState, ClosingState};
use ingress::{Duration, Instant};
use mio::net::TcpStream;
use std::net::Shutdown;

/// Maximum number of replies owed on a connection before reading from it pauses. This bounds the total memory
/// of clients that send requests and never read the replies.
const MAX_PENDING_REPLIES: usize = 256;
/// Maximum size of a connection's unwritten replies before reading from it pauses, in bytes.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;
/// Number of consecutive invalid commands after which a connection is closed: each of them costs a reply, and
/// some clients never stop sending them.
const MAX_CONSECUTIVE_ERRORS: u32 = 8;
/// Maximum time for the first command, or for the rest of an incomplete one, to arrive.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for the first command of a client to arrive that sends it as soon as it has connected.
pub const FIRST_COMMAND_TIME: Duration = Duration::from_millis(100);
/// Maximum time for reading the last replies, for a client that continues to send.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// Whether the requests of a connection are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    /// They are served.
    Available,
    /// They are rejected, since the connection was accepted over the limit. None has arrived yet.
    OverLimit,
    /// As [`Service::OverLimit`], and one was rejected, so the connection is to be closed.
    Rejected,
}

/// A client connection with its buffers and limits.
pub struct ClientConnection {
    pub stream: TcpStream,
    /// The number of the connection, which unlike its key is never reused.
    pub serial: u64,
    /// Received bytes that are not parsed yet: at most one incomplete command, unless reading is paused.
    pub input: Vec<u8>,
    pub input_storage: InputStorage,
    /// Received bytes behind `input`.
    pub read_ahead: ReadAhead,
    /// The replies that are owed, in the order of the requests.
    pub replies: ReplyQueue,
    pub output: OutputBuffer,
    /// Maximum memory of the replies before reading from the connection pauses, in bytes.
    max_reply_memory: usize,
    /// The connection's part of the accounted memory.
    pub accounted_memory: ConnectionMemory,
    /// The time of the last complete command or of the last write that emptied the output, whichever is
    /// later; initially the time at which the connection was accepted.
    pub last_active_at: Instant,
    /// The time at which the incomplete command in `input` began to arrive; before the first command, the
    /// time at which the connection was accepted.
    command_started_at: Instant,
    /// The number of invalid commands since the last valid one.
    consecutive_errors: u32,
    close_state: CloseState,
    /// The first cause for closing the connection, for the log.
    pub closing_cause: Option<ClosingCause>,
    /// The time at which the connection is closed even if the client has not closed its end. For a connection
    /// over the limit it is set when the connection is accepted.
    pub linger_until: Option<Instant>,
    service: Service,
    /// Whether reading is paused because too many replies are owed or unwritten.
    pub reading_paused: bool,
    /// The time since which input may be unread, or `None` if the socket was read to its end.
    pub unread_since: Option<Instant>,
    /// Whether the connection is in the write queue or is to retry a write.
    pub queued_for_write: bool,
    pub queued_for_read: bool,
}

impl ClientConnection {
    /// Creates the state of a connection accepted at `now`, whose replies may use `max_reply_memory` bytes.
    pub fn new(
        stream: TcpStream,
        serial: u64,
        capacity: Capacity,
        max_reply_memory: usize,
        now: Instant,
    ) -> Self {
        let is_over_limit = capacity == Capacity::OverLimit;
        ClientConnection {
            stream,
            serial,
            input: Vec::new(),
            input_storage: InputStorage::Unreserved,
            read_ahead: ReadAhead::default(),
            replies: ReplyQueue::default(),
            output: OutputBuffer::default(),
            max_reply_memory,
            accounted_memory: ConnectionMemory::default(),
            last_active_at: now,
            command_started_at: now,
            consecutive_errors: 0,
            close_state: CloseState::Open,
            closing_cause: is_over_limit.then_some(ClosingCause::OverLimit),
            linger_until: is_over_limit.then_some(now + LINGER_TIMEOUT),
            service: if is_over_limit { Service::OverLimit } else { Service::Available },
            reading_paused: false,
            unread_since: None,
            queued_for_write: false,
            queued_for_read: false,
        }
    }

    /// Returns whether the connection is between two requests, with nothing to be read, parsed or written.
    pub fn is_idle(&self) -> bool {
        let state = ClientConnectionState {
            is_busy: self.is_busy(),
            has_input: self.has_incomplete_command() || self.queued_for_read,
            closing: self.closing(),
        };
        may_close_client(state).is_ok()
    }

    /// Returns the closing state that [`may_close_client`] checks.
    fn closing(&self) -> ClosingState {
        if self.is_closing() {
            ClosingState::Closing
        } else if self.is_over_limit() {
            ClosingState::OverLimit
        } else {
            ClosingState::Open
        }
    }

    /// Returns whether a reply is owed or not completely written.
    pub fn is_busy(&self) -> bool {
        !self.replies.is_empty() || !self.output.is_empty()
    }

    /// Returns whether the limit on owed or unwritten replies is reached, so that no further command is
    /// parsed.
    pub fn is_backlogged(&self) -> bool {
        let unwritten_bytes = self.replies.ready_bytes() + self.output.unwritten();
        self.replies.len() >= MAX_PENDING_REPLIES
            || unwritten_bytes >= MAX_UNWRITTEN_BYTES
            || self.reply_memory() >= self.max_reply_memory
    }

    /// Returns the memory of the connection's replies, those reserved for pending ones included, in bytes.
    fn reply_memory(&self) -> usize {
        self.replies.memory_size() + self.output.memory_size()
    }

    /// Returns whether a part of a command has arrived, or unparsed commands.
    pub fn has_incomplete_command(&self) -> bool {
        !self.input.is_empty() || !self.read_ahead.is_empty() || self.input_storage.is_discarding()
    }

    /// Returns whether the connection was accepted over the limit, so that its requests are rejected.
    pub fn is_over_limit(&self) -> bool {
        self.service != Service::Available
    }

    /// Returns whether the connection is being closed, so that no further command is accepted.
    pub fn is_closing(&self) -> bool {
        !self.close_state.is_open()
    }

    /// Returns whether the sending side is shut down.
    pub fn is_shut_down(&self) -> bool {
        self.close_state.is_shut_down()
    }

    /// Returns whether input cannot be parsed any longer, so that it is discarded.
    pub fn discards_input(&self) -> bool {
        self.close_state.discards_input()
    }

    /// Returns whether input is read, be it only to discard it.
    pub fn reads_input(&self) -> bool {
        !self.is_closing() || self.discards_input()
    }

    /// Returns whether this connection is being closed so that another one can use its descriptor.
    pub fn yields_descriptor(&self) -> bool {
        self.closing_cause == Some(ClosingCause::DescriptorNeeded)
    }

    /// Returns whether the client has connected so recently that its first command may not have arrived yet. A
    /// close would lose the commands that it sends behind the first one.
    pub fn may_have_first_command_in_transit(&self, now: Instant) -> bool {
        !self.has_sent_command() && now < self.last_active_at + FIRST_COMMAND_TIME
    }

    /// Returns whether the latest reply may not have arrived at the client yet, so that a close could drop it.
    ///
    /// The kernel accepts a reply before the client receives it, and does not report its arrival. A client is
    /// given [`LINGER_TIMEOUT`] for it.
    pub fn may_have_reply_in_transit(&self, now: Instant) -> bool {
        self.has_sent_command() && now < self.last_active_at + LINGER_TIMEOUT
    }

    /// Returns whether a complete command has ever arrived.
    pub fn has_sent_command(&self) -> bool {
        self.replies.was_used()
    }

    /// Returns whether the first command, or the rest of an incomplete one, has not arrived in time.
    pub fn is_command_overdue(&self, now: Instant) -> bool {
        let is_exempt = self.is_closing() || self.is_over_limit() || self.reading_paused;
        let awaits_command =
            if self.has_incomplete_command() { !self.is_backlogged() } else { !self.has_sent_command() };
        now > self.command_started_at + COMMAND_TIMEOUT && !is_exempt && awaits_command
    }

    /// Returns whether the time of `linger_until` has passed.
    pub fn is_linger_over(&self, now: Instant) -> bool {
        self.linger_until.is_some_and(|until| until <= now)
    }

    /// Returns the memory that the buffers use, or that is reserved for them.
    fn memory(&self) -> ConnectionMemory {
        let reserved_input = if self.input_storage.is_reserved() { INPUT_RESERVATION_BYTES } else { 0 };
        let input = self.input.capacity().max(reserved_input) + self.read_ahead.memory_size();
        ConnectionMemory { input, replies: self.reply_memory() }
    }

    /// Updates the memory accounted for the connection to its current size.
    pub fn account_memory(&mut self, budget: &mut MemoryBudget) {
        budget.subtract(self.accounted_memory);
        self.accounted_memory = self.memory();
        budget.add(self.accounted_memory);
    }

    /// Appends received bytes to the input, or discards them after a protocol error.
    pub fn receive(&mut self, bytes: &[u8], now: Instant) {
        if self.discards_input() {
            // Unread bytes would make the kernel reset the connection, and the client would lose its last
            // replies.
            return self.extend_lingering(now);
        }
        if self.input.is_empty() && self.has_sent_command() {
            self.command_started_at = now.max(self.command_started_at);
        }
        extend_in_steps(&mut self.input, bytes);
    }

    /// Records that a complete command arrived.
    pub fn record_command(&mut self, now: Instant) {
        self.last_active_at = now.max(self.last_active_at);
        self.command_started_at = now.max(self.command_started_at);
    }

    /// Records a valid command, which ends a sequence of invalid ones.
    pub fn record_valid_command(&mut self) {
        self.consecutive_errors = 0;
    }

    /// Records that a request was rejected because the connection is over the limit. The connection is shut down
    /// once all commands that were read are answered.
    pub fn record_rejected_request(&mut self) {
        self.service = Service::Rejected;
    }

    /// Records an invalid command. After too many consecutive ones the connection is closed once the reply is
    /// written.
    pub fn record_invalid_command(&mut self) {
        self.consecutive_errors += 1;
        if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS {
            self.start_closing(ClosingCause::InvalidCommands);
        }
    }

    /// Removes the first `len` bytes of the input, which are parsed.
    pub fn consume_input(&mut self, len: usize) {
        self.input.drain(..len);
        if self.input.is_empty() {
            self.input = Vec::new(); // Frees the memory, since many connections are idle.
        }
    }

    /// Removes and returns all received bytes that are not parsed.
    pub fn take_input(&mut self) -> Vec<u8> {
        let mut input = std::mem::take(&mut self.input);
        while let Some(chunk) = self.read_ahead.pop() {
            input.extend_from_slice(&chunk);
        }
        input
    }

    /// Adds the reply to the command that was just parsed.
    pub fn reply_immediately(&mut self, reply: &[u8]) {
        self.replies.push_ready(reply.to_vec(), &mut self.output);
    }

    /// Adds an error reply to the input that was just parsed.
    pub fn reply_error(&mut self, error: ClientError) {
        self.reply_immediately(&error_line(error));
    }

    /// Begins to close the connection: no further command is accepted, and owed replies are still written. The
    /// caller replies to the commands in `input`.
    pub fn start_closing(&mut self, cause: ClosingCause) {
        self.closing_cause.get_or_insert(cause);
        self.close_state.begin(cause);
    }

    /// Returns whether the connection is to be closed and all commands that were read are answered, so that its
    /// sending side can be shut down.
    pub fn is_ready_for_shutdown(&self) -> bool {
        let is_to_be_closed = match self.close_state {
            CloseState::Open => self.service == Service::Rejected && !self.queued_for_read,
            CloseState::Closing(_) => true,
            CloseState::ShutDown(_) => false,
        };
        is_to_be_closed && !self.is_busy() && !self.has_incomplete_command()
    }

    /// Shuts down the sending side of a connection that is being closed, and keeps it open for
    /// [`LINGER_TIMEOUT`]. An incomplete command is dropped. If it were closed at once, input that is still arriving would reset it, and the
    /// client would lose its last replies.
    pub fn start_lingering_close(&mut self, now: Instant) {
        let CloseState::Closing(late_input) = self.close_state else { return };
        let _ = self.stream.shutdown(Shutdown::Write);
        self.close_state = CloseState::ShutDown(late_input);
        self.take_input();
        self.input_storage = InputStorage::Unreserved;
        self.linger_until = Some(now + LINGER_TIMEOUT);
    }

    /// Extends the time for reading the last replies for a client that is still sending, up to
    /// [`MAX_LINGER`].
    fn extend_lingering(&mut self, now: Instant) {
        let latest = self.last_active_at + MAX_LINGER;
        let is_shut_down = self.is_shut_down();
        if let Some(until) = self.linger_until.as_mut().filter(|_| is_shut_down) {
            *until = (now + LINGER_TIMEOUT).min(latest).max(*until);
        }
    }
}

/// Returns the RESP2 error line for an error.
pub fn error_line(error: ClientError) -> Vec<u8> {
    let mut line = Vec::new();
    resp::write_error(&mut line, &error.to_string());
    line
}
