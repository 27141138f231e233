//! The event loop: it gives the policy what has come from the sockets, executes the actions that the policy asks for
//! in their order, and owns the open requests and the timers. It decides nothing: it chooses no backend, begins no
//! further attempt, and rejects a request only where a limit leaves no room to ask the policy.
//!
//! Time is read once for all that is handled in an iteration, and shown to the policy in steps of its tick.

mod clock;
mod descriptor_budget;
mod error;
mod request_table;
mod shutdown;
mod source;
mod timer_queue;

use crate::backends::{Assignment, Backends, CommandState, Completion, ConnectionId, Readiness};
use crate::clients::{AcceptOutcome, Accepting, ClientEvent, Clients, ReplyHandle};
use crate::command::Command;
use crate::config::{Config, PeerAddresses};
use crate::discovery::{max_body_bytes, EndpointList, Watch, WatchOptions};
use crate::peers::{Backlog, PeerSocket};
use crate::reload::{Reload, ReloadOutcome};
use crate::resp;
use clock::Clock;
use descriptor_budget::DescriptorBudget;
pub use error::EventLoopError;
use ingress::backoff::Backoff;
use ingress::{
    Action, BackendId, Discovery, EndpointUpdate, Event, Gateway, LoadReport, Micros, Outcome, RequestId,
    Settings,
};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Registry};
use request_table::{Attempt, RequestTable};
use shutdown::{Shutdown, ACCEPTING_CHECK_INTERVAL, MIN_ACCEPTING_TIME};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use source::{ReadySocket, Source};
use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use timer_queue::{Timer, TimerQueue};

/// The ingress: its sockets, the policy, and what is under way.
pub struct EventLoop {
    poll: Poll,
    clock: Clock,
    /// The time that the policy is told.
    now: Micros,
    /// The step in which that time goes on.
    tick: Micros,
    /// Whether the policy has to be told of failed polls of discovery.
    polls_discovery: bool,
    connect_timeout: Micros,
    max_attempts: usize,
    descriptors: DescriptorBudget,
    gateway: Gateway,
    /// What the policy is to be told, in this order.
    pending_events: VecDeque<Event>,
    /// What the policy has asked for; kept for its memory.
    actions: Vec<Action>,
    clients: Clients,
    backends: Backends,
    watch: Watch,
    reload: Reload,
    /// None where the settings allow no messages between gateways.
    peers: Option<PeerSocket>,
    signals: Signals,
    requests: RequestTable,
    timers: TimerQueue,
    /// More connections may wait to be accepted.
    accept_pending: bool,
    /// More messages of peers may wait to be received.
    peer_messages_pending: bool,
    shutdown: Shutdown,
}

