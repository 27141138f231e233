//! Test of quotas over a whole fleet without overload. Compares the cost of requests over the quotas with
//! that of a policy that has the true state of all customers. The test simulates the network: it delays and
//! loses messages, and limits the messages that a gateway receives per second.

use test_support as support;

use ingress::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use support::gateway::attempt_ended;
use support::settings::{class, plan, SECOND, START};

const GATEWAYS: u16 = 60;
const CUSTOMERS: u64 = 160;
const BACKENDS: u64 = 200;
const RUN_LENGTH: Duration = Duration::from_secs(8);
/// Duration of each attempt, as at a backend that is not busy.
const SERVICE_TIME: Duration = Duration::from_millis(110);
/// Age of the true state that the reference policy uses: one tick, the shortest possible delay of a real
/// policy.
const OBSERVATION_DELAY: Duration = Duration::from_millis(4);
const PEER_MESSAGES_PER_SECOND: u32 = 40;
const MESSAGE_LOSS_PERCENT: u64 = 5;

fn settings(own_id: u16) -> Settings {
    let rate_quota = Plan { price: 1.3, over_quota_cost: 0.6, ..plan(2.0, 8.0) };
    let concurrency_quota = Plan { concurrency_quota: 4, price: 1.4, over_quota_cost: 1.0, ..plan(0.0, 0.0) };
    Settings {
        gateway_count: GATEWAYS,
        own_id: GatewayId(own_id),
        tick: Duration::from_millis(4),
        classes: vec![class(Idempotency::Idempotent)],
        plans: vec![rate_quota, concurrency_quota],
        limits: Limits {
            max_attempts: 4,
            hedging: true,
            cancellation: true,
            peer_messages: true,
            peer_messages_per_second: f64::from(PEER_MESSAGES_PER_SECOND),
            retry_after: true,
            max_retry_after: SECOND,
            max_open_requests: 20_000,
            connect_timeout: Duration::from_millis(250),
        },
        rules: Rules {
            slow_start_floor: 0.2,
            slow_start_duration: SECOND * 10,
            overload_factor: 4.0,
            overload_window: SECOND * 3,
            ..Rules::default()
        },
        ..Settings::default()
    }
}

fn plan_of(customer: u64) -> u16 {
    (customer % 2) as u16
}

/// A linear congruential generator.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    /// Returns a random duration below a bound.
    fn shorter_than(&mut self, bound: Duration) -> Duration {
        Duration::from_micros(self.below(bound.as_micros()))
    }
}

/// A request of one unit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Instant,
    customer: u64,
}

/// Returns the requests of all customers: one in ten sends eight times its quota, the others about a third of
/// it.
fn arrivals(random: &mut Random) -> Vec<Arrival> {
    let mut all = Vec::new();
    for customer in 0..CUSTOMERS {
        let allowed = if plan_of(customer) == 0 { 2.0 } else { 12.0 };
        let usage = if customer / 2 % 10 == 9 { 8.0 } else { 0.35 };
        let gap = Duration::from_micros((1e6 / (allowed * usage)) as u64);
        let mut at = START + SECOND / 2 + random.shorter_than(gap);
        while at < START + RUN_LENGTH {
            all.push(Arrival { at, customer });
            at += gap / 2 + random.shorter_than(gap);
        }
    }
    all.sort_unstable();
    all
}

/// The tokens of a customer's bucket after a request.
#[derive(Clone, Copy)]
struct BucketLevel {
    at: Instant,
    tokens: f64,
}

/// The true state of a customer, with its history.
struct CustomerState {
    plan: Plan,
    bucket: BucketLevel,
    /// Send times of attempts.
    sent_at: Vec<Instant>,
    /// Level of the bucket after each attempt.
    history: Vec<BucketLevel>,
}

/// Value and cost of the requests sent, in customers' prices.
#[derive(Clone, Copy, Default)]
struct Totals {
    value_within_quota: f64,
    cost_over_quota: f64,
}

impl CustomerState {
    fn all() -> Vec<CustomerState> {
        let plans = settings(0).plans;
        let new = |customer| {
            let plan: Plan = plans[usize::from(plan_of(customer))].clone();
            let bucket = BucketLevel { at: START, tokens: plan.burst };
            CustomerState { plan, bucket, sent_at: Vec::new(), history: Vec::new() }
        };
        (0..CUSTOMERS).map(new).collect()
    }

    fn refilled(&self, level: BucketLevel, elapsed: Duration) -> f64 {
        (level.tokens + self.plan.rate * elapsed.as_micros_f64() / 1e6).min(self.plan.burst)
    }

