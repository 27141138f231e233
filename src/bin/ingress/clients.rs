//! The clients' side of the ingress: accepts connections, parses their commands, and sends each connection its
//! replies in the order of its requests.
//!
//! Nothing about requests is decided here. Connections are bounded, one by one and all together, in the memory, the
//! descriptors and the time that they take, so that no client can use up what the others need.

use crate::command::{Command, CommandError, CommandSchema};
use crate::resp::{self, ProtocolError};
use ingress::{Micros, RequestId};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::ops::Range;
use thiserror::Error;

/// Where a reply belongs.
#[derive(Clone, Copy, Debug)]
pub struct ReplyHandle {
    /// The connection's key, which a later connection may have again.
    key: usize,
    /// The connection's serial number, which none has again.
    serial: u64,
    /// The request's place in the order of the connection's requests.
    sequence: u64,
}

/// What happened on a connection.
pub enum ClientEvent {
    /// A request arrived.
    Command {
        /// The id that the request has in this process.
        id: RequestId,
        /// Where its reply belongs.
        reply_to: ReplyHandle,
        /// What the client sent.
        command: Command,
    },
    /// The client disconnected before this request had its reply.
    Disconnected(RequestId),
}

/// Whether there is a descriptor for one more connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Capacity {
    /// The connection can be served.
    Available,
    /// The connection can only be told that the ingress is busy.
    OverLimit,
    /// The connection cannot even be accepted.
    Exhausted,
}

/// What ended the accepting of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// No further connection is waiting.
    Drained,
    /// Further connections may be waiting.
    MorePending,
    /// There is no descriptor for a further connection.
    NoDescriptor,
}

/// Whether a draining ingress still accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepting {
    /// Clients that have not noticed the shutdown may still connect.
    Continue,
    /// The listening port is closed.
    Stop,
}

/// All client connections.
pub struct Clients {
    /// `None` once the listening port is closed.
    listener: Option<TcpListener>,
    /// By their keys, which tokens are made from.
    connections: Slab<Connection>,
    /// The serial number of the latest connection.
    last_serial: u64,
    /// The id of the latest request.
    last_request_id: u64,
    /// The token under which a connection is registered, by its key.
    token_of: fn(usize) -> Token,
    /// What commands are checked against.
    schema: CommandSchema,
    /// What the last read brought.
    read_buffer: Vec<u8>,
    /// Where the arguments of the last command are.
    argument_ranges: Vec<Range<usize>>,
    /// Connections with something to write.
    write_queue: Vec<usize>,
    /// Connections to be read from again though their sockets do not show as ready.
    read_queue: Vec<usize>,
    /// Connections are closed as soon as they are idle.
    draining: bool,
    /// How many connections have an end to their lingering.
    lingering_count: usize,
    /// How many connections were accepted only to be told that the ingress is busy.
    over_limit_count: usize,
    /// What all connections hold in memory, and may hold.
    memory: MemoryBudget,
    /// What was not taken yet, in order.
    events: VecDeque<ClientEvent>,
    /// When the latest connection was accepted.
    pub last_accepted_at: Micros,
}

impl Clients {
    /// Starts from a listener that is registered already; `memory_limit` is what all connections may take together.
    pub fn new(
        listener: TcpListener,
        schema: CommandSchema,
        memory_limit: usize,
        token_of: fn(usize) -> Token,
    ) -> Self {
        Clients {
            listener: Some(listener),
            connections: Slab::new(),
            last_serial: 0,
            last_request_id: 0,
            token_of,
            schema,
            read_buffer: vec![0; READ_BUFFER_LEN],
            argument_ranges: Vec::new(),
            write_queue: Vec::new(),
            read_queue: Vec::new(),
            draining: false,
            lingering_count: 0,
            over_limit_count: 0,
            memory: MemoryBudget::new(memory_limit),
            events: VecDeque::new(),
            last_accepted_at: 0,
        }
    }