impl EventLoop {
    /// Runs until it is told to stop and all that was received is answered, or the time for that is over.
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
                crate::log("shutdown: finished");
                return Ok(());
            }
        }
    }

    /// Waits until a socket is ready or a timer is due, and reads the clock.
    fn wait(&mut self, events: &mut Events) -> Result<(), EventLoopError> {
        let timeout = self.poll_timeout();
        match self.poll.poll(events, Some(timeout)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => {
                return Err(EventLoopError::Poll(error))
            }
            _ => {}
        }
        // What comes within a tick of the last reading is handled with that one. Sleeping for the rest of the tick
        // instead, to handle all of it at once, cost each request two sleeps and 1.7 ms each way.
        let clock = self.clock.now();
        if clock >= self.now + self.tick {
            self.now = clock;
        }
        Ok(())
    }

    fn poll_timeout(&self) -> Duration {
        if self.accept_pending || self.peer_messages_pending || self.clients.has_pending_work() {
            return Duration::ZERO;
        }
        if self.shutdown.is_past_reply_deadline(self.now) {
            // The end is near: it has to be seen within a tick.
            return Duration::from_micros(self.tick);
        }
        let next_timer_at = self.timers.next_due_at().unwrap_or(Micros::MAX).min(self.watch.next_timer_at);
        // No timer is due before the clock is read anew.
        let wake_at = next_timer_at.max(self.now + self.tick);
        Duration::from_micros(wake_at.saturating_sub(self.clock.now()))
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
        ready.sort_unstable_by_key(ReadySocket::processing_order);
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
    }

    fn process_socket(&mut self, socket: &ReadySocket) {
        let &ReadySocket { writable, closed, .. } = socket;
        match socket.source() {
            Source::Discovery => {} // is always the first to be handled
            Source::Listener => self.accept_pending = true,
            Source::Signals => self.handle_signals(),
            Source::Peers => self.receive_peer_messages(),
            Source::Backend(key) => {
                if writable {
                    self.update_remaining_time(key);
                }
                // The exact time: how long a connection has to rest is less than a tick.
                self.backends.on_ready(key, self.clock.now(), Readiness { writable, closed });
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

/// The part of the memory that open requests may take, and as much again for what clients have sent in part or not
/// yet read.
const MEMORY_DIVISOR: usize = 4;

impl EventLoop {
    /// Opens the sockets. From here on clients can connect; they are served once [`EventLoop::run`] runs.
    pub fn start(config: Config, reload: Reload, mut signals: Signals) -> Result<Self, EventLoopError> {
        let poll = Poll::new().map_err(EventLoopError::Poll)?;
        let address = config.listen_address;
        let listener = listen(address, poll.registry(), &mut signals)?;
        let peers = config.peers.map(|addresses| bind_peers(addresses, poll.registry())).transpose()?;
        let clock = Clock::new();
        let now = clock.now();
        let settings = config.settings;
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let watch_options = WatchOptions {
            backoff: discovery_backoff(&settings),
            max_body_bytes: max_body_bytes(config.max_memory),
            seed: config.seed,
            now,
        };
        let memory_share = config.max_memory / MEMORY_DIVISOR;
        let mut event_loop = EventLoop {
            poll,
            clock,
            now,
            tick: settings.tick,
            polls_discovery: settings.discovery == Discovery::Poll,
            connect_timeout: config.connect_timeout,
            max_attempts: settings.limits.max_attempts as usize,
            descriptors: DescriptorBudget::new(config.max_descriptors)?,
            requests: RequestTable::new(settings.limits.max_open_requests as usize, memory_share),
            gateway: Gateway::new(settings, config.seed, now),
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            clients: Clients::new(listener, config.command_schema, memory_share, |key| {
                Source::Client(key).into()
            }),
            backends: Backends::new(config.keepalive_timeout, |key| Source::Backend(key).into()),
            watch: Watch::new(
                config.discovery_address,
                config.location_names,
                config.cached_endpoints.index,
                Source::Discovery.into(),
                watch_options,
            ),
            reload,
            peers,
            signals,
            timers: TimerQueue::default(),
            accept_pending: false,
            peer_messages_pending: false,
            shutdown: Shutdown::new(longest_deadline),
        };
        event_loop.timers.schedule(now + SWEEP_INTERVAL, Timer::Sweep);
        event_loop.apply_endpoints(config.cached_endpoints, EndpointUpdate::CachedSnapshot);
        event_loop.run_policy();
        crate::log(&format!("event_loop: listening, address={address}"));
        Ok(event_loop)
    }
}

/// Opens the socket at which clients connect, and registers it and the signals.
fn listen(
    address: SocketAddr,
    registry: &Registry,
    signals: &mut Signals,
) -> Result<TcpListener, EventLoopError> {
    let mut listener =
        TcpListener::bind(address).map_err(|source| EventLoopError::Listen { address, source })?;
    registry
        .register(&mut listener, Source::Listener.into(), Interest::READABLE)
        .and_then(|()| registry.register(signals, Source::Signals.into(), Interest::READABLE))
        .map_err(EventLoopError::Poll)?;
    Ok(listener)
}

fn bind_peers(addresses: PeerAddresses, registry: &Registry) -> Result<PeerSocket, EventLoopError> {
    let address = addresses.listen_address;
    PeerSocket::bind(addresses, registry, Source::Peers.into())
        .map_err(|source| EventLoopError::BindPeers { address, source })
}

fn discovery_backoff(settings: &Settings) -> Backoff {
    match settings.discovery {
        Discovery::Poll => {
            Backoff::shared_service(settings.rules.max_poll_interval, u64::from(settings.gateway_count))
        }
        Discovery::Push => Backoff::LOCAL_AGENT,
    }
}

/// Sets the handlers of the signals that the event loop handles: SIGTERM and SIGINT begin the graceful shutdown, SIGHUP
/// reloads the configuration.
pub fn register_signals() -> Result<Signals, EventLoopError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(EventLoopError::Signals)
}

impl EventLoop {
    /// Takes in what discovery has sent, if its connection is ready, and keeps its watch going.
    pub(super) fn poll_discovery(&mut self, is_ready: bool) {
        let (now, registry, mut lists) = (self.now, self.poll.registry(), Vec::new());
        let mut failed = is_ready && self.watch.on_ready(now, registry, &mut |list| lists.push(list));
        failed |= self.watch.on_timer(now, registry);
        for list in lists {
            let update = if list.is_snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
            self.apply_endpoints(list, update);
        }
        if failed && self.polls_discovery {
            self.pending_events.push_back(Event::Endpoints(EndpointUpdate::PollFailed, Vec::new()));
        }
        self.run_policy();
    }

    /// Passes an endpoint list on to the connections and to the policy.
    pub(super) fn apply_endpoints(&mut self, list: EndpointList, update: EndpointUpdate) {
        self.backends.update_endpoints(&list);
        if update != EndpointUpdate::Delta || !list.entries.is_empty() {
            let endpoints = list.entries.iter().map(|entry| entry.endpoint).collect();
            self.pending_events.push_back(Event::Endpoints(update, endpoints));
        }
    }

    pub(super) fn receive_peer_messages(&mut self) {
        let events = &mut self.pending_events;
        if let Some(peers) = &mut self.peers {
            let backlog = peers.receive(|from, bytes| events.push_back(Event::PeerMessage { from, bytes }));
            self.peer_messages_pending |= backlog == Backlog::MayHaveMore;
        }
        self.run_policy();
    }

    pub(super) fn handle_signals(&mut self) {
        // All that have come since the last call, several of one kind as one.
        let received: Vec<i32> = self.signals.pending().collect();
        if received.contains(&SIGHUP) {
            self.reload.request();
            self.reload();
        }
        if received.iter().any(|signal| *signal != SIGHUP) {
            self.begin_shutdown();
        }
    }

    /// Reads the configuration again if that is due, and watches discovery at the address that it names.
    pub(super) fn reload(&mut self) {
        match self.reload.attempt(self.now) {
            ReloadOutcome::Applied(discovery) => self.watch.set_address(discovery, self.now),
            ReloadOutcome::RetryAt(retry_at) => self.timers.schedule(retry_at, Timer::RetryReload),
            ReloadOutcome::NotDue => {}
        }
    }

    fn begin_shutdown(&mut self) {
        let Some(reply_deadline) = self.shutdown.begin(self.now) else { return };
        crate::log(&format!("shutdown: started, reply_time_ms={}", (reply_deadline - self.now) / 1000));
        self.timers.schedule(self.now + MIN_ACCEPTING_TIME, Timer::StopAccepting);
        self.timers.schedule(reply_deadline, Timer::ReplyDeadline);
    }
}

/// The reply to a request that was never sent to a backend: trying again is harmless.
pub(super) const BUSY_REPLY: &[u8] = b"-BUSY\r\n";
/// The reply to a request that may have been executed.
pub(super) const FAILED_REPLY: &[u8] = b"-ERR failed\r\n";

/// The longest that a client is taken to wait: the timers of requests long answered must not pile up for hours.
const MAX_CLIENT_TIMEOUT: Micros = 60_000_000;
/// What a reply may take on its way to the client, besides two ticks.
const REPLY_TRANSIT_TIME: Micros = 2_000;
/// The delay before connections are accepted again after there was no descriptor for them.
const ACCEPT_RETRY_DELAY: Micros = 10_000;

impl EventLoop {
    /// Accepts a batch of the connections that wait.
    pub(super) fn accept(&mut self) -> AcceptOutcome {
        let (now, descriptors, backends) = (self.now, &self.descriptors, &mut self.backends);
        let outcome = self.clients.accept(self.poll.registry(), now, |clients| {
            descriptors.capacity_for_client(clients, backends, now)
        });
        match outcome {
            AcceptOutcome::Drained => {}
            AcceptOutcome::MorePending => self.accept_pending = true,
            // The poll reports each arrival once: those that wait now must not wait for the next one to come.
            AcceptOutcome::NoDescriptor => {
                self.timers.schedule(now + ACCEPT_RETRY_DELAY, Timer::RetryAccept);
            }
        }
        self.process_client_events();
        outcome
    }

    /// Tells the policy of all clients that have disconnected before it hears of anything that follows from it: the
    /// place that one request leaves in a queue must not go to another of these clients.
    pub(super) fn report_disconnects(&mut self) {
        for event in self.clients.pending_events() {
            let ClientEvent::Disconnected(id) = event else { continue };
            if self.requests.mark_answered(*id).is_some() {
                self.pending_events.push_back(Event::ClientDisconnected(*id));
            }
        }
    }

    pub(super) fn process_client_events(&mut self) {
        self.report_disconnects();
        while let Some(event) = self.clients.next_event() {
            match event {
                ClientEvent::Command { id, reply_to, command } => self.open_request(id, reply_to, command),
                ClientEvent::Disconnected(id) => {
                    self.cancel_unsent(id);
                    self.requests.remove_if_finished(id, self.now);
                }
            }
            self.run_policy();
        }
    }

    fn open_request(&mut self, id: RequestId, reply_to: ReplyHandle, command: Command) {
        // Backends and clients could not tell two with one id apart, and the first one came in good faith.
        let id_hash = self.requests.hash_id(&command);
        if self.requests.is_known(id_hash) {
            return self.clients.reject(reply_to, "the id is not new");
        }
        // It has not been sent to any backend, so it is safe to answer that it was not executed.
        if self.shutdown.is_past_reply_deadline(self.now) || !self.requests.has_room_for(&command) {
            return self.clients.reply(reply_to, BUSY_REPLY);
        }
        let timeout = command.timeout.min(MAX_CLIENT_TIMEOUT);
        self.timers.schedule(self.now + timeout, Timer::ClientDeadline(id));
        // The policy's deadline is a little before the client's: the reply takes time to arrive.
        let reply_time = (2 * self.tick + REPLY_TRANSIT_TIME).min(timeout / 4);
        let mut request = command.request;
        request.id = id;
        request.deadline = self.now + timeout - reply_time;
        self.requests.insert(id, id_hash, command, reply_to, request.deadline);
        self.pending_events.push_back(Event::Request(request));
    }

    /// Gives a request its final reply, if it has none yet.
    pub(super) fn reply(&mut self, id: RequestId, text: &[u8]) {
        if let Some(reply_to) = self.requests.mark_answered(id) {
            self.clients.reply(reply_to, text);
        }
        self.cancel_unsent(id);
        self.requests.remove_if_finished(id, self.now);
    }

    /// Fails a request that has no final reply when its time is over. The policy should never let it come to this, but
    /// no client is left without a reply.
    pub(super) fn fail_unanswered(&mut self, id: RequestId) {
        if self.requests.is_unanswered(id) {
            self.reply(id, FAILED_REPLY);
            self.pending_events.push_back(Event::ClientDisconnected(id));
        }
    }
}

/// How often idle connections and what else may have expired is looked through.
pub(super) const SWEEP_INTERVAL: Micros = 500_000;
/// Batches of connections that are still accepted when the listener is closed: more than its queue holds.
const MAX_FINAL_ACCEPTS: usize = 64;

impl EventLoop {
    /// Runs the timers that are due; those that they set run in a later iteration.
    pub(super) fn run_due_timers(&mut self) {
        for timer in self.timers.take_due(self.now) {
            self.run_timer(timer);
            self.run_policy();
        }
    }

    fn run_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.pending_events.push_back(Event::Timer(token)),
            Timer::AttemptTimeout(id, number) => self.time_out_attempt(id, number),
            Timer::ClientDeadline(id) => self.fail_unanswered(id),
            Timer::ConnectTimeout(connection) => self.backends.on_connect_timeout(connection),
            Timer::HealthCheckTimeout { connection, backend, started_at } => {
                self.time_out_health_check(connection, backend, started_at);
            }
            Timer::Sweep => self.sweep(),
            Timer::RetryAccept => {
                self.accept();
            }
            Timer::RetryReload => self.reload(),
            Timer::StopAccepting => self.stop_accepting(),
            Timer::ReplyDeadline => {
                self.requests.ids().into_iter().for_each(|id| self.fail_unanswered(id));
            }
        }
    }

    fn sweep(&mut self) {
        self.backends.sweep(self.now);
        self.clients.close_expired(self.now);
        self.requests.forget_ended_ids(self.now);
        self.timers.schedule(self.now + SWEEP_INTERVAL, Timer::Sweep);
    }

    /// Closes the listener unless clients still connect.
    fn stop_accepting(&mut self) {
        let mut accepted = self.accept();
        if self.shutdown.keeps_accepting(self.now, accepted, self.clients.last_accepted_at) {
            self.clients.drain(self.now, Accepting::Continue);
            self.timers.schedule(self.now + ACCEPTING_CHECK_INTERVAL, Timer::StopAccepting);
        } else {
            // Connections that wait in the listener's queue would be reset with it, and their requests lost.
            for _ in 0..MAX_FINAL_ACCEPTS {
                if accepted == AcceptOutcome::Drained {
                    break;
                }
                accepted = self.accept();
            }
            self.clients.drain(self.now, Accepting::Stop);
            self.shutdown.start_draining(self.now);
        }
        self.process_client_events();
    }

    /// Whether all that has been received is answered, and no client is left that may send more.
    pub(super) fn can_exit(&mut self) -> bool {
        if !self.is_drained() {
            return false;
        }
        // What clients have sent by now counts as received, though it has not been read: it is answered before the end.
        self.clients.read_all(self.now);
        self.process_client_events();
        self.clients.flush(self.now);
        self.process_client_events();
        self.is_drained()
    }

    fn is_drained(&self) -> bool {
        self.shutdown.is_draining()
            && !self.requests.any_unanswered()
            && !self.clients.has_pending_work()
            && self.shutdown.is_drained(self.now, &self.clients)
    }
}