    /// Returns whether a request is within the quota, by the true state at a time.
    fn is_within_quota(&self, at: Instant) -> bool {
        let is_in_flight = |sent_at: &&Instant| **sent_at <= at && **sent_at + SERVICE_TIME > at;
        let in_flight = self.sent_at.iter().filter(is_in_flight).count();
        let full = BucketLevel { at: START, tokens: self.plan.burst };
        let level = self.history.iter().rev().find(|level| level.at <= at).copied().unwrap_or(full);
        let tokens = self.refilled(level, at.duration_since(level.at));
        (self.plan.rate == 0.0 || tokens >= 1.0)
            && (self.plan.concurrency_quota == 0 || in_flight < self.plan.concurrency_quota as usize)
    }

    /// Records that a request is sent, and adds its value or cost to the totals.
    fn send(&mut self, now: Instant, totals: &mut Totals) {
        let is_within_quota = self.is_within_quota(now);
        self.bucket.tokens = self.refilled(self.bucket, now.duration_since(self.bucket.at));
        self.bucket.at = now;
        if is_within_quota {
            self.bucket.tokens -= if self.plan.rate > 0.0 { 1.0 } else { 0.0 };
            totals.value_within_quota += self.plan.price;
        } else {
            totals.cost_over_quota += self.plan.price * self.plan.over_quota_cost;
        }
        self.history.push(self.bucket);
        self.sent_at.push(now);
    }
}

/// Returns the totals of a policy that admits each request by the true state at an earlier time.
fn run_with_delayed_state(arrivals: &[Arrival], delay: Duration) -> Totals {
    let (mut customers, mut totals) = (CustomerState::all(), Totals::default());
    for arrival in arrivals {
        let customer = &mut customers[arrival.customer as usize];
        if customer.is_within_quota(arrival.at - delay) {
            customer.send(arrival.at, &mut totals);
        }
    }
    totals
}

enum HostEvent {
    Arrival { customer: u64 },
    PeerMessage { from: u16, bytes: Vec<u8> },
    AttemptEnd { id: RequestId, attempt: u16, backend: BackendId },
    Timer,
}

/// Future events at gateways, in order of their time.
#[derive(Default)]
struct EventQueue {
    /// Time, index of the event, and gateway.
    order: BinaryHeap<Reverse<(Instant, usize, u16)>>,
    events: Vec<Option<HostEvent>>,
}

impl EventQueue {
    fn push(&mut self, at: Instant, gateway: u16, event: HostEvent) {
        self.order.push(Reverse((at, self.events.len(), gateway)));
        self.events.push(Some(event));
    }

    fn pop(&mut self) -> Option<(Instant, u16, HostEvent)> {
        let Reverse((at, index, gateway)) = self.order.pop()?;
        Some((at, gateway, self.events[index].take()?))
    }
}

/// A request at a gateway, with the number of its attempts so far.
struct OpenRequest {
    customer: u64,
    attempts: u16,
}

/// Gateways with their hosts and the network between them.
struct Fleet<'a> {
    random: &'a mut Random,
    gateways: Vec<Gateway>,
    queue: EventQueue,
    requests: BTreeMap<(u16, RequestId), OpenRequest>,
    last_request_id: u64,
    /// Number of messages received, by gateway and second.
    messages_received: BTreeMap<(u16, u64), u32>,
    customers: Vec<CustomerState>,
    totals: Totals,
}

