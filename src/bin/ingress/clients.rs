//! Client connections: accepts them, parses their commands, and sends the replies in the order of the
//! requests.
//!
//! Memory, descriptors and time are limited per connection and over all connections, so that no client can
//! exhaust the resources of the others.

mod accepting;
mod close_reason;
mod close_state;
mod closing;
mod connection;
mod error;
mod expiry;
mod input_storage;
mod limits;
mod memory;
mod output;
mod read_ahead;
mod reading;
mod receiving;
mod reply_queue;
mod writing;

use crate::command::{Command, CommandSchema};
use close_reason::ClientCloseReason;
use connection::ClientConnection;
pub use error::ClientError;
use ingress::{Instant, RequestId};
#[cfg(test)]
pub use limits::LINGER_TIMEOUT;
use limits::READ_BUFFER_BYTES;
pub use memory::ClientMemoryLimits;
use memory::MemoryBudget;
use mio::net::{TcpListener, TcpStream};
use mio::Token;
use slab::Slab;
use std::collections::VecDeque;
use std::ops::Range;

/// Maximum number of connections beyond the budget of descriptors: those that are accepted only to reject
/// their requests, and those that are closed for their descriptor once their last reply has arrived.
pub const MAX_CLIENTS_BEYOND_BUDGET: usize = 8;

/// The reply to a rejected request, which is safe to retry.
pub const BUSY_REPLY: &[u8] = b"-BUSY\r\n";

/// Identifies the reply to a request, by the client's connection and the request's number on it.
#[derive(Clone, Copy, Debug)]
pub struct ReplyHandle {
    /// Key of the connection, which a later connection may reuse.
    key: usize,
    /// Serial number of the connection, which is never reused.
    serial: u64,
    /// Sequence number of the request on its connection.
    sequence: u64,
}

impl ReplyHandle {
    /// Returns the serial number of the client's connection.
    pub fn connection_serial(&self) -> u64 {
        self.serial
    }
}

/// An event on a client's connection.
pub enum ClientEvent {
    /// A request arrived.
    Command {
        /// The id of the request within this process.
        id: RequestId,
        reply_to: ReplyHandle,
        /// The earliest time at which the request can have arrived at this machine.
        arrived_at: Instant,
        command: Command,
    },
    /// The client disconnected before this request was answered.
    Disconnected(RequestId),
}

/// The availability of a descriptor for one more connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Capacity {
    /// The connection can be served.
    Available,
    /// The connection can be accepted, but only to reject its requests.
    OverLimit,
    /// The connection cannot be accepted.
    Exhausted,
}

/// The reason for which a call of [`Clients::accept`] stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// No further connection is waiting.
    QueueEmpty,
    /// Further connections may be waiting.
    MorePending,
    /// Accepting is to be retried after a delay: a descriptor or memory for a further connection is not
    /// available.
    RetryLater,
}

/// The state of the listener during a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepting {
    /// The listener is open, for clients that have not detected the shutdown.
    Continue,
    /// The listener is to be closed.
    Stop,
}

/// All client connections, with their shared limits and queues.
pub struct Clients {
    /// `None` once the listener is closed.
    listener: Option<TcpListener>,
    /// Connections by key, from which `token_of` derives the token.
    connections: Slab<ClientConnection>,
    last_serial: u64,
    last_request_id: u64,
    /// Maps the key of a connection to the token under which it is registered.
    token_of: fn(usize) -> Token,
    schema: CommandSchema,
    /// Buffer for the bytes of a read.
    read_buffer: Vec<u8>,
    /// Ranges of the latest command's arguments.
    argument_ranges: Vec<Range<usize>>,
    /// Keys of the connections with output to write.
    write_queue: Vec<usize>,
    /// Keys of the connections whose writes failed for lack of memory, to be retried in the next iteration.
    write_retries: Vec<usize>,
    /// Keys of the connections to be read from without a readiness event.
    read_queue: Vec<usize>,
    /// Whether connections are closed as soon as they are idle, as during a shutdown.
    closes_idle: bool,
    /// The number of connections with a `linger_until` time.
    lingering_count: usize,
    /// The number of open connections that were accepted over the limit.
    over_limit_count: usize,
    /// The number of connections that are being closed for their descriptors.
    yielding_count: usize,
    memory: MemoryBudget,
    /// Events that the event loop has not taken yet, oldest first.
    events: VecDeque<ClientEvent>,
    /// The time at which the latest connection was accepted.
    pub last_accepted_at: Instant,
    /// An accepted connection whose registration with the poll failed and is to be retried.
    unregistered: Option<TcpStream>,
    /// The earliest time at which the input of this iteration can have arrived.
    arrival_time: Instant,
    /// The time since which connections may be waiting to be accepted, or `None` if the queue was empty when
    /// it was last checked.
    queued_since: Option<Instant>,
    /// The time since which every attempt to accept a connection has failed.
    accept_failing_since: Option<Instant>,
    /// Counts of closed connections, indexed by [`ClientCloseReason`].
    close_counts: [u64; ClientCloseReason::ALL.len()],
    /// Connections that the ingress closed with replies owed or unwritten, which violates an invariant. Each
    /// is represented by its latest unanswered request, or `None` if all its requests were answered.
    closed_with_replies_owed: Vec<Option<RequestId>>,
}