/// The most bytes of a reply that tells when to try again.
const MAX_BUSY_REPLY_BYTES: usize = 40;

impl EventLoop {
    /// Executes one action.
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, backend, expires_at } => self.send(id, backend, expires_at),
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail(id) => self.reply(id, FAILED_REPLY),
            Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt, |_| Outcome::Cancelled),
            Action::SetTimer { delay, token } => {
                self.timers.schedule(self.now.saturating_add(delay), Timer::Policy(token));
            }
            Action::SendToPeer { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            Action::CheckHealth(backend) => self.check_health(backend),
            Action::CloseIdleConnections(backend) => self.backends.close_idle(backend),
            // The watch is always on: an ingress has to keep one in any case.
            Action::WatchEndpoints(_) => {}
            Action::FetchEndpoints => self.watch.request_snapshot(),
            // There is no shared counter here: nothing was added.
            Action::IncrementCounter { name, .. } => {
                let (outcome, total) = (Outcome::ConnectFailed, 0.0);
                self.pending_events.push_back(Event::CounterUpdated { name, outcome, total });
            }
            Action::Log(line) => crate::log(&line),
        }
    }

    fn reject(&mut self, id: RequestId, retry_after: Micros) {
        if retry_after == 0 {
            return self.reply(id, BUSY_REPLY);
        }
        let mut text = [0; MAX_BUSY_REPLY_BYTES];
        let mut unused = &mut text[..];
        let _ = write!(unused, "-BUSY {}\r\n", retry_after.div_ceil(1000));
        let length = MAX_BUSY_REPLY_BYTES - unused.len();
        self.reply(id, &text[..length]);
    }
}

