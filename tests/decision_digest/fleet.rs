//! Simulation of gateways with their hosts, clients, backends and network, with seeded random events.

use crate::deployment::{endpoint_event, settings, Deployment, FleetSize, MILLISECOND};
use crate::digest::Digest;
use crate::random::Random;
use crate::support::settings::{SECOND, START};
use ingress::*;
use std::collections::BTreeMap;

const RUN_LENGTH: Duration = Duration::from_secs(28);

const EVENT_SEED: u64 = 41;

/// Period of the run with slower backends and more requests.
const OVERLOAD: std::ops::Range<Duration> = Duration::from_secs(10)..Duration::from_secs(17);

const RESTART_AT: Duration = Duration::from_secs(14);

/// Snapshots, deltas and failed polls of discovery.
const ENDPOINT_UPDATES: [ScheduledUpdate; 8] = [
    ScheduledUpdate { at: Duration::from_secs(5), kind: EndpointUpdate::Delta },
    ScheduledUpdate { at: Duration::from_secs(6), kind: EndpointUpdate::Delta },
    ScheduledUpdate { at: Duration::from_secs(7), kind: EndpointUpdate::Delta },
    ScheduledUpdate { at: Duration::from_secs(9), kind: EndpointUpdate::PollFailed },
    ScheduledUpdate { at: Duration::from_secs(18), kind: EndpointUpdate::Snapshot },
    ScheduledUpdate { at: Duration::from_secs(22), kind: EndpointUpdate::Snapshot },
    ScheduledUpdate { at: Duration::from_secs(23), kind: EndpointUpdate::Delta },
    ScheduledUpdate { at: Duration::from_secs(25), kind: EndpointUpdate::CachedSnapshot },
];

struct ScheduledUpdate {
    at: Duration,
    kind: EndpointUpdate,
}

/// The host's record of an attempt.
struct Attempt {
    backend: BackendId,
    sent_at: Instant,
    in_flight: bool,
}

/// A request without a final answer or with attempts in flight.
struct Pending {
    class: u8,
    units: f64,
    attempts: Vec<Attempt>,
    answered: bool,
}

/// A scheduled event of a gateway's host.
enum HostEvent {
    /// A request arrives, and the next arrival is scheduled.
    RequestArrival,
    /// The host passes an event to the gateway.
    GatewayEvent(Event),
    /// A timer of one process of the gateway expires; ignored after a restart.
    Timer { restarts: u32, token: u32 },
    /// An attempt ends, unless it has already ended.
    AttemptEnd { id: RequestId, attempt: u16, outcome: Outcome },
    /// The first byte of a reply arrives, unless the attempt has ended.
    FirstByte { id: RequestId, attempt: u16 },
    /// The client disconnects, unless it has received its answer.
    ClientDisconnect(RequestId),
    /// The gateway is replaced by a new one.
    GatewayRestart,
}

struct ScheduledEvent {
    gateway: u16,
    event: HostEvent,
}

/// Orders scheduled events by time, then by the order of scheduling.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduleKey {
    at: Instant,
    sequence: u64,
}

/// The host of one gateway, with its unfinished requests.
struct Host {
    gateway: Gateway,
    restarts: u32,
    pending: BTreeMap<RequestId, Pending>,
}

/// A simulated fleet with its clients, backends and network.
pub struct Fleet {
    size: FleetSize,
    deployment: Deployment,
    gateway_seed: u64,
    now: Instant,
    random: Random,
    hosts: Vec<Host>,
    scheduled: BTreeMap<ScheduleKey, ScheduledEvent>,
    sequence: u64,
    last_request_id: u64,
    digest: Digest,
}

