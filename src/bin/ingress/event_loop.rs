//! The event loop: passes input from the sockets to the gateway, executes the gateway's actions in their
//! order, and owns the requests and the timers.
//!
//! It makes no decisions: it chooses no backend, starts no retry, and rejects a request by itself only where
//! a limit is reached. The clock is read once per iteration; the gateway sees it in steps of its tick.

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
mod request_entries;
mod shutdown;
mod source;
mod start;
mod timer_queue;
mod timers;

use crate::backends::BackendConnections;
use crate::clients::Clients;
use crate::discovery::Watch;
use crate::peers::PeerSocket;
use crate::readiness::Readiness;
use crate::reload::Reload;
use arrival_clock::ArrivalClock;
use clock::Clock;
pub use control_events::register_signals;
use counters::Counters;
use descriptor_budget::DescriptorBudget;
pub use error::EventLoopError;
use ingress::audit::Auditor;
use ingress::{Action, Discovery, Duration, Event, Gateway, Instant, StartTimes};
use mio::{Events, Poll};
use request_entries::{AttemptLimits, RequestEntries};
use shutdown::Shutdown;
use signal_hook_mio::v1_0::Signals;
use source::{sort_for_processing, ReadySocket, Source};
use std::collections::VecDeque;
use std::io;
use timer_queue::TimerQueue;

/// The ingress: its sockets, the gateway, the requests and the timers.
pub struct EventLoop {
    /// Reports which sockets are ready.
    poll: Poll,
    /// The exact time, for spans shorter than a tick.
    clock: Clock,
    /// When the input that the poll reported can have arrived.
    arrivals: ArrivalClock,
    /// The time that the gateway sees.
    now: Instant,
    /// The least step of that time.
    tick: Duration,
    /// How the endpoint list is delivered: failed polls are reported to the gateway where a shared service
    /// has it.
    discovery: Discovery,
    /// How long establishing a connection to a backend may take.
    connect_timeout: Duration,
    /// The settings that limit the attempts of a request.
    attempt_limits: AttemptLimits,
    /// Checks the invariants.
    auditor: Auditor,
    /// Numbers of requests and attempts, for the log.
    counters: Counters,
    /// Divides the file descriptors between clients and backends.
    descriptors: DescriptorBudget,
    /// The gateway.
    gateway: Gateway,
    /// Events that the gateway has not handled yet, in order.
    pending_events: VecDeque<Event>,
    /// A reused buffer for the gateway's actions.
    actions: Vec<Action>,
    /// Connections of clients, and the replies owed to them.
    clients: Clients,
    /// Connections to backends.
    backend_connections: BackendConnections,
    /// The watch on the endpoint list.
    watch: Watch,
    /// When the listed backends started.
    start_times: StartTimes,
    /// Reloads the configuration.
    reload: Reload,
    /// The socket for gossip; none where the settings allow no messages between gateways.
    peers: Option<PeerSocket>,
    /// The signals to the process.
    signals: Signals,
    /// The requests in work.
    requests: RequestEntries,
    /// The timers that are set.
    timers: TimerQueue,
    /// More connections may be waiting to be accepted.
    accept_pending: bool,
    /// A timer is set to retry accepting after it has failed.
    accept_retry_scheduled: bool,
    /// More messages of peers may be waiting to be received.
    peer_messages_pending: bool,
    /// The state of the graceful shutdown.
    shutdown: Shutdown,
}

impl EventLoop {
    /// Runs until a signal to stop was received and all requests are answered, or the time for that is over.
    pub fn run(mut self) -> Result<(), EventLoopError> {
        // All ready sockets have to fit into one iteration: a client's disconnect must not be handled after a
        // backend's reply that arrived later.
        let mut events = Events::with_capacity(self.descriptors.max_sockets());
        let mut ready = Vec::new();
        loop {
            self.wait(&mut events)?;
            ready.clear();
            ready.extend(events.iter().map(ReadySocket::from));
            self.process_ready(&mut ready);
            if self.shutdown.has_begun() {
                let drained = self.drain_and_check_finished();
                if drained || self.shutdown.must_exit(self.now) {
                    self.audit_exit();
                    self.log_finished(drained);
                    return Ok(());
                }
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
        // Input within a tick of the last reading is handled at that reading's time: sleeping until the tick
        // is over would delay every request.
        if clock >= self.now + self.tick {
            self.now = clock;
        }
        self.clients.set_arrival_time(self.arrivals.arrived_at().min(self.now));
        Ok(())
    }

    /// How long the poll may wait for a socket, from `called_at` on.
    fn poll_timeout(&self, called_at: Instant) -> Duration {
        if self.accept_pending || self.peer_messages_pending || self.clients.has_pending_work() {
            return Duration::ZERO;
        }
        if self.shutdown.is_past_reply_deadline(self.now) || self.clients.has_write_retries() {
            // The end of the process must not be missed by more than a tick, and no socket reports a write to
            // retry.
            return self.tick;
        }
        let next_timer_at =
            self.timers.next_due_at().unwrap_or(Instant::FAR_FUTURE).min(self.watch.next_timer_at);
        // The gateway's time does not advance before a tick has passed, so no timer can be due before.
        let wake_at = next_timer_at.max(self.now + self.tick);
        wake_at.duration_since(called_at)
    }

    /// Runs one iteration. Discovery is handled first, so that the gateway knows a draining backend before it
    /// sends anything; replies are handled before the timers that would time them out.
    fn process_ready(&mut self, ready: &mut [ReadySocket]) {
        // First of all, so that no other socket or timer begins an attempt for a client that has
        // disconnected.
        for socket in ready.iter().filter(|socket| socket.closed) {
            if let Source::Client(key) = socket.source() {
                self.clients.on_disconnect(key);
            }
        }
        self.report_disconnects();
        sort_for_processing(ready);
        let discovery = ready.first().filter(|socket| socket.source() == Source::Discovery);
        self.poll_discovery(discovery);
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

    /// Reads from, writes to or accepts from one ready socket.
    fn process_socket(&mut self, socket: &ReadySocket) {
        let readiness = socket.readiness;
        match socket.source() {
            Source::Discovery => {} // Was handled first.
            Source::Listener => self.accept_pending = true,
            Source::Signals => self.handle_signals(),
            Source::Peers => self.receive_peer_messages(),
            Source::Backend(key) => {
                if readiness == Readiness::Writable {
                    self.prepare_to_write(key);
                }
                // The exact time: the least idle time of a connection may be less than a tick.
                self.backend_connections.on_ready(key, self.clock.now(), readiness);
                self.record_begun_attempts();
                self.run_gateway();
            }
            Source::Client(key) => {
                self.clients.on_ready(key, self.now, readiness);
                self.process_client_events();
            }
        }
    }

    /// Passes all pending events to the gateway and executes its actions, until no event is left.
    fn run_gateway(&mut self) {
        loop {
            for completion in self.backend_connections.take_completions() {
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
