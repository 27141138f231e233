//! Properties over arbitrary sequences of valid and malformed events, with a fixed seed.

use test_support as support;

use ingress::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use support::gateway::attempt_ended;
use support::settings::{class, plan};

const START: Instant = Instant::from_micros(50_000_000);
const TICK: Duration = Duration::from_millis(20);
const MAX_ATTEMPTS: u16 = 3;
/// Indices of the classes, and of the plan with a hard limit.
const IDEMPOTENT: u8 = 0;
const NON_IDEMPOTENT: u8 = 2;
const CLASSES: u8 = 3;
const HARD_LIMIT: u16 = 1;
const HARD_LIMIT_RATE: f64 = 30.0;
const HARD_LIMIT_BURST: f64 = 60.0;

fn settings() -> Settings {
    let class = |idempotency| Class {
        latency_objective: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        ..class(idempotency)
    };
    let plan =
        |hard_limit_rate, hard_limit_burst| Plan { hard_limit_rate, hard_limit_burst, ..plan(20.0, 40.0) };
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Cell, window: Duration::from_secs(1) };
    Settings {
        gateway_count: 3,
        tick: Duration::from_millis(4),
        classes: vec![class(Idempotency::Idempotent), class(keyed), class(Idempotency::NonIdempotent)],
        plans: vec![plan(0.0, 0.0), plan(HARD_LIMIT_RATE, HARD_LIMIT_BURST)],
        limits: Limits {
            max_attempts: u32::from(MAX_ATTEMPTS),
            hedging: false,
            cancellation: true,
            peer_messages: true,
            peer_messages_per_second: 50.0,
            retry_after: true,
            max_retry_after: Duration::from_secs(1),
            ..Limits::default()
        },
        rules: Rules {
            slow_start_floor: 0.2,
            slow_start_duration: Duration::from_secs(5),
            overload_factor: 3.0,
            overload_window: Duration::from_secs(1),
            ..Rules::default()
        },
        ..Settings::default()
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A request whose class and plan may not exist.
    Request { class: u8, plan: u16, customer: u64, units: f64, set_size: f64, time_left: Duration },
    /// The end of an attempt in flight, or of one that the gateway never sent.
    EndAttempt { pick: usize, outcome: usize, is_unknown: bool },
    /// The client of a request, which may not exist, disconnects.
    Disconnect(usize),
    /// A message from a peer, or from a gateway that does not exist.
    PeerMessage { from: u16, bytes: Vec<u8> },
    /// A snapshot, a delta, or a failed poll of the endpoint list.
    UpdateEndpoints { update: u8, availabilities: Vec<u8>, in_slow_start: bool },
    /// This many timers run.
    Advance(u64),
    /// Events that the gateway did not request.
    Unsolicited(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let units = prop_oneof![Just(1.0), Just(4.0), Just(0.0), Just(f64::NAN), Just(-3.0), Just(1e300)];
    let set_size = prop_oneof![Just(3.0), Just(2.0), Just(0.0), Just(f64::INFINITY)];
    let time_left = (0u64..2_000_000).prop_map(Duration::from_micros);
    let request = (0u8..4, 0u16..3, 0u64..6, units, set_size, time_left);
    prop_oneof![
        8 => request.prop_map(|(class, plan, customer, units, set_size, time_left)| {
            Step::Request { class, plan, customer, units, set_size, time_left }
        }),
        8 => (0usize..50, 0usize..7, prop::bool::weighted(0.05))
            .prop_map(|(pick, outcome, is_unknown)| Step::EndAttempt { pick, outcome, is_unknown }),
        1 => (0usize..50).prop_map(Step::Disconnect),
        2 => (0u16..5, prop::collection::vec(prop_oneof![0u8..4, any::<u8>()], 0..60))
            .prop_map(|(from, bytes)| Step::PeerMessage { from, bytes }),
        1 => (0u8..4, prop::collection::vec(0u8..3, 0..6), any::<bool>()).prop_map(
            |(update, availabilities, in_slow_start)| {
                Step::UpdateEndpoints { update, availabilities, in_slow_start }
            }
        ),
        6 => (1u64..30).prop_map(Step::Advance),
        1 => any::<u64>().prop_map(Step::Unsolicited),
    ]
}

#[derive(Clone, Copy)]
struct Attempt {
    id: RequestId,
    number: u16,
    backend: BackendId,
}

/// Properties of a request that the checks depend on.
#[derive(Clone, Copy)]
struct RequestRecord {
    class: u8,
    plan: u16,
    customer: u64,
    units: f64,
}

/// State of the host against which the gateway's actions are checked.
#[derive(Default)]
struct Host {
    requests: BTreeMap<RequestId, RequestRecord>,
    /// Requests with a final answer, or whose client has disconnected.
    ended: BTreeSet<RequestId>,
    attempts_sent: BTreeMap<RequestId, u16>,
    in_flight: Vec<Attempt>,
    /// Number of attempts that may have been executed, by request.
    maybe_executed: BTreeMap<RequestId, u16>,
    /// Backends that are draining or not listed.
    unavailable: BTreeSet<BackendId>,
    /// Units sent under the hard limit, by customer.
    hard_limit_usage: BTreeMap<u64, f64>,
    log: Vec<String>,
}

impl Host {
    fn check(&mut self, now: Instant, actions: &[Action]) {
        for action in actions {
            self.log.push(format!("{now:?} {action:?}"));
            match action {
                Action::Send { id, backend, .. } => self.check_send(*id, *backend),
                Action::Reject { id, .. } => {
                    assert!(self.ended.insert(*id), "a request got a second answer");
                    let maybe_executed = self.maybe_executed.get(id).copied().unwrap_or(0);
                    let is_idempotent = self.requests[id].class == IDEMPOTENT;
                    assert!(
                        is_idempotent || maybe_executed == 0,
                        "a request that may have been executed was rejected"
                    );
                }
                Action::Fail(id) => assert!(self.ended.insert(*id), "a request got a second answer"),
                _ => {}
            }
        }
        // This gateway's share is a third of the hard limit, or half of it in a set of two, and starts at
        // zero, so its usage never exceeds the whole limit.
        let seconds = now.duration_since(START).as_secs_f64();
        for used in self.hard_limit_usage.values() {
            let allowed = HARD_LIMIT_RATE * seconds + HARD_LIMIT_BURST + 1e-6;
            assert!(*used <= allowed, "the hard limit is exceeded");
        }
    }

    fn check_send(&mut self, id: RequestId, backend: BackendId) {
        assert!(!self.ended.contains(&id), "an attempt was sent after the request ended");
        assert!(!self.unavailable.contains(&backend), "an attempt was sent to a draining or removed backend");
        assert!(
            !self.in_flight.iter().any(|attempt| attempt.id == id),
            "a request has two attempts in flight"
        );
        let request = &self.requests[&id];
        let attempts_sent = self.attempts_sent.entry(id).or_insert(0);
        assert!(*attempts_sent < MAX_ATTEMPTS, "a request has more attempts than allowed");
        let maybe_executed = self.maybe_executed.entry(id).or_insert(0);
        assert!(
            request.class != NON_IDEMPOTENT || *maybe_executed == 0,
            "a non-idempotent request was retried"
        );
        *maybe_executed += 1;
        self.in_flight.push(Attempt { id, number: *attempts_sent, backend });
        *attempts_sent += 1;
        if request.plan == HARD_LIMIT && *attempts_sent == 1 {
            *self.hard_limit_usage.entry(request.customer).or_insert(0.0) += request.units;
        }
    }

    /// Removes an attempt in flight. Returns one that was never sent if none is in flight or `is_unknown`
    /// is set.
    fn take_attempt(&mut self, pick: usize, is_unknown: bool) -> Attempt {
        if is_unknown || self.in_flight.is_empty() {
            return Attempt { id: RequestId(1 << 40), number: 7, backend: BackendId(77) };
        }
        let index = pick % self.in_flight.len();
        self.in_flight.swap_remove(index)
    }

    fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        if update == EndpointUpdate::Snapshot || update == EndpointUpdate::CachedSnapshot {
            self.unavailable = (0..6).map(BackendId).collect();
        }
        if update == EndpointUpdate::PollFailed {
            return;
        }
        for endpoint in endpoints {
            self.unavailable.remove(&endpoint.backend);
            if endpoint.availability != Availability::Ready {
                self.unavailable.insert(endpoint.backend);
            }
        }
    }
}