    /// The events that were not taken yet, in order.
    pub fn pending_events(&self) -> impl Iterator<Item = &ClientEvent> {
        self.events.iter()
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<ClientEvent> {
        self.events.pop_front()
    }

    /// Whether there is something to do before any socket shows as ready.
    pub fn has_pending_work(&self) -> bool {
        !(self.read_queue.is_empty() && self.write_queue.is_empty() && self.events.is_empty())
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// How many connections are idle.
    #[cfg(test)]
    pub fn idle_count(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.is_idle()).count()
    }

    /// How many connections were accepted only to be told that the ingress is busy.
    pub fn over_limit_count(&self) -> usize {
        self.over_limit_count
    }

    /// How many connections await or are being sent a reply.
    pub fn busy_count(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.is_busy()).count()
    }

    /// Has a connection's output written with the next [`Clients::flush`].
    fn queue_for_write(&mut self, key: usize) {
        if !std::mem::replace(&mut self.connections[key].queued_for_write, true) {
            self.write_queue.push(key);
        }
    }

    /// Has a connection read from with the next [`Clients::resume_reads`].
    fn queue_for_read(&mut self, key: usize) {
        if !std::mem::replace(&mut self.connections[key].queued_for_read, true) {
            self.read_queue.push(key);
        }
    }
}

/// Why a command is rejected, or a connection closed; clients are sent the text.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ClientError {
    /// What the client sent is not RESP2.
    #[error("protocol error: {0}")]
    Protocol(ProtocolError),
    /// The command is none that the ingress knows.
    #[error("unknown command")]
    UnknownCommand,
    /// The command's arguments are not acceptable.
    #[error(transparent)]
    InvalidCommand(CommandError),
    /// A request with the same id is in flight or has just ended.
    #[error("the id is not new")]
    DuplicateRequestId,
    /// Client connections hold all the memory that they may, and this one the most.
    #[error("no memory for the rest of a command")]
    OutOfMemory,
    /// A command was begun and not completed.
    #[error("the rest of a command did not come in time")]
    CommandTimeout,
}

/// The place of a reply.
enum ReplySlot {
    /// The request is not replied to yet.
    Pending(RequestId),
    /// The reply waits for those before it.
    Ready(Vec<u8>),
}

/// The replies that a connection is owed from its oldest pending request on.
#[derive(Default)]
pub struct ReplyQueue {
    /// The places of the replies, in the order of their requests.
    slots: VecDeque<ReplySlot>,
    /// The sequence number of the first slot: how many replies have left the queue.
    first_sequence: u64,
    /// The bytes of all replies that are ready.
    ready_bytes: usize,
}

impl ReplyQueue {
    /// Whether no reply is owed.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// How many replies are owed.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// The bytes of the replies that wait for those before them.
    pub fn ready_bytes(&self) -> usize {
        self.ready_bytes
    }

    /// Whether any reply was ever owed.
    pub fn was_used(&self) -> bool {
        self.first_sequence > 0 || !self.slots.is_empty()
    }

    /// Adds the place of a request's reply and returns its sequence number.
    pub fn push_pending(&mut self, id: RequestId) -> u64 {
        let sequence = self.first_sequence + self.slots.len() as u64;
        self.slots.push_back(ReplySlot::Pending(id));
        sequence
    }

    /// Adds a reply that is known at once.
    pub fn push_ready(&mut self, reply: &[u8], out: &mut Vec<u8>) {
        if self.slots.is_empty() {
            out.extend_from_slice(reply);
            self.first_sequence += 1;
        } else {
            self.ready_bytes += reply.len();
            self.slots.push_back(ReplySlot::Ready(reply.to_vec()));
        }
    }

    /// Fills in the reply at a sequence number and moves all replies that are no longer held up to `out`; false if
    /// the reply has left the queue before.
    pub fn complete(&mut self, sequence: u64, reply: &[u8], out: &mut Vec<u8>) -> bool {
        let Some(index) = sequence.checked_sub(self.first_sequence) else { return false };
        let index = index as usize;
        if index == 0 && matches!(self.slots.front(), Some(ReplySlot::Pending(_))) {
            self.slots.pop_front();
            self.first_sequence += 1;
            out.extend_from_slice(reply);
        } else if let Some(slot) = self.slots.get_mut(index) {
            *slot = ReplySlot::Ready(reply.to_vec());
            self.ready_bytes += reply.len();
        }
        self.release_ready(out);
        true
    }

