//! The connections of clients: accepts them, parses their commands, and sends each its replies in the order
//! of its requests.
//!
//! Memory, descriptors and time are limited for each connection and for all together, so that no client can
//! exhaust what the others need.

mod accepting;
mod closing;
mod connection;
mod error;
mod memory;
mod output;
mod reading;
mod reply_queue;
mod writing;

use crate::command::{Command, CommandSchema};
use closing::ClientCloseReason;
use connection::ClientConnection;
pub use error::ClientError;
use ingress::{Instant, RequestId};
use memory::MemoryBudget;
use mio::net::{TcpListener, TcpStream};
use mio::Token;
use reading::READ_BUFFER_LEN;
use slab::Slab;
use std::collections::VecDeque;
use std::ops::Range;

/// The reply to a rejected request: retrying it is safe.
pub const BUSY_REPLY: &[u8] = b"-BUSY\r\n";

/// The place of a reply: a connection, and the order on it.
#[derive(Clone, Copy, Debug)]
pub struct ReplyHandle {
    /// The connection's key, which a later connection may reuse.
    key: usize,
    /// The connection's serial number, which is never reused.
    serial: u64,
    /// The request's number on its connection.
    sequence: u64,
}

impl ReplyHandle {
    /// The serial number of the client's connection.
    pub fn client(&self) -> u64 {
        self.serial
    }
}

/// An event on a client's connection.
pub enum ClientEvent {
    /// A request arrived.
    Command {
        /// The id that the request has in this process.
        id: RequestId,
        /// The place of its reply.
        reply_to: ReplyHandle,
        /// The earliest time at which it can have arrived at this machine.
        arrived_at: Instant,
        /// The parsed command.
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
    /// The connection can be accepted, but only to reject its first request.
    OverLimit,
    /// The connection cannot be accepted.
    Exhausted,
}

/// Why accepting connections has ended for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// No further connection is waiting.
    QueueEmpty,
    /// Further connections may be waiting.
    MorePending,
    /// Accepting is to be retried a little later: a descriptor or memory is lacking for a further connection.
    RetryLater,
}

/// Whether an ingress that shuts down still accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepting {
    /// The listener is open, for clients that have not noticed the shutdown.
    Continue,
    /// The listener is closed.
    Stop,
}

/// All client connections.
pub struct Clients {
    /// None once it is closed.
    listener: Option<TcpListener>,
    /// By their keys, which tokens are made from.
    connections: Slab<ClientConnection>,
    /// The serial number of the latest connection.
    last_serial: u64,
    /// The id of the latest request.
    last_request_id: u64,
    /// The token under which a connection is registered, by its key.
    token_of: fn(usize) -> Token,
    /// The classes, plans and limits that commands are checked against.
    schema: CommandSchema,
    /// The bytes of the latest read.
    read_buffer: Vec<u8>,
    /// The places of the latest command's arguments.
    argument_ranges: Vec<Range<usize>>,
    /// Connections with output to write.
    write_queue: Vec<usize>,
    /// Connections whose writes failed for lack of memory, to be retried in the next iteration.
    write_retries: Vec<usize>,
    /// Connections to be read from again without a readiness event.
    read_queue: Vec<usize>,
    /// Connections are closed as soon as they are idle.
    closes_idle: bool,
    /// The number of connections with a time by which they are closed.
    lingering_count: usize,
    /// The number of connections that were accepted over the limit.
    over_limit_count: usize,
    /// The memory of all connections, and its limit.
    memory: MemoryBudget,
    /// The events that were not taken yet, in order.
    events: VecDeque<ClientEvent>,
    /// When the latest connection was accepted.
    pub last_accepted_at: Instant,
    /// An accepted connection whose registration with the poll has failed and is retried.
    unregistered: Option<TcpStream>,
    /// The earliest time at which the input of this iteration can have arrived.
    arrival_time: Instant,
    /// Since when connections may be waiting to be accepted; none if the queue was empty when it was last
    /// read.
    queued_since: Option<Instant>,
    /// Since when every attempt to accept a connection has failed.
    accept_failing_since: Option<Instant>,
    /// The number of closed connections by reason.
    close_counts: [u64; ClientCloseReason::ALL.len()],
    /// Connections that this side has closed with replies owed, each with one request without a reply. Such a
    /// close violates an invariant.
    closed_with_replies_owed: Vec<Option<RequestId>>,
}

impl Clients {
    /// Accepts from a listener that is registered already; `memory_limit` is the most bytes of all
    /// connections together.
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
            write_retries: Vec::new(),
            read_queue: Vec::new(),
            closes_idle: false,
            lingering_count: 0,
            over_limit_count: 0,
            memory: MemoryBudget::new(memory_limit),
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

    /// The events that were not taken yet, in order.
    pub fn pending_events(&self) -> impl Iterator<Item = &ClientEvent> {
        self.events.iter()
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<ClientEvent> {
        self.events.pop_front()
    }

    /// Sets the earliest time at which the input that is read from now on can have arrived.
    pub fn set_arrival_time(&mut self, arrival_time: Instant) {
        self.arrival_time = arrival_time;
    }

    /// Whether there is work that no readiness event will report.
    pub fn has_pending_work(&self) -> bool {
        !(self.read_queue.is_empty() && self.write_queue.is_empty() && self.events.is_empty())
    }

    /// Whether writes are to be retried, which no readiness event will report.
    pub fn has_write_retries(&self) -> bool {
        !self.write_retries.is_empty()
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// How many connections were accepted so far.
    pub fn accepted_count(&self) -> u64 {
        self.last_serial
    }

    /// The number of closed connections by reason; reasons that never occurred are left out.
    pub fn close_counts(&self) -> impl Iterator<Item = (ClientCloseReason, u64)> + '_ {
        let counts = ClientCloseReason::ALL.into_iter().zip(self.close_counts);
        counts.filter(|(_, count)| *count > 0)
    }

    /// Takes the connections that this side has closed with replies owed, each with one request without a
    /// reply.
    pub fn take_closed_with_replies_owed(&mut self) -> Vec<Option<RequestId>> {
        std::mem::take(&mut self.closed_with_replies_owed)
    }

    /// How many connections are idle.
    #[cfg(test)]
    pub fn idle_count(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.is_idle()).count()
    }

    /// The number of connections that were accepted over the limit.
    pub fn over_limit_count(&self) -> usize {
        self.over_limit_count
    }

    /// How many connections await or are being sent a reply.
    pub fn busy_count(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.is_busy()).count()
    }

    /// Schedules a connection's output for the next [`Clients::flush`].
    fn queue_for_write(&mut self, key: usize) {
        if !std::mem::replace(&mut self.connections[key].queued_for_write, true) {
            self.write_queue.push(key);
        }
    }

    /// Schedules a connection for the next [`Clients::resume_reads`].
    fn queue_for_read(&mut self, key: usize) {
        if !std::mem::replace(&mut self.connections[key].queued_for_read, true) {
            self.read_queue.push(key);
        }
    }
}

#[cfg(test)]
mod tests;
