//! The loop. It feeds the module what the sockets brought, carries out what the module asks for in that order,
//! and owns the open requests and the timers. It decides nothing: no backend, no further attempt, no refusal but
//! where a limit of the settings leaves no room to ask the module.

mod clock;
mod error;
mod source;
mod timer_queue;

use crate::backends::{Assignment, Backends, CommandState, Completion, ConnectionId, Readiness};
use crate::clients::{AcceptOutcome, Accepting, Capacity, ClientEvent, Clients, ReplyHandle};
use crate::command::Command;
use crate::config::Config;
use crate::discovery::{max_body_bytes, EndpointList, Watch, WatchOptions};
use crate::peers::{Backlog, PeerSocket};
use crate::reload::{Reload, ReloadOutcome};
use crate::resp;
use clock::Clock;
pub use error::EventLoopError;
use ingress::backoff::Backoff;
use ingress::{
    Action, BackendId, Discovery, EndpointUpdate, Event, Gateway, Limits, Micros, Outcome, RequestId,
};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use source::{ReadySocket, Source};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::BuildHasher;
use std::io;
use std::io::Write;
use std::time::Duration;
use timer_queue::{Timer, TimerQueue};

/// Descriptors that are neither clients nor backends: standard streams, poll, listener, signals, discovery,
/// peers, and some to spare for what is opened before another is closed.
const RESERVED_DESCRIPTORS: usize = 20;
/// Clients that are taken in beyond the budget, only to be told so.
const MAX_OVER_LIMIT_CLIENTS: usize = 8;
/// The most of the budget that the clients, or the backends, may have to themselves, in eighths.
const MAX_SHARE_EIGHTHS: usize = 6;
/// The part of the memory that open requests may take, and what clients have half said or not yet read.
const MEMORY_DIVISOR: usize = 4;
/// How long connections are still accepted once told to stop: new ones come for up to 0.4 s, and from those who have
/// not heard of it for longer. Then for as long as the latest is no older than this, and how often that is looked at.
const MIN_ACCEPTING_TIME: Micros = 500_000;
const ACCEPTING_QUIET_TIME: Micros = 300_000;
const ACCEPTING_CHECK_INTERVAL: Micros = 100_000;
/// Turns' worths of connections that are still accepted when the port is closed: more than a line holds.
const MAX_FINAL_ACCEPTS: usize = 64;
/// How long after that a client that says nothing whole is still waited for.
const DRAINING_IDLE_CLIENT_TIME: Micros = 1_000_000;
/// How long after it is told to stop the last of its requests have failed, besides their longest deadline or this
/// much of it: SIGKILL may come 0.7 s after that.
const REPLY_MARGIN: Micros = 400_000;
const MAX_REPLY_DEADLINE: Micros = 3_000_000;
/// How long behind the last answers it ends whoever still speaks: SIGKILL may come 0.3 s behind them.
const EXIT_MARGIN: Micros = 150_000;
/// How long an ingress told to stop waits, all in all, for clients to read their answers.
const MAX_DRAINING_TIME: Micros = 2_000_000;
/// The longest that a client is waited with: the timers of requests long answered must not pile up for hours.
const MAX_CLIENT_TIMEOUT: Micros = 60_000_000;
/// How long after its end the id of a request is still known: one that is new each time does not come again.
const ENDED_ID_RETENTION: Micros = 1_000_000;
/// Time between looks at what has been idle for long.
const SWEEP_INTERVAL: Micros = 500_000;
/// Time until accepting is tried again after there was no descriptor for it.
const ACCEPT_RETRY_DELAY: Micros = 10_000;
/// What an answer may take on its way to the client, besides two ticks.
const REPLY_TRANSIT_TIME: Micros = 2_000;

struct Attempt {
    backend: BackendId,
    began: Micros,
    /// When it is given up.
    until: Micros,
    /// Its connection, while it is out.
    link: Option<ConnectionId>,
}