    /// Moves the replies before the oldest pending request to `out`.
    fn release_ready(&mut self, out: &mut Vec<u8>) {
        while let Some(ReplySlot::Ready(reply)) = self.slots.front() {
            out.extend_from_slice(reply);
            self.ready_bytes -= reply.len();
            self.first_sequence += 1;
            self.slots.pop_front();
        }
    }

    /// The requests that are not replied to, the latest first.
    pub fn pending_latest_first(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.slots.iter().rev().filter_map(|slot| match slot {
            ReplySlot::Pending(id) => Some(*id),
            ReplySlot::Ready(_) => None,
        })
    }
}

/// What an idle connection may keep of its buffer.
const IDLE_CAPACITY: usize = 2 * 1024;
/// How long a client may accept nothing of its replies until its connection is closed.
pub const WRITE_TIMEOUT: Micros = 15_000_000;

/// Bytes that are still to be written to a connection.
#[derive(Default)]
pub struct OutputBuffer {
    /// The bytes, those already written among them until all are.
    pub bytes: Vec<u8>,
    /// How many of the bytes are written.
    written: usize,
    /// Since when the client accepts nothing.
    blocked_since: Option<Micros>,
}

impl OutputBuffer {
    /// Whether all is written and cleared.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// How many bytes are not written yet.
    pub fn unwritten(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Whether the client accepts nothing at present.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since.is_some()
    }

    /// Whether the client has accepted nothing for too long.
    pub fn is_timed_out(&self, now: Micros) -> bool {
        self.blocked_since.is_some_and(|since| now > since + WRITE_TIMEOUT)
    }

