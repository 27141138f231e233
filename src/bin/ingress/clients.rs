//! The clients' side of the ingress: accepts connections, parses their commands, and sends each connection its
//! replies in the order of its requests.
//!
//! Nothing about requests is decided here. Connections are bounded, one by one and all together, in the memory, the
//! descriptors and the time that they take, so that no client can use up what the others need.

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
use closing::CloseReason;
use connection::Connection;
pub use error::ClientError;
use ingress::{Instant, RequestId};
use memory::MemoryBudget;
use mio::net::{TcpListener, TcpStream};
use mio::Token;
use reading::READ_BUFFER_LEN;
use slab::Slab;
use std::collections::VecDeque;
use std::ops::Range;

/// The reply to a request that was not executed: trying again is harmless.
pub const BUSY_REPLY: &[u8] = b"-BUSY\r\n";

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
        /// When it arrived at this machine, at the earliest.
        arrived_at: Instant,
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
    /// Connections whose writes found no memory, to be written to again a little later.
    write_retries: Vec<usize>,
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
    pub last_accepted_at: Instant,
    /// A connection that was accepted and could not be registered with the poll yet.
    unregistered: Option<TcpStream>,
    /// When what is read now has arrived, at the earliest.
    arrival_time: Instant,
    /// Since when connections may wait to be accepted; none while the queue was last found empty.
    queued_since: Option<Instant>,
    /// Since when every attempt to accept a connection has failed.
    accept_failing_since: Option<Instant>,
    /// How many connections were closed, by reason.
    close_counts: [u64; CloseReason::ALL.len()],
    /// Connections that were closed by this side with replies owed, each with one request that had none. There should be
    /// none.
    abandoned: Vec<Option<RequestId>>,
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
            write_retries: Vec::new(),
            read_queue: Vec::new(),
            draining: false,
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
            abandoned: Vec::new(),
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

    /// Sets when what is read from now on has arrived, at the earliest.
    pub fn set_arrival_time(&mut self, arrival_time: Instant) {
        self.arrival_time = arrival_time;
    }

    /// Whether there is something to do before any socket shows as ready.
    pub fn has_pending_work(&self) -> bool {
        !(self.read_queue.is_empty() && self.write_queue.is_empty() && self.events.is_empty())
    }

    /// Whether writes are to be tried again, of which the poll does not tell.
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

    /// How many connections were closed so far, by reason; reasons that never occurred are left out.
    pub fn close_counts(&self) -> impl Iterator<Item = (CloseReason, u64)> + '_ {
        let counts = CloseReason::ALL.into_iter().zip(self.close_counts);
        counts.filter(|(_, count)| *count > 0)
    }

    /// Takes the connections that were closed by this side with replies owed.
    pub fn take_abandoned(&mut self) -> Vec<Option<RequestId>> {
        std::mem::take(&mut self.abandoned)
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

#[cfg(test)]
mod tests;