impl Fleet<'_> {
    /// Creates a fleet in which each request arrives at a random gateway.
    fn new<'a>(arrivals: &[Arrival], random: &'a mut Random) -> Fleet<'a> {
        let seed = |own_id: u16| 100 + u64::from(own_id);
        let start = |own_id| Gateway::new(settings(own_id), seed(own_id), START);
        let mut fleet = Fleet {
            random,
            gateways: (0..GATEWAYS).map(start).collect(),
            queue: EventQueue::default(),
            requests: BTreeMap::new(),
            last_request_id: 0,
            messages_received: BTreeMap::new(),
            customers: CustomerState::all(),
            totals: Totals::default(),
        };
        for arrival in arrivals {
            let gateway = fleet.random.below(u64::from(GATEWAYS)) as u16;
            fleet.queue.push(arrival.at, gateway, HostEvent::Arrival { customer: arrival.customer });
        }
        fleet
    }

    fn run(mut self) -> Totals {
        let endpoint = |backend| Endpoint { backend: BackendId(backend), size: 1.0, ..Endpoint::default() };
        let endpoints: Vec<_> = (0..BACKENDS).map(endpoint).collect();
        for gateway in 0..GATEWAYS {
            let event = Event::Endpoints(EndpointUpdate::CachedSnapshot, endpoints.clone());
            self.handle(START, gateway, event);
        }
        while let Some((now, gateway, event)) = self.queue.pop().filter(|next| next.0 < START + RUN_LENGTH) {
            if let Some(event) = self.receive(now, gateway, event) {
                self.handle(now, gateway, event);
            }
        }
        self.totals
    }

    /// Returns the event that the host passes to a gateway; `None` for a message over the limit per second.
    fn receive(&mut self, now: Instant, gateway: u16, event: HostEvent) -> Option<Event> {
        match event {
            HostEvent::Arrival { customer } => {
                Some(Event::Request(self.open_request(now, gateway, customer)))
            }
            HostEvent::PeerMessage { from, bytes } => {
                let received = self.messages_received.entry((gateway, now.period_index(SECOND))).or_default();
                *received += 1;
                let event = Event::PeerMessage { from: GatewayId(from), bytes };
                (*received <= PEER_MESSAGES_PER_SECOND).then_some(event)
            }
            HostEvent::AttemptEnd { id, attempt, backend } => {
                Some(attempt_ended(SERVICE_TIME, id, attempt, backend, Outcome::Ok))
            }
            HostEvent::Timer => Some(Event::Timer(0)),
        }
    }

    fn open_request(&mut self, now: Instant, gateway: u16, customer: u64) -> Request {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        self.requests.insert((gateway, id), OpenRequest { customer, attempts: 0 });
        Request {
            id,
            class: 0,
            plan: plan_of(customer),
            customer: CustomerId(customer),
            deadline: now + SECOND * 3,
            units: 1.0,
            gateway_set_size: f64::from(GATEWAYS),
            gateway_set_start: 0.0,
        }
    }

    /// Passes an event to a gateway, and executes the resulting actions.
    fn handle(&mut self, now: Instant, gateway: u16, event: Event) {
        let mut actions = Vec::new();
        self.gateways[usize::from(gateway)].handle(now, event, &mut actions);
        for action in actions {
            self.execute(now, gateway, action);
        }
    }

    fn execute(&mut self, now: Instant, gateway: u16, action: Action) {
        match action {
            Action::Send { id, backend, .. } => {
                let request = self.requests.get_mut(&(gateway, id)).expect("the request has arrived");
                let attempt = request.attempts;
                request.attempts += 1;
                if attempt == 0 {
                    self.customers[request.customer as usize].send(now, &mut self.totals);
                }
                let end = HostEvent::AttemptEnd { id, attempt, backend };
                self.queue.push(now + SERVICE_TIME, gateway, end);
            }
            Action::SendToPeer { to: Some(to), bytes } if self.random.below(100) >= MESSAGE_LOSS_PERCENT => {
                let delay =
                    Duration::from_micros(1_300) + self.random.shorter_than(Duration::from_millis(32));
                self.queue.push(now + delay, to.0, HostEvent::PeerMessage { from: gateway, bytes });
            }
            Action::SetTimer { delay, .. } => {
                self.queue.push(now + delay.max(Duration::MICROSECOND), gateway, HostEvent::Timer);
            }
            _ => {}
        }
    }
}

/// Sixty gateways share the quotas of 160 customers, some of which send eight times their quota, over a
/// network that delays and loses messages. Requests over the quotas may cost at most 0.1 more than with a
/// policy that has the true state with a short delay. At least half of the value within quotas that this
/// policy serves must be served.
#[test]
fn quotas_hold_over_a_fleet_without_overload() {
    for seed in 1..=3 {
        let mut random = Random(seed);
        let arrivals = arrivals(&mut random);
        let offered = run_with_delayed_state(&arrivals, Duration::ZERO);
        assert_eq!(offered.cost_over_quota, 0.0, "a policy with the true state sends nothing over a quota");
        let delayed = run_with_delayed_state(&arrivals, OBSERVATION_DELAY);
        let fleet = Fleet::new(&arrivals, &mut random).run();
        let share = |sum: f64| sum / offered.value_within_quota;
        println!(
            "seed {seed}: over quotas {:.3}, reference {:.3}; within quotas {:.3}, reference {:.3}",
            share(fleet.cost_over_quota),
            share(delayed.cost_over_quota),
            share(fleet.value_within_quota),
            share(delayed.value_within_quota)
        );
        assert!(
            share(fleet.cost_over_quota) <= share(delayed.cost_over_quota) + 0.1,
            "cost over quotas {}",
            share(fleet.cost_over_quota)
        );
        assert!(
            share(fleet.value_within_quota) >= share(delayed.value_within_quota) / 2.0,
            "value within quotas {}",
            share(fleet.value_within_quota)
        );
    }
}