    /// Writes as much as the client accepts; an error means that the connection is broken.
    pub fn write_to(&mut self, stream: &mut TcpStream, now: Micros) -> io::Result<()> {
        while self.unwritten() > 0 {
            match stream.write(&self.bytes[self.written..]) {
                Ok(written) => {
                    self.written += written;
                    self.blocked_since = None;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.blocked_since = self.blocked_since.or(Some(now));
                    break;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Forgets what is written and gives most of its memory back.
    pub fn clear(&mut self) {
        self.written = 0;
        self.bytes.clear();
        self.bytes.shrink_to(IDLE_CAPACITY);
    }
}

/// The most replies that a connection may be owed until no more is read from it. As many clients as there are
/// descriptors, sending and never reading, must fit in the memory.
const MAX_PENDING_REPLIES: usize = 256;
/// The most bytes of replies that a connection may leave unread until no more is read from it.
const MAX_UNREAD_BYTES: usize = 64 * 1024;
/// Errors in a row after which a connection is closed: each costs a reply, and some clients never give up.
const MAX_CONSECUTIVE_ERRORS: u32 = 8;
/// How long a new connection may send nothing, and how long an incomplete command may stay incomplete.
pub const COMMAND_TIMEOUT: Micros = 2_000_000;
/// How long a client may take to read its last replies, counted anew whenever it sends more.
pub const LINGER_TIMEOUT: Micros = 1_000_000;
/// How long a client that keeps sending may take to read its last replies.
const MAX_LINGER: Micros = 5_000_000;

/// How far a connection is on the way to its end.
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
    pub last_active_at: Micros,
    /// When the incomplete command in `input` began to arrive; without one, as long as no command ever came, when the
    /// connection was accepted.
    command_started_at: Micros,
    /// Rejected commands since the last valid one.
    consecutive_errors: u32,
    /// How far its end has come.
    close_state: CloseState,
    /// When it is closed though the client has not ended it. One over the limit has this from the start.
    pub linger_until: Option<Micros>,
    /// It was accepted only to be told with its first request that the ingress is busy.
    pub over_limit: bool,
    /// Nothing is read since too many replies are owed or unread.
    pub reading_paused: bool,
    /// It is in the queue of connections to be written to.
    pub queued_for_write: bool,
    /// It is in the queue of connections to be read from.
    pub queued_for_read: bool,
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream, serial: u64, capacity: Capacity, now: Micros) -> Self {
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
            queued_for_write: false,
            queued_for_read: false,
        }
    }

    /// Whether it is between two requests, with nothing under way in either direction.
    pub fn is_idle(&self) -> bool {
        !self.is_busy() && self.input.is_empty() && !self.is_closing() && !self.over_limit
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
    pub fn is_command_overdue(&self, now: Micros) -> bool {
        let is_exempt = self.is_closing() || self.over_limit || self.reading_paused;
        let awaits_command =
            if self.input.is_empty() { !self.has_sent_command() } else { !self.is_backlogged() };
        now > self.command_started_at + COMMAND_TIMEOUT && !is_exempt && awaits_command
    }

    /// Whether its time for lingering is over.
    pub fn is_linger_over(&self, now: Micros) -> bool {
        self.linger_until.is_some_and(|until| until <= now)
    }

    /// The memory that it holds.
    pub fn memory_held(&self) -> usize {
        self.input.capacity() + self.replies.ready_bytes() + self.output.bytes.capacity()
    }

    /// Takes in bytes that arrived.
    pub fn receive(&mut self, bytes: &[u8], now: Micros) {
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
    pub fn record_command(&mut self, now: Micros) {
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
    pub fn start_lingering_close(&mut self, now: Micros) {
        let _ = self.stream.shutdown(Shutdown::Write);
        self.close_state = CloseState::ShutDown;
        self.linger_until = Some(now + LINGER_TIMEOUT);
    }

    /// Gives a client that still sends more time to notice the end.
    fn extend_lingering(&mut self, now: Micros) {
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

/// How much memory connections hold, and how much they may.
pub struct MemoryBudget {
    /// Bytes held by all connections together.
    used: usize,
    /// Bytes that they may hold.
    limit: usize,
}

impl MemoryBudget {
    /// Nothing is used yet.
    pub fn new(limit: usize) -> Self {
        MemoryBudget { used: 0, limit }
    }

    /// Brings what is accounted for a connection up to date.
    pub fn account(&mut self, connection: &mut Connection) {
        let held = connection.memory_held();
        self.used = self.used - connection.accounted_memory + held;
        connection.accounted_memory = held;
    }

    /// Gives back what is accounted for a connection that is removed.
    pub fn release(&mut self, connection: &Connection) {
        self.used -= connection.accounted_memory;
    }

    /// Whether connections hold more than they may.
    fn is_exceeded(&self) -> bool {
        self.used > self.limit
    }
}

impl Clients {
    /// Accounts for what a connection holds. The limits of single connections do not bound all of them together:
    /// beyond the common limit, the connection with the longest incomplete command is told so and closed, or the one
    /// with the most unread replies. Replies that were not written yet are not the client's fault and are sent
    /// within the turn.
    pub(super) fn enforce_memory_limit(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        self.memory.account(connection);
        while self.memory.is_exceeded() {
            let closable = self.connections.iter_mut().filter(|(_, connection)| connection.is_client_late());
            let largest = closable.max_by_key(|(_, connection)| connection.accounted_memory);
            let Some((key, connection)) = largest else { return };
            if connection.input.is_empty() {
                self.remove(key);
                continue;
            }
            connection.abort_command(ClientError::OutOfMemory);
            self.memory.account(connection);
            self.queue_for_write(key);
        }
    }
}

/// The most connections accepted in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;

impl Clients {
    /// Accepts waiting connections for as long as `capacity` finds a descriptor for one more.
    pub fn accept(
        &mut self,
        registry: &Registry,
        now: Micros,
        mut capacity: impl FnMut(&mut Self) -> Capacity,
    ) -> AcceptOutcome {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let capacity = capacity(self);
            if capacity == Capacity::Exhausted {
                return AcceptOutcome::NoDescriptor;
            }
            let Some(listener) = &self.listener else { return AcceptOutcome::Drained };
            match listener.accept() {
                Ok((stream, _)) => self.add(stream, registry, capacity, now),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return AcceptOutcome::Drained,
                // The connection ended before it was accepted.
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                // Out of descriptors or memory in spite of the limits: closing an idle connection may help.
                Err(_) if self.close_longest_idle(now) => {}
                Err(_) => return AcceptOutcome::NoDescriptor,
            }
        }
        AcceptOutcome::MorePending
    }

    /// Registers an accepted connection.
    fn add(&mut self, mut stream: TcpStream, registry: &Registry, capacity: Capacity, now: Micros) {
        let entry = self.connections.vacant_entry();
        let token = (self.token_of)(entry.key());
        if registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_err() {
            return;
        }
        let _ = stream.set_nodelay(true); // A reply is one write: there is nothing to wait for.
        self.last_serial += 1;
        self.last_accepted_at = now;
        let connection = Connection::new(stream, self.last_serial, capacity, now);
        self.lingering_count += usize::from(connection.linger_until.is_some());
        self.over_limit_count += usize::from(connection.over_limit);
        entry.insert(connection);
    }
}

/// The most bytes read at once.
pub const READ_BUFFER_LEN: usize = 16 * 1024;
/// The most reads from one connection in a turn: a fast client must not hold up the others.
const MAX_READS_PER_TURN: usize = 4;

/// When a connection has been read from enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadUntil {
    /// A read did not fill the buffer: there was no more, and the poll will tell of what comes later.
    ShortRead,
    /// A read found nothing, or the end of the connection.
    WouldBlock,
}

/// Whether a connection may be read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Intake {
    /// Further commands can be taken in.
    Open,
    /// Too many replies are owed or unread.
    Paused,
}

impl Clients {
    /// Handles a connection whose socket shows as ready.
    pub fn on_ready(&mut self, key: usize, now: Micros, writable: bool) {
        let Some(connection) = self.connections.get(key) else { return };
        if writable && !connection.output.is_empty() {
            self.queue_for_write(key);
        }
        self.read(key, now, ReadUntil::ShortRead);
    }

    /// Handles a connection that the client has closed or half-closed: the client has gone, and what it sent is not
    /// looked at any more.
    pub fn on_disconnect(&mut self, key: usize) {
        if self.connections.contains(key) {
            self.remove(key);
        }
    }

    /// Reads on from connections that were not read to the end.
    pub fn resume_reads(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.read_queue) {
            if let Some(connection) = self.connections.get_mut(key) {
                connection.queued_for_read = false;
                self.read(key, now, ReadUntil::WouldBlock);
            }
        }
    }

    /// Reads from all connections, whether or not their sockets showed as ready.
    pub fn read_all(&mut self, now: Micros) {
        let keys: Vec<usize> = self.connections.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.read(key, now, ReadUntil::WouldBlock));
    }

    /// Reads from a connection and accounts for the memory that this takes.
    pub(super) fn read(&mut self, key: usize, now: Micros, until: ReadUntil) {
        if self.connections.contains(key) {
            self.read_and_parse(key, now, until);
            self.enforce_memory_limit(key);
        }
    }

    /// Reads from a connection and parses its commands, within the bound of a turn.
    fn read_and_parse(&mut self, key: usize, now: Micros, until: ReadUntil) {
        for _ in 0..MAX_READS_PER_TURN {
            if self.parse_commands(key, now) == Intake::Paused {
                self.connections[key].reading_paused = true;
                return;
            }
            let connection = &mut self.connections[key];
            let received = match connection.stream.read(&mut self.read_buffer) {
                Ok(0) => return self.remove(key),
                Ok(received) => received,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.remove(key),
            };
            connection.receive(&self.read_buffer[..received], now);
            if received < READ_BUFFER_LEN && until == ReadUntil::ShortRead {
                if !connection.is_closing() {
                    self.parse_and_update_pause(key, now);
                }
                return;
            }
        }
        if self.parse_and_update_pause(key, now) == Intake::Open {
            self.queue_for_read(key);
        }
    }

    /// Parses a connection's commands and notes whether its reading is paused.
    fn parse_and_update_pause(&mut self, key: usize, now: Micros) -> Intake {
        let intake = self.parse_commands(key, now);
        self.connections[key].reading_paused = intake == Intake::Paused;
        intake
    }

    /// Parses the complete commands that a connection has sent.
    fn parse_commands(&mut self, key: usize, now: Micros) -> Intake {
        let mut parsed = 0;
        loop {
            let connection = &mut self.connections[key];
            if connection.is_closing() {
                parsed = connection.input.len(); // What follows the last command that gets a reply is discarded.
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
                    connection.start_closing();
                    self.reply_error(key, ClientError::Protocol(error));
                }
            }
        }
        let connection = &mut self.connections[key];
        connection.consume_input(parsed);
        if connection.is_backlogged() {
            Intake::Paused
        } else {
            Intake::Open
        }
    }