fn endpoint(backend: u64, availability: Availability, started_at: Option<Instant>) -> Endpoint {
    Endpoint {
        backend: BackendId(backend),
        zone: (backend % 2) as u8,
        cell: (backend % 2) as u16,
        availability,
        size: 1.0,
        started_at,
        ..Endpoint::default()
    }
}

/// A gateway and its host in a sequence of steps.
struct Run {
    gateway: Gateway,
    host: Host,
    now: Instant,
    next_request_id: u64,
}

impl Run {
    fn new() -> Run {
        let gateway = Gateway::new(settings(), 3, START);
        let mut run = Run { gateway, host: Host::default(), now: START, next_request_id: 0 };
        let endpoints = (0..5).map(|backend| endpoint(backend, Availability::Ready, None)).collect();
        run.handle(Event::Endpoints(EndpointUpdate::CachedSnapshot, endpoints));
        run
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        self.host.check(self.now, &actions);
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Request { class, plan, customer, units, set_size, time_left } => {
                let record = RequestRecord { class, plan, customer, units };
                self.request(record, set_size, time_left);
            }
            Step::EndAttempt { pick, outcome, is_unknown } => {
                let outcomes = [
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::TimedOut,
                    Outcome::Cancelled,
                ];
                let attempt = self.host.take_attempt(pick, is_unknown);
                self.end_attempt(attempt, outcomes[outcome]);
            }
            Step::Disconnect(pick) => {
                let id = RequestId(pick as u64);
                if id.0 < self.next_request_id {
                    self.host.ended.insert(id);
                }
                self.handle(Event::RequestClosed(id));
            }
            Step::PeerMessage { from, bytes } => {
                self.handle(Event::PeerMessage { from: GatewayId(from), bytes });
            }
            Step::UpdateEndpoints { update, availabilities, in_slow_start } => {
                self.update_endpoints(update, &availabilities, in_slow_start);
            }
            Step::Advance(ticks) => (0..ticks).for_each(|_| self.tick()),
            Step::Unsolicited(number) => self.handle_unsolicited(number),
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.handle(Event::Timer(0));
    }