impl Fleet {
    /// Creates a fleet at the start of its run.
    pub fn new(size: FleetSize, deployment: Deployment, gateway_seed: u64, digest: Digest) -> Fleet {
        let mut fleet = Fleet {
            size,
            deployment,
            gateway_seed,
            now: START,
            random: Random::new(EVENT_SEED + u64::from(size.gateway_count)),
            hosts: Vec::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            last_request_id: 0,
            digest,
        };
        for own_id in 0..size.live_gateways {
            let host = Host { gateway: fleet.start(own_id, 0), restarts: 0, pending: BTreeMap::new() };
            fleet.hosts.push(host);
            fleet.schedule(
                Duration::ZERO,
                own_id,
                HostEvent::GatewayEvent(endpoint_event(EndpointUpdate::CachedSnapshot, Duration::ZERO, size)),
            );
            fleet.schedule(MILLISECOND, own_id, HostEvent::RequestArrival);
            for update in &ENDPOINT_UPDATES {
                fleet.schedule(
                    update.at,
                    own_id,
                    HostEvent::GatewayEvent(endpoint_event(update.kind, update.at, size)),
                );
            }
        }
        fleet.schedule(RESTART_AT, 1, HostEvent::GatewayRestart);
        fleet
    }

    fn start(&self, own_id: u16, restarts: u32) -> Gateway {
        let seed = self.gateway_seed + 1000 * u64::from(own_id) + u64::from(restarts);
        Gateway::new(settings(self.size, self.deployment, own_id), seed, self.now)
    }

    fn schedule(&mut self, delay: Duration, gateway: u16, event: HostEvent) {
        self.sequence += 1;
        let key = ScheduleKey { at: self.now + delay, sequence: self.sequence };
        self.scheduled.insert(key, ScheduledEvent { gateway, event });
    }

    /// Returns the time since the start of the run.
    fn elapsed(&self) -> Duration {
        self.now.duration_since(START)
    }

    fn overloaded(&self) -> bool {
        OVERLOAD.contains(&self.elapsed())
    }

    /// Runs the simulation to its end, and returns the digest.
    pub fn run(mut self) -> Digest {
        while let Some((key, scheduled)) = self.scheduled.pop_first() {
            if key.at >= START + RUN_LENGTH {
                break;
            }
            self.now = key.at;
            self.dispatch(scheduled);
        }
        self.digest
    }

    fn dispatch(&mut self, ScheduledEvent { gateway, event }: ScheduledEvent) {
        let host = &mut self.hosts[usize::from(gateway)];
        match event {
            HostEvent::RequestArrival => self.receive_request(gateway),
            HostEvent::GatewayEvent(event) => self.handle(gateway, event),
            HostEvent::Timer { restarts, token } if restarts == host.restarts => {
                self.handle(gateway, Event::Timer(token));
            }
            HostEvent::Timer { .. } => {}
            HostEvent::AttemptEnd { id, attempt, outcome } => self.end_attempt(gateway, id, attempt, outcome),
            HostEvent::FirstByte { id, attempt } => {
                let pending = host.pending.get(&id).filter(|pending| !pending.answered);
                if pending.is_some_and(|pending| pending.attempts[usize::from(attempt)].in_flight) {
                    self.handle(gateway, Event::FirstByte { id, attempt });
                }
            }
            HostEvent::ClientDisconnect(id) => {
                if host.pending.get(&id).is_some_and(|pending| !pending.answered) {
                    self.mark_answered(gateway, id);
                    self.handle(gateway, Event::RequestClosed(id));
                }
            }
            HostEvent::GatewayRestart => {
                let restarts = host.restarts + 1;
                let started = self.start(gateway, restarts);
                self.hosts[usize::from(gateway)] =
                    Host { gateway: started, restarts, pending: BTreeMap::new() };
                self.handle(
                    gateway,
                    endpoint_event(EndpointUpdate::CachedSnapshot, self.elapsed(), self.size),
                );
            }
        }
    }

    /// Passes an event to a gateway, and hashes and executes the returned actions.
    fn handle(&mut self, gateway: u16, event: Event) {
        let mut actions = Vec::new();
        self.hosts[usize::from(gateway)].gateway.handle(self.now, event, &mut actions);
        for action in actions {
            self.digest.fold_numbers(&[u64::from(gateway), self.elapsed().as_micros()]);
            self.digest.fold_action(&action);
            self.execute(gateway, action);
        }
    }