    /// Handles the command that was last parsed, at this place in the connection's input.
    fn handle_command(&mut self, key: usize, position: Range<usize>, now: Micros) {
        let connection = &mut self.connections[key];
        connection.record_command(now);
        let bytes = &connection.input[position];
        match Command::parse(bytes, &self.argument_ranges, &self.schema) {
            Some(Ok(_)) if connection.over_limit => {
                connection.start_closing();
                self.reply_immediately(key, b"-BUSY\r\n");
            }
            Some(Ok(command)) => self.accept_command(key, command),
            Some(Err(error)) => self.reject_command(key, ClientError::InvalidCommand(error)),
            None if bytes[self.argument_ranges[0].clone()].eq_ignore_ascii_case(b"PING") => {
                connection.record_valid_command();
                self.reply_immediately(key, b"+PONG\r\n");
            }
            None => self.reject_command(key, ClientError::UnknownCommand),
        }
    }

    /// Passes a request on.
    fn accept_command(&mut self, key: usize, command: Command) {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let connection = &mut self.connections[key];
        connection.record_valid_command();
        let sequence = connection.replies.push_pending(id);
        let reply_to = ReplyHandle { key, serial: connection.serial, sequence };
        self.events.push_back(ClientEvent::Command { id, reply_to, command });
    }