struct OpenRequest {
    call: Command,
    /// A hash of its id.
    name: u64,
    origin: ReplyHandle,
    deadline: Micros,
    attempts: Vec<Attempt>,
    /// It has its final answer, or its client has gone.
    over: bool,
}

impl OpenRequest {
    fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.link.is_some())
    }
}

/// The ingress.
pub struct EventLoop {
    poll: Poll,
    clock: Clock,
    now: Micros,
    tick: Micros,
    limits: Limits,
    polls_discovery: bool,
    connect_timeout: Micros,
    max_connections: usize,
    max_request_memory: usize,
    gateway: Gateway,
    pending_events: VecDeque<Event>,
    actions: Vec<Action>,
    clients: Clients,
    backends: Backends,
    watch: Watch,
    reload: Reload,
    peers: Option<PeerSocket>,
    signals: Signals,
    requests: HashMap<RequestId, OpenRequest>,
    /// Hashes of the ids of the open requests, and of those that ended a short while ago; their keys are drawn
    /// anew at each start.
    known_id_hashes: HashSet<u64>,
    ended_ids: VecDeque<(Micros, u64)>,
    hasher: RandomState,
    /// The memory of the open requests.
    request_memory: usize,
    timers: TimerQueue,
    accept_pending: bool,
    peer_messages_pending: bool,
    /// How long it serves once told to stop.
    reply_time: Micros,
    /// When it is over with all, once told to stop.
    reply_deadline: Micros,
    /// Told to stop, and when the connections were begun to be closed.
    shutting_down: bool,
    draining_since: Option<Micros>,
}

fn attempt_ended(
    id: RequestId,
    attempt: u16,
    a: (BackendId, Micros),
    outcome: Outcome,
    complete: bool,
    now: Micros,
) -> Event {
    let (backend, took) = (a.0, now.saturating_sub(a.1));
    Event::AttemptEnded {
        id,
        attempt,
        backend,
        outcome,
        answered: complete,
        elapsed: took,
        metered: None,
        charged_units: None,
        load_report: None,
    }
}

/// How many descriptors the system allows this process; none where it does not say.
fn system_descriptor_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    limits.lines().find_map(|l| l.strip_prefix("Max open files"))?.split_whitespace().next()?.parse().ok()
}

/// Sets the handlers of the signals that the event loop handles: SIGTERM and SIGINT begin the graceful shutdown, SIGHUP
/// reloads the configuration.
pub fn register_signals() -> Result<Signals, EventLoopError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(EventLoopError::Signals)
}

