//! The event loop: it gives the policy what has come from the sockets, executes the actions that the policy asks for
//! in their order, and owns the open requests and the timers. It decides nothing: it chooses no backend, begins no
//! further attempt, and rejects a request only where a limit leaves no room to ask the policy.
//!
//! Time is read once for all that is handled in an iteration, and shown to the policy in steps of its tick.

mod actions;
mod arrival_clock;
mod attempts;
mod auditing;
mod client_events;
mod clock;
mod control_events;
mod counters;
mod descriptor_budget;
mod error;
mod request_table;
mod shutdown;
mod source;
mod start;
mod timer_queue;
mod timers;

use crate::backends::Backends;
use crate::clients::Clients;
use crate::discovery::Watch;
use crate::peers::PeerSocket;
use crate::reload::Reload;
use arrival_clock::ArrivalClock;
use clock::Clock;
pub use control_events::register_signals;
use counters::Counters;
use descriptor_budget::DescriptorBudget;
pub use error::EventLoopError;
use ingress::audit::Auditor;
use ingress::{Action, Duration, Event, Gateway, Instant, StartTimes};
use mio::{Events, Poll};
use request_table::RequestTable;
use shutdown::Shutdown;
use signal_hook_mio::v1_0::Signals;
use source::{sort_for_processing, ReadySocket, Source};
use std::collections::VecDeque;
use std::io;
use timer_queue::TimerQueue;

/// The ingress: its sockets, the policy, and what is under way.
pub struct EventLoop {
    /// Tells which sockets are ready.
    poll: Poll,
    /// The exact time, for what is shorter than a tick.
    clock: Clock,
    /// When what the poll reported can have arrived.
    arrivals: ArrivalClock,
    /// The time that the policy is given.
    now: Instant,
    /// The step in which that time goes on.
    tick: Duration,
    /// Whether failed polls of discovery are reported to the policy.
    polls_discovery: bool,
    /// How long a connection to a backend may take to come up, and a health check in all.
    connect_timeout: Duration,
    /// Checks what was done.
    auditor: Auditor,
    /// What was done, in numbers.
    counters: Counters,
    /// Who may have the next file descriptor.
    descriptors: DescriptorBudget,
    /// The policy.
    gateway: Gateway,
    /// The events that the policy has not handled yet, in their order.
    pending_events: VecDeque<Event>,
    /// A buffer for the actions that the policy asks for.
    actions: Vec<Action>,
    /// Connections of clients, and the replies owed to them.
    clients: Clients,
    /// Connections to backends.
    backends: Backends,
    /// The watch on the endpoint list.
    watch: Watch,
    /// When the listed backends started.
    start_times: StartTimes,
    /// When the configuration is read again.
    reload: Reload,
    /// None where the settings allow no messages between gateways.
    peers: Option<PeerSocket>,
    /// SIGTERM, SIGINT and SIGHUP as they come.
    signals: Signals,
    /// Requests that are open on the network side.
    requests: RequestTable,
    /// What is to be done at which time.
    timers: TimerQueue,
    /// More connections may wait to be accepted.
    accept_pending: bool,
    /// A timer is set to accept connections again after that has failed.
    accept_retry_scheduled: bool,
    /// More messages of peers may wait to be received.
    peer_messages_pending: bool,
    /// How far the graceful shutdown has come.
    shutdown: Shutdown,
}

impl EventLoop {
    /// Runs until a signal to stop has come and all that was received is answered, or the time for that is over.
    pub fn run(mut self) -> Result<(), EventLoopError> {
        // All that is ready has to come in one iteration: a client's disconnect must not be seen after the reply of a
        // backend that came later.
        let mut events = Events::with_capacity(self.descriptors.max_sockets());
        let mut ready = Vec::new();
        loop {
            self.wait(&mut events)?;
            ready.clear();
            ready.extend(events.iter().map(ReadySocket::from));
            self.process_ready(&mut ready);
            if self.shutdown.has_begun() && (self.can_exit() || self.shutdown.must_exit(self.now)) {
                self.audit_exit();
                tracing::info!(target: "shutdown", "finished");
                return Ok(());
            }
        }
    }

