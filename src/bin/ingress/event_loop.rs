//! The event loop: passes input from the sockets to the gateway, executes the gateway's actions in order, and
//! owns the requests and the timers.
//!
//! The event loop makes no decisions: it chooses no backend and starts no retry, and it rejects a request
//! itself only where a limit is reached. The clock is read once per iteration, and the gateway's time
//! advances by at least a tick.

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

/// The running ingress: its sockets, gateway, requests and timers.
pub struct EventLoop {
    poll: Poll,
    /// The exact time, for durations shorter than a tick.
    clock: Clock,
    /// Estimates the arrival time of the input that the poll reports.
    arrivals: ArrivalClock,
    /// The gateway's time, which advances by at least a tick.
    now: Instant,
    /// The minimum step of `now`.
    tick: Duration,
    /// The source of the endpoint list. Failed polls are reported to the gateway only for a shared service.
    discovery: Discovery,
    /// Maximum time for establishing a connection to a backend.
    connect_timeout: Duration,
    attempt_limits: AttemptLimits,
    /// Checks the invariants of requests, attempts and connections.
    auditor: Auditor,
    counters: Counters,
    descriptors: DescriptorBudget,
    gateway: Gateway,
    /// Events that the gateway has not handled yet, oldest first.
    pending_events: VecDeque<Event>,
    /// Buffer for the gateway's actions, reused between events.
    actions: Vec<Action>,
    clients: Clients,
    backend_connections: BackendConnections,
    /// Receives the endpoint list from discovery.
    watch: Watch,
    /// The start times of the listed backends.
    start_times: StartTimes,
    reload: Reload,
    /// The socket for gossip, or `None` if the settings disable messages between gateways.
    peers: Option<PeerSocket>,
    signals: Signals,
    /// Requests that are open or have attempts in flight.
    requests: RequestEntries,
    timers: TimerQueue,
    /// Whether more connections may be waiting to be accepted.
    accept_pending: bool,
    /// Whether a timer is set to retry accepting after a failure.
    accept_retry_scheduled: bool,
    /// Whether more messages of peers may be waiting to be received.
    peer_messages_pending: bool,
    shutdown: Shutdown,
}

impl EventLoop {
    /// Runs until a signal to shut down is received and all requests are answered, or the time for the
    /// shutdown is over.
    pub fn run(mut self) -> Result<(), EventLoopError> {
        // One iteration has to report all ready sockets. Otherwise a client's disconnect could be handled
        // after a backend's reply that arrived later.
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
        // Input that arrives within a tick of `now` is handled at `now`: sleeping until the tick is over
        // would delay every request.
        if clock >= self.now + self.tick {
            self.now = clock;
        }
        self.clients.set_arrival_time(self.arrivals.arrived_at().min(self.now));
        Ok(())
    }

    /// Returns the maximum time that the poll may wait for a socket, from `called_at` on.
    fn poll_timeout(&self, called_at: Instant) -> Duration {
        if self.accept_pending || self.peer_messages_pending || self.clients.has_pending_work() {
            return Duration::ZERO;
        }
        if self.shutdown.is_past_reply_deadline(self.now) || self.clients.has_write_retries() {
            // The process must exit at most a tick late, and no readiness event follows a write that failed
            // for lack of memory.
            return self.tick;
        }
        let next_timer_at =
            self.timers.next_due_at().unwrap_or(Instant::FAR_FUTURE).min(self.watch.next_timer_at);
        let next_check_at = self.shutdown.next_exit_check_at(self.now);
        // The gateway's time does not advance before a tick has passed, so no timer can be due earlier.
        let wake_at = next_timer_at.min(next_check_at).max(self.now + self.tick);
        wake_at.duration_since(called_at)
    }

    /// Runs one iteration: handles disconnects of clients, discovery, the other sockets, and then the timers.
    ///
    /// Discovery precedes the other sockets, so that the gateway handles the draining of a backend before it
    /// sends an attempt. Replies are handled before the timers that would time out their attempts.
    fn process_ready(&mut self, ready: &mut [ReadySocket]) {
        // Disconnects are handled first, so that no other socket or timer begins an attempt for a
        // disconnected client.
        for socket in ready.iter().filter(|socket| socket.closed) {
            if let Source::Client(key) = socket.source() {
                self.clients.on_disconnect(key);
            }
        }
        self.report_disconnects();
        self.update_memory_used();
        sort_for_processing(ready);
        let discovery = ready.first().filter(|socket| socket.source() == Source::Discovery);
        self.process_discovery(discovery);
        if std::mem::take(&mut self.peer_messages_pending) {
            self.receive_peer_messages();
        }
        self.resume_client_reads();
        for socket in ready.iter() {
            self.process_socket(socket);
        }
        if std::mem::take(&mut self.accept_pending) {
            self.accept();
        }
        self.run_due_timers();
        self.remove_outdated_timers();
        self.clients.flush(self.now);
        self.process_client_events();
        self.audit_closed_clients();
    }

    /// Reads from, writes to or accepts from a ready socket.
    fn process_socket(&mut self, socket: &ReadySocket) {
        let readiness = socket.readiness;
        match socket.source() {
            Source::Discovery => {} // Already handled by `process_discovery`.
            Source::Listener => self.accept_pending = true,
            Source::Signals => self.handle_signals(),
            Source::Peers => self.receive_peer_messages(),
            Source::Backend(key) => {
                if readiness == Readiness::Writable {
                    self.prepare_to_write(key);
                }
                // The exact time, since the minimum idle time of a connection may be less than a tick.
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

    /// Records completed exchanges, passes all pending events to the gateway and executes its actions, until
    /// no event is left.
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