impl EventLoop {
    /// Opens the sockets. From here on clients may come; they are served once [`EventLoop::run`] runs.
    pub fn start(config: Config, reload: Reload, mut signals: Signals) -> Result<Self, EventLoopError> {
        let poll = Poll::new().map_err(EventLoopError::Poll)?;
        let registry = poll.registry();
        let address = config.listen_address;
        let mut listener =
            TcpListener::bind(address).map_err(|source| EventLoopError::Listen { address, source })?;
        let registered = registry
            .register(&mut listener, Source::Listener.into(), Interest::READABLE)
            .and_then(|()| registry.register(&mut signals, Source::Signals.into(), Interest::READABLE));
        registered.map_err(EventLoopError::Poll)?;
        let peers = config.peers.map(|addresses| {
            let address = addresses.listen_address;
            PeerSocket::bind(addresses, registry, Source::Peers.into())
                .map_err(|source| EventLoopError::BindPeers { address, source })
        });
        let peers = peers.transpose()?;
        let clock = Clock::new();
        let now = clock.now();
        let settings = config.settings;
        let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        // The system may allow fewer than the configuration: where no descriptor is left, connecting fails at once.
        let allowed = config.max_descriptors.min(system_descriptor_limit().unwrap_or(usize::MAX));
        let backoff = match settings.discovery {
            Discovery::Poll => {
                Backoff::shared_service(settings.rules.max_poll_interval, u64::from(settings.gateway_count))
            }
            Discovery::Push => Backoff::LOCAL_AGENT,
        };
        let watch_options = WatchOptions {
            backoff,
            max_body_bytes: max_body_bytes(config.max_memory),
            seed: config.seed,
            now,
        };
        let sockets = allowed.checked_sub(RESERVED_DESCRIPTORS + MAX_OVER_LIMIT_CLIENTS).filter(|n| *n >= 8);
        let mut event_loop = EventLoop {
            poll,
            clock,
            now,
            tick: settings.tick,
            limits: settings.limits.clone(),
            polls_discovery: settings.discovery == Discovery::Poll,
            connect_timeout: config.connect_timeout,
            max_connections: sockets.ok_or(EventLoopError::TooFewDescriptors { allowed })?,
            max_request_memory: config.max_memory / MEMORY_DIVISOR,
            gateway: Gateway::new(settings, config.seed, now),
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            clients: Clients::new(
                listener,
                config.command_schema,
                config.max_memory / MEMORY_DIVISOR,
                |key| Source::Client(key).into(),
            ),
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
            requests: HashMap::new(),
            known_id_hashes: HashSet::new(),
            ended_ids: VecDeque::new(),
            hasher: RandomState::new(),
            request_memory: 0,
            timers: TimerQueue::default(),
            accept_pending: false,
            peer_messages_pending: false,
            reply_time: longest.min(MAX_REPLY_DEADLINE) + REPLY_MARGIN,
            reply_deadline: Micros::MAX,
            shutting_down: false,
            draining_since: None,
        };
        event_loop.timers.schedule(now + SWEEP_INTERVAL, Timer::Sweep);
        event_loop.apply_endpoints(config.cached_endpoints, EndpointUpdate::CachedSnapshot);
        event_loop.run_policy();
        crate::log(&format!("listening at {}", address));
        Ok(event_loop)
    }