    fn request(&mut self, record: RequestRecord, gateway_set_size: f64, time_left: Duration) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let request = Request {
            id,
            class: record.class,
            plan: record.plan,
            customer: CustomerId(record.customer),
            deadline: self.now + time_left,
            units: record.units,
            gateway_set_size,
            gateway_set_start: 0.0,
        };
        // A request of a class that doesn't exist is never sent, so its rejection is as safe as that of an
        // idempotent one.
        let class = if record.class < CLASSES { record.class } else { IDEMPOTENT };
        self.host.requests.insert(id, RequestRecord { class, ..record });
        self.handle(Event::Request(request));
    }

    fn end_attempt(&mut self, attempt: Attempt, outcome: Outcome) {
        if outcome.never_executed() {
            self.host.maybe_executed.entry(attempt.id).and_modify(|count| *count -= 1);
        }
        if outcome == Outcome::Ok {
            self.host.ended.insert(attempt.id);
        }
        self.handle_attempt_ended(Duration::from_millis(50), attempt, outcome);
    }

    fn handle_attempt_ended(&mut self, elapsed: Duration, attempt: Attempt, outcome: Outcome) {
        let Attempt { id, number, backend } = attempt;
        let mut event = attempt_ended(elapsed, id, number, backend, outcome);
        if let Event::AttemptEnded(ended) = &mut event {
            ended.request_closed = outcome == Outcome::Ok || self.host.ended.contains(&id);
        }
        self.handle(event);
    }

    fn update_endpoints(&mut self, update: u8, availabilities: &[u8], in_slow_start: bool) {
        let update = [
            EndpointUpdate::Delta,
            EndpointUpdate::Snapshot,
            EndpointUpdate::CachedSnapshot,
            EndpointUpdate::PollFailed,
        ][usize::from(update)];
        let started_at = in_slow_start.then_some(self.now);
        let all = [Availability::Ready, Availability::Draining, Availability::Gone];
        let endpoints: Vec<_> = (0..)
            .zip(availabilities)
            .map(|(backend, index)| endpoint(backend, all[usize::from(*index)], started_at))
            .collect();
        self.host.update_endpoints(update, &endpoints);
        self.handle(Event::Endpoints(update, endpoints));
    }

    fn handle_unsolicited(&mut self, number: u64) {
        self.handle(Event::Timer(number as u32));
        self.handle(Event::FirstByte { id: RequestId(number), attempt: number as u16 });
        self.handle(Event::Unused);
    }

    /// Times out all attempts in flight until every deadline has passed, and asserts that every request has
    /// its answer.
    fn finish(&mut self) {
        for _ in 0..150 {
            self.tick();
            for attempt in std::mem::take(&mut self.host.in_flight) {
                self.handle_attempt_ended(Duration::MICROSECOND, attempt, Outcome::TimedOut);
            }
        }
        for id in self.host.requests.keys() {
            assert!(self.host.ended.contains(id), "{id:?} got no answer");
        }
    }
}

/// Runs the steps and returns the log of all actions.
fn run(steps: &[Step]) -> Vec<String> {
    let mut run = Run::new();
    for step in steps {
        run.apply(step.clone());
    }
    run.finish();
    run.host.log
}

/// Clients, backends, peers and discovery send valid and malformed events in any order. After each event
/// the test checks that no client is left without an answer or gets two, no order is executed twice,
/// nothing is sent to a draining backend, and no hard limit is exceeded. Equal events have to give equal
/// actions, since a failure could not be reproduced from its seed otherwise.
#[test]
fn rules_hold_under_arbitrary_events_and_equal_events_give_equal_actions() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    runner
        .run(&prop::collection::vec(step(), 1..150), |steps| {
            prop_assert_eq!(run(&steps), run(&steps));
            Ok(())
        })
        .unwrap();
}