    fn execute(&mut self, gateway: u16, action: Action) {
        match action {
            Action::Send { id, backend, .. } => self.send_attempt(gateway, id, backend),
            Action::Reject { id, .. } | Action::Fail(id) => self.mark_answered(gateway, id),
            Action::Cancel { id, attempt } => {
                let end = HostEvent::AttemptEnd { id, attempt, outcome: Outcome::Cancelled };
                self.schedule(MILLISECOND, gateway, end);
            }
            Action::SetTimer { delay, token } => {
                let restarts = self.hosts[usize::from(gateway)].restarts;
                self.schedule(delay, gateway, HostEvent::Timer { restarts, token });
            }
            Action::SendToPeer { to, bytes } => self.deliver_message(gateway, to, bytes),
            Action::PollDiscovery => {
                let kind = if self.random.percent(25) {
                    EndpointUpdate::PollFailed
                } else {
                    EndpointUpdate::Snapshot
                };
                let event = endpoint_event(kind, self.elapsed(), self.size);
                self.schedule(MILLISECOND * 30, gateway, HostEvent::GatewayEvent(event));
            }
            Action::Log(_) => {}
        }
    }

    /// Passes a client's request to a gateway and schedules the next arrival.
    fn receive_request(&mut self, gateway: u16) {
        let mean = if self.overloaded() { MILLISECOND * 7 } else { MILLISECOND * 16 };
        let gap = self.random.between(Duration::MICROSECOND, mean * 2);
        self.schedule(gap, gateway, HostEvent::RequestArrival);
        let request = self.next_request();
        let pending =
            Pending { class: request.class, units: request.units, attempts: Vec::new(), answered: false };
        self.hosts[usize::from(gateway)].pending.insert(request.id, pending);
        if self.random.percent(3) {
            let delay = self.random.between(MILLISECOND, MILLISECOND * 400);
            self.schedule(delay, gateway, HostEvent::ClientDisconnect(request.id));
        }
        self.handle(gateway, Event::Request(request));
    }

    /// Draws a request from few customers with limited plans or many with the unlimited one. Some requests
    /// have a wrong plan, too little time, or an invalid class.
    fn next_request(&mut self) -> Request {
        self.last_request_id += 1;
        let customer =
            if self.random.percent(60) { self.random.below(200) * 4 } else { self.random.below(24) };
        let plan = if self.random.percent(1) { 1 } else { (customer % 4) as u16 };
        let wait = if self.random.percent(1) { MILLISECOND * 5 } else { SECOND * 4 };
        let class = if self.random.percent(1) { 9 } else { self.random.below(5) as u8 };
        let live_gateways = f64::from(self.size.live_gateways);
        let first = if customer % 3 == 0 { 1.0 } else { 0.0 };
        Request {
            id: RequestId(self.last_request_id),
            class,
            plan,
            customer: CustomerId(customer),
            deadline: self.now + wait,
            units: 0.5 + self.random.below(4) as f64 / 2.0,
            gateway_set_size: live_gateways - first,
            gateway_set_start: first,
        }
    }

    /// Draws the time that a backend takes, and the outcome of the attempt.
    fn backend_reply(&mut self, backend: BackendId) -> (Duration, Outcome) {
        let slow = if self.overloaded() { 8 } else { 1 };
        let duration = self.random.between(MILLISECOND * 50, MILLISECOND * 160) * slow;
        let silent = backend.0 % 15 == 4 && self.random.percent(50);
        let failing = backend.0 % 15 == 1 && self.random.percent(60);
        match self.random.below(100) {
            _ if silent => (SECOND * 3, Outcome::TimedOut),
            _ if failing => (MILLISECOND * 20, Outcome::Error),
            0..=1 => (duration, Outcome::Error),
            2..=3 => (MILLISECOND * 5, Outcome::Rejected),
            4 => (SECOND * 2, Outcome::TimedOut),
            5 => (MILLISECOND * 250, Outcome::ConnectFailed),
            6 => (duration / 2, Outcome::Reset),
            7 => (MILLISECOND, Outcome::NotSent),
            _ => (duration, Outcome::Ok),
        }
    }