    /// Runs until told to stop and idle.
    pub fn run(mut self) -> Result<(), EventLoopError> {
        // All that is ready comes in one turn: one that left must not be behind another's answer.
        let mut events =
            Events::with_capacity(self.max_connections + RESERVED_DESCRIPTORS + MAX_OVER_LIMIT_CLIENTS);
        let mut ready: Vec<ReadySocket> = Vec::new();
        loop {
            let timeout = self.timeout();
            match self.poll.poll(&mut events, Some(timeout)) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(EventLoopError::Poll(e)),
                _ => {}
            }
            // What comes within a tick of the last clock is read with that clock. Sleeping for the rest of the tick
            // instead, for one clock to hold all of it, cost each request two sleeps and 1.7 ms each way.
            let clock = self.clock.now();
            if clock >= self.now + self.tick {
                self.now = clock;
            }
            ready.clear();
            ready.extend(events.iter().map(ReadySocket::from));
            self.process_ready(&mut ready);
            if self.shutting_down
                && (self.can_exit() || self.now >= self.reply_deadline.saturating_add(EXIT_MARGIN))
            {
                crate::log("stopped");
                return Ok(());
            }
        }
    }

    fn timeout(&self) -> Duration {
        if self.accept_pending || self.peer_messages_pending || self.clients.has_pending_work() {
            return Duration::ZERO;
        }
        if self.now >= self.reply_deadline {
            // A clock each tick: the very last moments are counted.
            return Duration::from_micros(self.tick);
        }
        // Nothing falls due before there is a new clock.
        let timer = self.timers.next_due_at().unwrap_or(Micros::MAX).min(self.watch.next_timer_at);
        Duration::from_micros(timer.max(self.now + self.tick).saturating_sub(self.clock.now()))
    }

    /// One turn: all that came is read with one clock. Discovery comes first, so that a drain that has been told
    /// reaches the module before any send; answers come before the timers that would call them missing.
    fn process_ready(&mut self, ready: &mut [ReadySocket]) {
        // Before all else: whatever comes in this turn, and whatever is due, begins nothing for a client that has gone.
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
            Source::Discovery => {}
            Source::Listener => self.accept_pending = true,
            Source::Signals => self.handle_signals(),
            Source::Peers => self.receive_peer_messages(),
            Source::Backend(key) => {
                if writable {
                    self.update_remaining_time(key);
                }
                // The exact time: a connection rests for less than a tick.
                self.backends.on_ready(key, self.clock.now(), Readiness { writable, closed });
                self.run_policy();
            }
            Source::Client(key) => {
                self.clients.on_ready(key, self.now, writable);
                self.process_client_events();
            }
        }
    }

    // ---- What comes in ----

    fn poll_discovery(&mut self, ready: bool) {
        let (now, registry, mut came) = (self.now, self.poll.registry(), Vec::new());
        let mut failed = ready && self.watch.on_ready(now, registry, &mut |endpoints| came.push(endpoints));
        failed |= self.watch.on_timer(now, registry);
        for endpoints in came {
            let kind = if endpoints.is_snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
            self.apply_endpoints(endpoints, kind);
        }
        if failed && self.polls_discovery {
            self.pending_events.push_back(Event::Endpoints(EndpointUpdate::PollFailed, Vec::new()));
        }
        self.run_policy();
    }

    fn apply_endpoints(&mut self, endpoints: EndpointList, kind: EndpointUpdate) {
        self.backends.update_endpoints(&endpoints);
        if kind != EndpointUpdate::Delta || !endpoints.entries.is_empty() {
            let list = endpoints.entries.iter().map(|e| e.endpoint).collect();
            self.pending_events.push_back(Event::Endpoints(kind, list));
        }
    }

    fn receive_peer_messages(&mut self) {
        let events = &mut self.pending_events;
        if let Some(peers) = &mut self.peers {
            let backlog = peers.receive(|from, bytes| events.push_back(Event::PeerMessage { from, bytes }));
            self.peer_messages_pending |= backlog == Backlog::MayHaveMore;
        }
        self.run_policy();
    }

    fn handle_signals(&mut self) {
        // All that came since the last look, several of one kind as one.
        let came: Vec<i32> = self.signals.pending().collect();
        if came.contains(&SIGHUP) {
            self.reload.request();
            self.reload();
        }
        if came.iter().any(|s| *s != SIGHUP) && !std::mem::replace(&mut self.shutting_down, true) {
            crate::log("stopping: answering what has been taken");
            self.timers.schedule(self.now + MIN_ACCEPTING_TIME, Timer::StopAccepting);
            self.reply_deadline = self.now + self.reply_time;
            self.timers.schedule(self.reply_deadline, Timer::ReplyDeadline);
        }
    }

    /// Reads the configuration again and moves the watch to where it says, or tries that again later.
    fn reload(&mut self) {
        match self.reload.attempt(self.now) {
            ReloadOutcome::Applied(discovery) => self.watch.set_address(discovery, self.now),
            ReloadOutcome::RetryAt(at) => self.timers.schedule(at, Timer::RetryReload),
            ReloadOutcome::NotDue => {}
        }
    }

    /// The descriptors in use, and whether one more may be taken.
    fn is_full(&self) -> bool {
        self.clients.len() + self.backends.len() >= self.max_connections
    }

    /// Accepts what waits, a turn's worth of it; false if more may wait.
    fn accept(&mut self) -> bool {
        let (now, budget, backends) = (self.now, self.max_connections, &mut self.backends);
        let room = |clients: &mut Clients| {
            let (share, all) = (budget * MAX_SHARE_EIGHTHS / 8, clients.len() + backends.len());
            let full = clients.len() >= share || all >= budget;
            if !full
                || clients.close_oldest_idle(now)
                || (clients.len() < share && backends.close_longest_idle())
            {
                Capacity::Available
            } else if clients.over_limit_count() < MAX_OVER_LIMIT_CLIENTS {
                Capacity::OverLimit
            } else {
                Capacity::Exhausted
            }
        };
        let accepted = self.clients.accept(self.poll.registry(), self.now, room);
        match accepted {
            AcceptOutcome::Drained => {}
            AcceptOutcome::MorePending => self.accept_pending = true,
            // The poll tells of each arrival once: who waits now must not wait for the next one to come.
            AcceptOutcome::NoDescriptor => {
                self.timers.schedule(self.now + ACCEPT_RETRY_DELAY, Timer::RetryAccept)
            }
        }
        self.process_client_events();
        accepted == AcceptOutcome::Drained
    }

    /// Tells the module of all whose clients have gone, before it hears of anything that this brings about: a place that
    /// one of them leaves must not go to the next.
    fn report_disconnects(&mut self) {
        for incoming in self.clients.pending_events() {
            let ClientEvent::Disconnected(id) = incoming else { continue };
            if let Some(open) = self.requests.get_mut(id).filter(|o| !o.over) {
                open.over = true;
                self.pending_events.push_back(Event::ClientDisconnected(*id));
            }
        }
    }

    fn process_client_events(&mut self) {
        self.report_disconnects();
        while let Some(incoming) = self.clients.next_event() {
            match incoming {
                ClientEvent::Command { id, reply_to: origin, command: call } => {
                    self.open_request(id, origin, call)
                }
                ClientEvent::Disconnected(id) => {
                    self.cancel_unsent(id);
                    self.remove_if_finished(id);
                }
            }
            self.run_policy();
        }
    }

    fn open_request(&mut self, id: RequestId, origin: ReplyHandle, call: Command) {
        // Two with one id could not be told apart by backends and clients, and the first one came in good faith.
        let name = self.hasher.hash_one(call.client_request_id());
        if self.known_id_hashes.contains(&name) {
            return self.clients.reject(origin, "the id is not new");
        }
        let size = call.memory_size();
        if self.now >= self.reply_deadline {
            // There is no time left to serve it in, but it is answered: it never ran.
            return self.clients.reply(origin, b"-BUSY\r\n");
        }
        if self.requests.len() >= self.limits.max_open_requests as usize
            || self.request_memory + size > self.max_request_memory
        {
            // Never let in, so trying again is harmless.
            return self.clients.reply(origin, b"-BUSY\r\n");
        }
        // The module's deadline is a little before the client's: the last answer has a way to go.
        let wait = call.timeout.min(MAX_CLIENT_TIMEOUT);
        let early = (2 * self.tick + REPLY_TRANSIT_TIME).min(wait / 4);
        let mut request = call.request;
        (request.id, request.deadline) = (id, self.now + wait - early);
        self.timers.schedule(request.deadline + early, Timer::ClientDeadline(id));
        self.request_memory += size;
        let (deadline, attempts) = (request.deadline, Vec::new());
        self.known_id_hashes.insert(name);
        self.requests.insert(id, OpenRequest { call, name, origin, deadline, attempts, over: false });
        self.pending_events.push_back(Event::Request(request));
    }

    // ---- Time ----

    fn run_due_timers(&mut self) {
        // Those set in this turn come in a later one.
        for timer in self.timers.take_due(self.now) {
            match timer {
                Timer::Policy(token) => self.pending_events.push_back(Event::Timer(token)),
                Timer::AttemptTimeout(id, attempt) => self.time_out_attempt(id, attempt),
                Timer::ClientDeadline(id) => self.fail_unanswered(id),
                Timer::ConnectTimeout(link) => self.backends.on_connect_timeout(link),
                Timer::HealthCheckTimeout { connection: link, backend, started_at: began } => {
                    if let Some(command) = self.backends.cancel(link) {
                        let outcome = match command {
                            CommandState::Sent => Outcome::TimedOut,
                            CommandState::Unsent => Outcome::ConnectFailed,
                        };
                        let took = self.now - began;
                        self.pending_events.push_back(Event::HealthCheckEnded {
                            backend,
                            outcome,
                            elapsed: took,
                            load_report: None,
                        });
                    }
                }
                Timer::Sweep => {
                    self.backends.sweep(self.now);
                    self.clients.close_expired(self.now);
                    while self.ended_ids.front().is_some_and(|e| e.0 <= self.now) {
                        self.ended_ids.pop_front().map(|e| self.known_id_hashes.remove(&e.1));
                    }
                    self.timers.schedule(self.now + SWEEP_INTERVAL, Timer::Sweep);
                }
                Timer::RetryAccept => drop(self.accept()),
                Timer::RetryReload => self.reload(),
                Timer::StopAccepting => {
                    // Those that the kernel took in meanwhile are ours as well: with the port, all that still wait
                    // would be reset, and what they had asked for lost.
                    let mut more = !self.accept();
                    let coming = more || self.now < self.clients.last_accepted_at + ACCEPTING_QUIET_TIME;
                    let coming = coming && self.now + MIN_ACCEPTING_TIME < self.reply_deadline;
                    for _ in 0..MAX_FINAL_ACCEPTS {
                        if coming || !more {
                            break;
                        }
                        more = !self.accept();
                    }
                    let accepting = if coming { Accepting::Continue } else { Accepting::Stop };
                    self.clients.drain(self.now, accepting);
                    if coming {
                        self.timers.schedule(self.now + ACCEPTING_CHECK_INTERVAL, Timer::StopAccepting);
                    } else {
                        self.draining_since = Some(self.now);
                    }
                    self.process_client_events();
                }
                Timer::ReplyDeadline => {
                    let open: Vec<RequestId> = self.requests.keys().copied().collect();
                    open.into_iter().for_each(|id| self.fail_unanswered(id));
                }
            }
            self.run_policy();
        }
    }

    /// A connection is up, or has room, and nothing of its command is written yet: what that says of the time left was true
    /// when the connection was begun, up to the time-out for connecting ago.
    fn update_remaining_time(&mut self, key: usize) {
        let Some(Assignment::Attempt { id, attempt }) = self.backends.not_yet_written(key) else {
            return;
        };
        let Some(open) = self.requests.get(&id) else { return };
        let Some(a) = open.attempts.get(usize::from(attempt)) else { return };
        let wait = a.until.saturating_sub(self.clock.now());
        self.backends.rewrite_command(key, |out| open.call.encode(wait, out));
    }

    /// Gives an attempt up whose time is over. It may have run only if its last byte was written.
    fn time_out_attempt(&mut self, id: RequestId, attempt: u16) {
        let outcome = |command| match command {
            CommandState::Sent => Outcome::TimedOut,
            CommandState::Unsent => Outcome::ConnectFailed,
        };
        self.cancel_attempt(id, attempt, outcome);
    }

    fn cancel_attempt(&mut self, id: RequestId, attempt: u16, outcome: impl Fn(CommandState) -> Outcome) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(a) = open.attempts.get_mut(usize::from(attempt)) else { return };
        let Some(command) = a.link.and_then(|link| self.backends.cancel(link)) else { return };
        a.link = None;
        let who = (a.backend, a.began);
        self.pending_events.push_back(attempt_ended(
            id,
            attempt,
            who,
            outcome(command),
            open.over,
            self.clock.now(),
        ));
        self.remove_if_finished(id);
    }

    /// A request without its final answer when the client's time is over is failed: the module should never let it
    /// come to this, but no client is left without a word.
    fn fail_unanswered(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|o| !o.over) {
            self.reply(id, b"-ERR failed\r\n");
            self.pending_events.push_back(Event::ClientDisconnected(id));
        }
    }

    // ---- What the module asks for ----

    /// Feeds what has come and carries out what is asked, until neither leaves anything.
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

    /// An attempt or a probe has ended.
    fn complete(&mut self, completion: Completion) {
        let Completion { assignment, backend, outcome, started_at, load_report, value } = completion;
        let took = self.clock.now().saturating_sub(started_at);
        let (id, attempt) = match assignment {
            Assignment::Attempt { id, attempt } => (id, attempt),
            Assignment::HealthCheck => {
                return self.pending_events.push_back(Event::HealthCheckEnded {
                    backend,
                    outcome,
                    elapsed: took,
                    load_report,
                })
            }
        };
        let Some(open) = self.requests.get_mut(&id) else { return };
        if let Some(a) = open.attempts.get_mut(usize::from(attempt)) {
            a.link = None;
        }
        if outcome == Outcome::Ok {
            self.reply(id, &value); // the first one is the final answer
        }
        let complete = self.requests.get(&id).map_or(true, |o| o.over);
        let (metered, charged) = (None, None);
        self.pending_events.push_back(Event::AttemptEnded {
            id,
            attempt,
            backend,
            outcome,
            answered: complete,
            elapsed: took,
            metered,
            charged_units: charged,
            load_report,
        });
        self.remove_if_finished(id);
    }

    /// Gives the final answer, once.
    fn reply(&mut self, id: RequestId, text: &[u8]) {
        if let Some(open) = self.requests.get_mut(&id).filter(|o| !o.over) {
            open.over = true;
            self.clients.reply(open.origin, text);
        }
        self.cancel_unsent(id);
        self.remove_if_finished(id);
    }

    /// Ends what is still to be written of a request that is over, whether or not work may be cancelled: nobody waits
    /// for it, and a backend that never got it has nothing to cancel.
    fn cancel_unsent(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| o.over) else { return };
        for (n, a) in (0u16..).zip(&mut open.attempts) {
            if let Some(link) = a.link.filter(|link| self.backends.is_unsent(*link)) {
                self.backends.cancel(link);
                a.link = None;
                let who = (a.backend, a.began);
                self.pending_events.push_back(attempt_ended(
                    id,
                    n,
                    who,
                    Outcome::NotSent,
                    true,
                    self.clock.now(),
                ));
            }
        }
    }

    /// Forgets a request that is over and has nothing out any more.
    fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|o| o.over && !o.out()) {
            if let Some(open) = self.requests.remove(&id) {
                self.request_memory -= open.call.memory_size();
                self.ended_ids.push_back((self.now + ENDED_ID_RETENTION, open.name));
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, backend, expires_at: expires } => self.send(id, backend, expires),
            Action::Reject { id, retry_after: pause } => {
                let mut text = [0; 40];
                let mut rest = &mut text[..];
                let _ = match pause {
                    0 => write!(rest, "-BUSY\r\n"),
                    _ => write!(rest, "-BUSY {}\r\n", pause.div_ceil(1000)),
                };
                let left = rest.len();
                self.reply(id, &text[..40 - left]);
            }
            Action::Fail(id) => self.reply(id, b"-ERR failed\r\n"),
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
            // The watch is always on: a real ingress must keep one in any case.
            Action::WatchEndpoints(_) => {}
            Action::FetchEndpoints => self.watch.request_snapshot(),
            // There is no counter among the real ingresses: nothing was added.
            Action::IncrementCounter { name, .. } => {
                let (outcome, total) = (Outcome::ConnectFailed, 0.0);
                self.pending_events.push_back(Event::CounterUpdated { name, outcome, total });
            }
            Action::Log(text) => crate::log(&text),
        }
    }

    fn send(&mut self, id: RequestId, backend: BackendId, expires: Micros) {
        let Some(open) = self.requests.get_mut(&id) else {
            // Ended and forgotten: there is no attempt to count.
            return self.pending_events.push_back(attempt_ended(
                id,
                0,
                (backend, self.now),
                Outcome::NotSent,
                true,
                self.now,
            ));
        };
        let number = open.attempts.len();
        let attempt = u16::try_from(number).unwrap_or(u16::MAX);
        let until = if expires == 0 { open.deadline } else { expires.min(open.deadline) };
        open.attempts.push(Attempt { backend, began: self.now, until, link: None });
        if open.over || until <= self.now || number >= self.limits.max_attempts as usize {
            let event =
                attempt_ended(id, attempt, (backend, self.now), Outcome::NotSent, open.over, self.now);
            return self.pending_events.push_back(event);
        }
        if !self.reserve_descriptor(backend) {
            let outcome = Outcome::ConnectFailed;
            let event = attempt_ended(id, attempt, (backend, self.now), outcome, false, self.now);
            return self.pending_events.push_back(event);
        }
        let (registry, assignment, wait) =
            (self.poll.registry(), Assignment::Attempt { id, attempt }, until - self.now);
        let Some(open) = self.requests.get_mut(&id) else { return };
        // How long an attempt takes is measured to the microsecond: by the turns' clock one that is answered within
        // a tick would take no time at all.
        let began = self.clock.now();
        open.attempts[number].began = began;
        let begun =
            self.backends.assign(registry, backend, assignment, began, |out| open.call.encode(wait, out));
        if let Some(assigned) = begun {
            let (link, unsent) = (assigned.connection, assigned.command == CommandState::Unsent);
            open.attempts[number].link = Some(link);
            self.timers.schedule(until, Timer::AttemptTimeout(id, attempt));
            if unsent {
                self.timers.schedule(self.now + self.connect_timeout, Timer::ConnectTimeout(link));
            }
        }
    }

    /// Whether work for a backend has a descriptor, if need be by closing an idle connection.
    fn reserve_descriptor(&mut self, backend: BackendId) -> bool {
        if !self.backends.needs_connection(backend, self.clock.now()) {
            return true;
        }
        if self.backends.len() >= self.max_connections * MAX_SHARE_EIGHTHS / 8 {
            return self.backends.close_longest_idle();
        }
        !self.is_full() || self.backends.close_longest_idle() || self.clients.close_oldest_idle(self.now)
    }

    fn check_health(&mut self, backend: BackendId) {
        if !self.reserve_descriptor(backend) {
            let (outcome, took) = (Outcome::ConnectFailed, 0);
            return self.pending_events.push_back(Event::HealthCheckEnded {
                backend,
                outcome,
                elapsed: took,
                load_report: None,
            });
        }
        let fill = |out: &mut Vec<u8>| {
            resp::write_array_header(out, 2);
            resp::write_bulk_string(out, &[b"INFO"]);
            resp::write_bulk_string(out, &[b"load"]);
        };
        let begun =
            self.backends.assign(self.poll.registry(), backend, Assignment::HealthCheck, self.now, fill);
        if let Some(assigned) = begun {
            let due =
                Timer::HealthCheckTimeout { connection: assigned.connection, backend, started_at: self.now };
            self.timers.schedule(self.now + self.connect_timeout, due);
        }
    }

    // ---- The end ----

    /// Whether all that was taken is answered, and nobody is left who might say more.
    fn can_exit(&mut self) -> bool {
        if !self.is_drained() {
            return false;
        }
        // What clients have said by now was taken, though nobody has read it yet: it is answered before the end.
        self.clients.read_all(self.now);
        self.process_client_events();
        self.clients.flush(self.now);
        self.process_client_events();
        self.is_drained()
    }

    fn is_drained(&self) -> bool {
        let Some(since) = self.draining_since else { return false };
        if self.requests.values().any(|o| !o.over) || self.clients.has_pending_work() {
            return false;
        }
        let waited = self.now - since;
        // Half a request, or answers that nobody reads, must not keep it until it is killed.
        let quiet = waited > DRAINING_IDLE_CLIENT_TIME && self.clients.busy_count() == 0;
        self.clients.len() == 0 || quiet || waited > MAX_DRAINING_TIME || self.now >= self.reply_deadline
    }
}

#[cfg(test)]
mod tests;