    /// Replies with an error to a command that is not acceptable.
    fn reject_command(&mut self, key: usize, error: ClientError) {
        self.connections[key].record_protocol_error();
        self.reply_error(key, error);
    }

    /// Replies with an error to what was just parsed.
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

impl Clients {
    /// Replies with an error to a request that is not acceptable; a connection may have a few of them in a row.
    pub fn reject(&mut self, reply_to: ReplyHandle, error: ClientError) {
        let connection = self.connections.get_mut(reply_to.key);
        if let Some(connection) = connection.filter(|connection| connection.serial == reply_to.serial) {
            connection.record_protocol_error();
        }
        self.reply(reply_to, &error_line(error));
    }

    /// Gives a request its final reply, a whole RESP2 value.
    pub fn reply(&mut self, reply_to: ReplyHandle, reply: &[u8]) {
        let connection = self.connections.get_mut(reply_to.key);
        let Some(connection) = connection.filter(|connection| connection.serial == reply_to.serial) else {
            return;
        };
        if connection.replies.complete(reply_to.sequence, reply, &mut connection.output.bytes) {
            self.memory.account(connection);
            self.queue_for_write(reply_to.key);
        }
    }

    /// Writes what there is to write: one write for all replies that a connection got in a turn.
    pub fn flush(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.write_queue) {
            let Some(connection) = self.connections.get_mut(key) else { continue };
            connection.queued_for_write = false;
            if connection.output.write_to(&mut connection.stream, now).is_err() {
                self.remove(key);
                continue;
            }
            if connection.output.unwritten() == 0 {
                connection.last_active_at = now.max(connection.last_active_at);
                connection.output.clear();
                self.memory.account(connection);
            }
            // Commands that were held back by the backlog of replies are taken up again.
            if connection.reading_paused && !connection.is_backlogged() {
                connection.reading_paused = false;
                self.queue_for_read(key);
            }
            self.close_if_done(key, now);
        }
    }
}

impl Clients {
    /// Closes the connection that has been idle for longest, to free its descriptor; false if none is idle.
    pub fn close_longest_idle(&mut self, now: Micros) -> bool {
        loop {
            let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
            // Those that never sent a command go first, except those of this very turn: descriptors are freed before
            // it is known whether anybody waits for one, and what the latest client sends may still be on its way.
            // Many fall idle at one clock: of these the one accepted first goes.
            let order = |connection: &Connection| {
                let is_spared = connection.has_sent_command() || connection.last_active_at >= now;
                (is_spared, connection.last_active_at, connection.serial)
            };
            let longest = idle.min_by_key(|(_, connection)| order(connection));
            let Some((key, idle_since)) = longest.map(|(key, connection)| (key, connection.last_active_at))
            else {
                return false;
            };
            self.close_if_silent(key, idle_since);
            if !self.connections.contains(key) {
                return true;
            }
        }
    }