    fn send_attempt(&mut self, gateway: u16, id: RequestId, backend: BackendId) {
        let (duration, outcome) = self.backend_reply(backend);
        let now = self.now;
        let pending = self.hosts[usize::from(gateway)].pending.get_mut(&id);
        let pending = pending.expect("only requests without a final answer are sent");
        let attempt = pending.attempts.len() as u16;
        let streamed = pending.class == 4;
        pending.attempts.push(Attempt { backend, sent_at: now, in_flight: true });
        if streamed && outcome == Outcome::Ok {
            self.schedule(duration / 2, gateway, HostEvent::FirstByte { id, attempt });
        }
        self.schedule(duration, gateway, HostEvent::AttemptEnd { id, attempt, outcome });
    }

    fn end_attempt(&mut self, gateway: u16, id: RequestId, attempt: u16, outcome: Outcome) {
        let Some(pending) = self.hosts[usize::from(gateway)].pending.get_mut(&id) else { return };
        let ended = &mut pending.attempts[usize::from(attempt)];
        if !std::mem::replace(&mut ended.in_flight, false) {
            return;
        }
        let (backend, elapsed, units) =
            (ended.backend, self.now.duration_since(ended.sent_at), pending.units);
        pending.answered |= outcome == Outcome::Ok;
        let complete = pending.answered;
        let reported_queue_depth = self.random.percent(30).then(|| self.random.below(4) as f64);
        let charged = (self.deployment == Deployment::Single).then_some(units * 1.25);
        self.handle(
            gateway,
            Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                backend,
                outcome,
                request_closed: complete,
                elapsed,
                charged_units: charged,
                reported_queue_depth,
            }),
        );
        self.remove_if_finished(gateway, id);
    }

    /// Marks a request that has its final answer, or whose client has disconnected.
    fn mark_answered(&mut self, gateway: u16, id: RequestId) {
        if let Some(pending) = self.hosts[usize::from(gateway)].pending.get_mut(&id) {
            pending.answered = true;
        }
        self.remove_if_finished(gateway, id);
    }

    /// Removes a request that is answered and has no attempts in flight.
    fn remove_if_finished(&mut self, gateway: u16, id: RequestId) {
        let pending = &mut self.hosts[usize::from(gateway)].pending;
        let over =
            |pending: &Pending| pending.answered && pending.attempts.iter().all(|attempt| !attempt.in_flight);
        if pending.get(&id).is_some_and(over) {
            pending.remove(&id);
        }
    }

    /// Simulates the network between gateways, which drops, delays, duplicates and corrupts messages.
    fn deliver_message(&mut self, from: u16, to: Option<GatewayId>, bytes: Vec<u8>) {
        let GatewayId(to) = to.expect("messages go to one peer each");
        if to >= self.size.live_gateways || self.random.percent(10) {
            return;
        }
        let is_late = self.random.percent(5);
        let delay = if is_late {
            self.random.between(MILLISECOND * 300, MILLISECOND * 900)
        } else {
            self.random.between(MILLISECOND * 2, MILLISECOND * 20)
        };
        let from = GatewayId(from);
        if self.random.percent(5) {
            let event = Event::PeerMessage { from, bytes: bytes.clone() };
            self.schedule(delay + MILLISECOND * 7, to, HostEvent::GatewayEvent(event));
        }
        if self.random.percent(2) {
            let event = Event::PeerMessage { from, bytes: self.corrupted(&bytes) };
            self.schedule(delay / 2, to, HostEvent::GatewayEvent(event));
        }
        self.schedule(delay, to, HostEvent::GatewayEvent(Event::PeerMessage { from, bytes }));
    }

    /// Returns an invalid message: truncated, of another version, or random.
    fn corrupted(&mut self, bytes: &[u8]) -> Vec<u8> {
        match self.random.below(3) {
            0 => bytes[..self.random.below(bytes.len() as u64) as usize].to_vec(),
            1 => [&[bytes[0] ^ 1], &bytes[1..]].concat(),
            _ => (0..self.random.below(300)).map(|_| self.random.next() as u8).collect(),
        }
    }
}