    /// Waits until a socket is ready or a timer is due, and reads the clock.
    fn wait(&mut self, events: &mut Events) -> Result<(), EventLoopError> {
        let called_at = self.clock.now();
        let timeout = self.poll_timeout(called_at);
        let result = self.poll.poll(events, Some(std::time::Duration::from_micros(timeout.as_micros())));
        let clock = self.clock.now();
        match result {
            Ok(()) => self.arrivals.poll_returned(called_at, timeout, clock),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => self.arrivals.poll_interrupted(),
            Err(error) => return Err(EventLoopError::Poll(error)),
        }
        // What comes within a tick of the last reading is handled with that one. Sleeping for the rest of the tick
        // instead, to handle all of it at once, cost each request two sleeps and 1.7 ms each way.
        if clock >= self.now + self.tick {
            self.now = clock;
        }
        self.clients.set_arrival_time(self.arrivals.arrived_at().min(self.now));
        Ok(())
    }

    /// How long the poll may wait for a socket, from a time on.
    fn poll_timeout(&self, called_at: Instant) -> Duration {
        if self.accept_pending || self.peer_messages_pending || self.clients.has_pending_work() {
            return Duration::ZERO;
        }
        if self.shutdown.is_past_reply_deadline(self.now) || self.clients.has_write_retries() {
            // The end is near and has to be seen within a tick, or a write is to be tried again.
            return self.tick;
        }
        let next_timer_at =
            self.timers.next_due_at().unwrap_or(Instant::FAR_FUTURE).min(self.watch.next_timer_at);
        // No timer is due before the clock is read anew.
        let wake_at = next_timer_at.max(self.now + self.tick);
        wake_at.duration_since(called_at)
    }

    /// One iteration. Discovery comes first, so that the policy knows of a draining backend before it sends anything;
    /// replies come before the timers that would call them missing.
    fn process_ready(&mut self, ready: &mut [ReadySocket]) {
        // Before all else: nothing that is ready or due may begin an attempt for a client that has disconnected.
        for socket in ready.iter().filter(|socket| socket.closed) {
            if let Source::Client(key) = socket.source() {
                self.clients.on_disconnect(key);
            }
        }
        self.report_disconnects();
        sort_for_processing(ready);
        self.poll_discovery(ready.first().is_some_and(|socket| socket.source() == Source::Discovery));
        if std::mem::take(&mut self.peer_messages_pending) {
            self.receive_peer_messages();
        }
        self.clients.resume_reads(self.now);
        self.process_client_events();
        for socket in ready.iter() {
            self.process_socket(socket);
        }
        if std::mem::take(&mut self.accept_pending) {
            self.accept();
        }
        self.run_due_timers();
        self.clients.flush(self.now);
        self.process_client_events();
        self.audit_closed_clients();
    }

    /// Does what one socket is ready for.
    fn process_socket(&mut self, socket: &ReadySocket) {
        let writable = socket.writable;
        match socket.source() {
            Source::Discovery => {} // is always the first to be handled
            Source::Listener => self.accept_pending = true,
            Source::Signals => self.handle_signals(),
            Source::Peers => self.receive_peer_messages(),
            Source::Backend(key) => {
                if writable {
                    self.prepare_to_write(key);
                }
                // The exact time: how long a connection has to rest is less than a tick.
                self.backends.on_ready(key, self.clock.now(), writable);
                self.audit_begun_attempts();
                self.run_policy();
            }
            Source::Client(key) => {
                self.clients.on_ready(key, self.now, writable);
                self.process_client_events();
            }
        }
    }

    /// Gives the policy all pending events and executes what it asks for, until neither brings anything new.
    fn run_policy(&mut self) {
        loop {
            for completion in self.backends.take_completions() {
                self.complete(completion);
            }
            let Some(event) = self.pending_events.pop_front() else { return };
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(self.now, event, &mut actions);
            actions.drain(..).for_each(|action| self.execute(action));
            self.actions = actions;
        }
    }
}

#[cfg(test)]
mod tests;