impl Clients {
    /// Creates the state without connections, for a listener that is already registered.
    pub fn new(
        listener: TcpListener,
        schema: CommandSchema,
        memory_limits: ClientMemoryLimits,
        token_of: fn(usize) -> Token,
    ) -> Self {
        Clients {
            listener: Some(listener),
            connections: Slab::new(),
            last_serial: 0,
            last_request_id: 0,
            token_of,
            schema,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            argument_ranges: Vec::new(),
            write_queue: Vec::new(),
            write_retries: Vec::new(),
            read_queue: Vec::new(),
            closes_idle: false,
            lingering_count: 0,
            over_limit_count: 0,
            yielding_count: 0,
            memory: MemoryBudget::new(memory_limits),
            events: VecDeque::new(),
            last_accepted_at: Instant::ZERO,
            unregistered: None,
            arrival_time: Instant::ZERO,
            queued_since: None,
            accept_failing_since: None,
            close_counts: Default::default(),
            closed_with_replies_owed: Vec::new(),
        }
    }

    /// Sets the memory of requests and connections to backends.
    pub fn set_memory_used_by_requests(&mut self, bytes: usize) {
        self.memory.set_used_by_requests(bytes);
    }

    /// Returns whether `bytes` are available.
    pub fn has_memory_for(&self, bytes: usize) -> bool {
        self.memory.has_room_for(bytes)
    }

    /// Returns the events that were not taken yet, oldest first.
    pub fn pending_events(&self) -> impl Iterator<Item = &ClientEvent> {
        self.events.iter()
    }

    /// Removes and returns the oldest event.
    pub fn next_event(&mut self) -> Option<ClientEvent> {
        self.events.pop_front()
    }

    /// Sets the earliest time at which input that is read from now on can have arrived.
    pub fn set_arrival_time(&mut self, arrival_time: Instant) {
        self.arrival_time = arrival_time;
    }

    /// Returns whether there is work that no readiness event will report.
    pub fn has_pending_work(&self) -> bool {
        !(self.read_queue.is_empty() && self.write_queue.is_empty() && self.events.is_empty())
    }

    /// Returns whether writes are to be retried, which no readiness event will report.
    pub fn has_write_retries(&self) -> bool {
        !self.write_retries.is_empty()
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections accepted since the start.
    pub fn accepted_count(&self) -> u64 {
        self.last_serial
    }

    /// Returns the number of closed connections by reason, without reasons that never occurred.
    pub fn close_counts(&self) -> impl Iterator<Item = (ClientCloseReason, u64)> + '_ {
        let counts = ClientCloseReason::ALL.into_iter().zip(self.close_counts);
        counts.filter(|(_, count)| *count > 0)
    }

    /// Removes and returns the connections that the ingress closed with replies owed or unwritten. Each is
    /// represented by its latest unanswered request, or `None` if all its requests were answered.
    pub fn take_closed_with_replies_owed(&mut self) -> Vec<Option<RequestId>> {
        std::mem::take(&mut self.closed_with_replies_owed)
    }

    /// Reads from all connections.
    #[cfg(test)]
    pub fn read_all(&mut self, now: Instant) {
        for key in self.keys() {
            self.read(key, now);
        }
    }

    #[cfg(test)]
    pub fn idle_count(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.is_idle()).count()
    }

    /// Returns the number of open connections that count against the budget of descriptors: all but those that
    /// are being closed for their descriptors.
    pub fn budgeted_count(&self) -> usize {
        self.connections.len() - self.yielding_count
    }

    /// Returns whether fewer than [`MAX_CLIENTS_BEYOND_BUDGET`] connections are beyond the budget.
    pub fn has_capacity_beyond_budget(&self) -> bool {
        self.over_limit_count + self.yielding_count < MAX_CLIENTS_BEYOND_BUDGET
    }

    /// Returns the number of connections that await a reply or are being sent one.
    pub fn busy_count(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.is_busy()).count()
    }

    /// Schedules a write of the connection's output by the next [`Clients::flush`].
    fn queue_for_write(&mut self, key: usize) {
        if !std::mem::replace(&mut self.connections[key].queued_for_write, true) {
            self.write_queue.push(key);
        }
    }

    /// Schedules a read from the connection by the next [`Clients::resume_reads`].
    fn queue_for_read(&mut self, key: usize) {
        if !std::mem::replace(&mut self.connections[key].queued_for_read, true) {
            self.read_queue.push(key);
        }
    }
}

#[cfg(test)]
mod tests;