    /// Closes connections as soon as they are idle, from now on. While connections are still accepted, those that
    /// have not sent a command yet are kept.
    pub fn drain(&mut self, now: Micros, accepting: Accepting) {
        self.draining = true;
        if accepting == Accepting::Stop {
            self.listener = None;
        }
        let closable = self.keys_of(|connection| {
            connection.is_idle() && (connection.has_sent_command() || accepting == Accepting::Stop)
        });
        closable.into_iter().for_each(|key| self.close_if_silent(key, now));
    }

    /// Closes connections whose clients take too long to send, to read, or to end.
    pub fn close_expired(&mut self, now: Micros) {
        self.close_late_clients(now);
        if self.lingering_count == 0 {
            return;
        }
        for key in self.keys_of(|connection| connection.is_linger_over(now)) {
            // A client over the limit may have sent its request by now: once it is told so, the next call closes it.
            self.read(key, now, ReadUntil::WouldBlock);
            let connection = self.connections.get(key);
            if connection.is_some_and(|connection| connection.is_shut_down() || connection.output.is_empty())
            {
                self.remove(key);
            }
        }
    }

    /// Closes connections that send nothing, leave a command incomplete or read nothing for too long: they hold
    /// descriptors and memory.
    fn close_late_clients(&mut self, now: Micros) {
        let overdue = self.keys_of(|connection| connection.is_command_overdue(now));
        let not_reading = self.keys_of(|connection| connection.output.is_timed_out(now));
        not_reading.into_iter().for_each(|key| self.remove(key));
        for key in overdue {
            // The rest may have arrived by now.
            self.read(key, now, ReadUntil::WouldBlock);
            let connection = self.connections.get_mut(key);
            let Some(connection) = connection.filter(|connection| connection.is_command_overdue(now)) else {
                continue;
            };
            if connection.input.is_empty() {
                self.close_if_silent(key, now);
                continue;
            }
            connection.abort_command(ClientError::CommandTimeout);
            self.queue_for_write(key);
        }
    }

    /// Moves a connection on to its end if nothing is left to be written.
    pub(super) fn close_if_done(&mut self, key: usize, now: Micros) {
        let connection = &mut self.connections[key];
        if connection.is_ready_for_shutdown() {
            self.lingering_count += usize::from(connection.linger_until.is_none());
            connection.start_lingering_close(now);
        } else if self.draining && connection.is_idle() {
            self.close_if_silent(key, now);
        }
    }

    /// Closes an idle connection unless a command has arrived on it that was not read yet.
    fn close_if_silent(&mut self, key: usize, now: Micros) {
        self.read(key, now, ReadUntil::WouldBlock);
        if self.connections.get(key).is_some_and(Connection::is_idle) {
            self.remove(key);
        }
    }

    /// Closes and forgets a connection, and reports its requests that have no reply yet.
    pub(super) fn remove(&mut self, key: usize) {
        let connection = self.connections.remove(key); // Dropping it closes the socket and ends its polling.
        self.lingering_count -= usize::from(connection.linger_until.is_some());
        self.over_limit_count -= usize::from(connection.over_limit);
        self.memory.release(&connection);
        // The latest first: a request that waits in a queue must not be started in the place of an earlier one, only
        // to be cancelled.
        let pending = connection.replies.pending_latest_first();
        let disconnected: Vec<ClientEvent> = pending.map(ClientEvent::Disconnected).collect();
        if !disconnected.is_empty() {
            // Commands that were not taken yet need not be started.
            self.events.retain(|event| {
                !matches!(event, ClientEvent::Command { reply_to, .. } if reply_to.serial == connection.serial)
            });
            self.events.extend(disconnected);
        }
    }

    /// The keys of the connections that are `selected`.
    fn keys_of(&self, selected: impl Fn(&Connection) -> bool) -> Vec<usize> {
        let connections = self.connections.iter().filter(|(_, connection)| selected(connection));
        connections.map(|(key, _)| key).collect()
    }
}

#[cfg(test)]
mod tests;