/// An attempt, as the policy is told of it.
#[derive(Clone, Copy)]
struct AttemptRecord {
    id: RequestId,
    number: u16,
    backend: BackendId,
    elapsed: Micros,
}

impl AttemptRecord {
    /// The event of its end; `answered` says that the request has its final reply.
    fn ended(self, outcome: Outcome, answered: bool, load_report: Option<LoadReport>) -> Event {
        Event::AttemptEnded {
            id: self.id,
            attempt: self.number,
            backend: self.backend,
            outcome,
            answered,
            elapsed: self.elapsed,
            metered: None,
            charged_units: None,
            load_report,
        }
    }
}

/// What it means that no reply came in time: only a backend that has the whole command may have executed it.
fn timeout_outcome(command: CommandState) -> Outcome {
    match command {
        CommandState::Sent => Outcome::TimedOut,
        CommandState::Unsent => Outcome::ConnectFailed,
    }
}

impl EventLoop {
    /// Begins an attempt, if the request still wants one and there is time and a connection for it.
    pub(super) fn send(&mut self, id: RequestId, backend: BackendId, expires_at: Micros) {
        let mut record = AttemptRecord { id, number: 0, backend, elapsed: 0 };
        let Some(request) = self.requests.get_mut(id) else {
            // It has ended and been removed: there is no attempt to count.
            return self.pending_events.push_back(record.ended(Outcome::NotSent, true, None));
        };
        let index = request.attempts.len();
        record.number = u16::try_from(index).unwrap_or(u16::MAX);
        let expires_at = if expires_at == 0 { request.deadline } else { expires_at.min(request.deadline) };
        request.attempts.push(Attempt { backend, started_at: self.now, expires_at, connection: None });
        if request.answered || expires_at <= self.now || index >= self.max_attempts {
            let event = record.ended(Outcome::NotSent, request.answered, None);
            return self.pending_events.push_back(event);
        }
        if !self.reserve_descriptor(backend) {
            let event = record.ended(Outcome::ConnectFailed, false, None);
            return self.pending_events.push_back(event);
        }
        self.assign_last_attempt(id, record.number);
    }

    /// Writes the command of a request's last attempt to a connection.
    fn assign_last_attempt(&mut self, id: RequestId, number: u16) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let (command, Some(attempt)) = (&request.command, request.attempts.last_mut()) else { return };
        let (backend, expires_at) = (attempt.backend, attempt.expires_at);
        let remaining = expires_at - self.now;
        // An attempt's time is measured by the exact clock: one that is answered within a tick would otherwise have
        // taken no time at all.
        let started_at = self.clock.now();
        attempt.started_at = started_at;
        let assignment = Assignment::Attempt { id, attempt: number };
        let assigned =
            self.backends.assign(self.poll.registry(), backend, assignment, started_at, |buffer| {
                command.encode(remaining, buffer)
            });
        let Some(assigned) = assigned else { return };
        attempt.connection = Some(assigned.connection);
        self.timers.schedule(expires_at, Timer::AttemptTimeout(id, number));
        if assigned.command == CommandState::Unsent {
            let connect_by = self.now + self.connect_timeout;
            self.timers.schedule(connect_by, Timer::ConnectTimeout(assigned.connection));
        }
    }

    /// Whether there is a descriptor for work at a backend, if need be after closing an idle connection.
    fn reserve_descriptor(&mut self, backend: BackendId) -> bool {
        !self.backends.needs_connection(backend, self.clock.now())
            || self.descriptors.reserve_for_backend(&mut self.clients, &mut self.backends, self.now)
    }

    /// Begins a health check.
    pub(super) fn check_health(&mut self, backend: BackendId) {
        if !self.reserve_descriptor(backend) {
            return self.report_health_check(backend, Outcome::ConnectFailed, 0, None);
        }
        let (registry, now) = (self.poll.registry(), self.now);
        let assigned = self.backends.assign(registry, backend, Assignment::HealthCheck, now, |buffer| {
            resp::write_array_header(buffer, 2);
            resp::write_bulk_string(buffer, &[b"INFO"]);
            resp::write_bulk_string(buffer, &[b"load"]);
        });
        if let Some(assigned) = assigned {
            let connection = assigned.connection;
            let timer = Timer::HealthCheckTimeout { connection, backend, started_at: now };
            self.timers.schedule(now + self.connect_timeout, timer);
        }
    }

    fn report_health_check(
        &mut self,
        backend: BackendId,
        outcome: Outcome,
        elapsed: Micros,
        load_report: Option<LoadReport>,
    ) {
        self.pending_events.push_back(Event::HealthCheckEnded { backend, outcome, elapsed, load_report });
    }

    /// Takes in how an attempt or a health check has ended.
    pub(super) fn complete(&mut self, completion: Completion) {
        let Completion { assignment, backend, outcome, started_at, load_report, value } = completion;
        let elapsed = self.clock.now().saturating_sub(started_at);
        let (id, number) = match assignment {
            Assignment::Attempt { id, attempt } => (id, attempt),
            Assignment::HealthCheck => {
                return self.report_health_check(backend, outcome, elapsed, load_report);
            }
        };
        let Some(request) = self.requests.get_mut(id) else { return };
        if let Some(attempt) = request.attempts.get_mut(usize::from(number)) {
            attempt.connection = None;
        }
        if outcome == Outcome::Ok {
            self.reply(id, &value); // the first one is the final reply
        }
        let answered = !self.requests.is_unanswered(id);
        let record = AttemptRecord { id, number, backend, elapsed };
        self.pending_events.push_back(record.ended(outcome, answered, load_report));
        self.requests.remove_if_finished(id, self.now);
    }

    /// Gives up an attempt that has taken too long.
    pub(super) fn time_out_attempt(&mut self, id: RequestId, number: u16) {
        self.cancel_attempt(id, number, timeout_outcome);
    }

    /// Gives up a health check that has taken too long.
    pub(super) fn time_out_health_check(
        &mut self,
        connection: ConnectionId,
        backend: BackendId,
        started_at: Micros,
    ) {
        if let Some(command) = self.backends.cancel(connection) {
            self.report_health_check(backend, timeout_outcome(command), self.now - started_at, None);
        }
    }

    /// Ends an attempt that is in flight; its outcome may depend on how much of the command was sent.
    pub(super) fn cancel_attempt(
        &mut self,
        id: RequestId,
        number: u16,
        outcome: impl Fn(CommandState) -> Outcome,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.get_mut(usize::from(number)) else { return };
        let cancelled = attempt.connection.and_then(|connection| self.backends.cancel(connection));
        let Some(command) = cancelled else { return };
        attempt.connection = None;
        let elapsed = self.clock.now().saturating_sub(attempt.started_at);
        let record = AttemptRecord { id, number, backend: attempt.backend, elapsed };
        self.pending_events.push_back(record.ended(outcome(command), request.answered, None));
        self.requests.remove_if_finished(id, self.now);
    }

    /// Ends the attempts of an answered request whose commands are not sent yet, even where the settings allow no
    /// cancellation: a backend that never got the command has nothing to cancel.
    pub(super) fn cancel_unsent(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.answered) else { return };
        for (number, attempt) in (0u16..).zip(&mut request.attempts) {
            let unsent = attempt.connection.filter(|connection| self.backends.is_unsent(*connection));
            let Some(connection) = unsent else { continue };
            self.backends.cancel(connection);
            attempt.connection = None;
            let elapsed = self.clock.now().saturating_sub(attempt.started_at);
            let record = AttemptRecord { id, number, backend: attempt.backend, elapsed };
            self.pending_events.push_back(record.ended(Outcome::NotSent, true, None));
        }
    }

    /// Writes the command on a connection anew, if nothing of it is sent yet: the remaining time that it states was true
    /// when the connection was begun, which may be as long ago as the connect timeout.
    pub(super) fn update_remaining_time(&mut self, key: usize) {
        let Some(Assignment::Attempt { id, attempt }) = self.backends.not_yet_written(key) else { return };
        let Some(request) = self.requests.get(id) else { return };
        let Some(attempt) = request.attempts.get(usize::from(attempt)) else { return };
        let remaining = attempt.expires_at.saturating_sub(self.clock.now());
        self.backends.rewrite_command(key, |buffer| request.command.encode(remaining, buffer));
    }
}

#[cfg(test)]
mod tests;
