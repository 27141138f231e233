//! Simulation of a fleet while half of its backends restart.

use super::overload_rule::{
    budget_used, peak_window, OVERLOAD_WINDOW, RESTART, SLOW_START_DURATION, SLOW_START_END, SLOW_START_FLOOR,
};
use super::{SlowStartOutcome, SlowStartScenario};
use crate::simulation::{
    attempt_served, draw_duration, endpoint, ingress_settings, poisson_interval, EventQueue,
    FIRST_TIMER_DELAY, REQUEST_DEADLINE, SECOND, SERVICE_TIME, START,
};
use ingress::{
    Action, Availability, BackendId, CustomerId, Duration, Endpoint, EndpointUpdate, Event, Gateway, Instant,
    Request, RequestId, Settings,
};
use std::collections::HashMap;

/// Number of customers that send requests.
const CUSTOMERS: u64 = 1_000_000;
/// Distance between the gateway seeds of two scenarios, so that no two ingresses share a seed.
const SEED_STRIDE: u64 = 1000;
/// Minimum weight of an ingress. Requests are distributed over the fleet by weight.
const MIN_WEIGHT: f64 = 0.3;
/// Difference between the maximum and the minimum weight.
const WEIGHT_RANGE: f64 = 2.7;
/// Every second backend restarts.
const RESTART_STEP: usize = 2;

/// Event in the queue of the simulation.
enum Scheduled {
    /// A request arrives at an ingress.
    Arrival {
        /// Index of the ingress.
        ingress: usize,
    },
    /// A backend answers an attempt.
    Answer {
        /// Index of the ingress.
        ingress: usize,
        id: RequestId,
        attempt: u16,
        /// Index of the backend.
        backend: usize,
        /// Time at which the ingress sent the attempt.
        sent_at: Instant,
    },
    /// A timer of an ingress expires.
    Timer {
        /// Index of the ingress.
        ingress: usize,
        /// Token that the ingress assigned to the timer.
        token: u32,
    },
    /// An ingress receives the list of the restarted backends.
    EndpointUpdate {
        /// Index of the ingress.
        ingress: usize,
    },
}

/// Simulated backend with a queue.
#[derive(Clone, Default)]
struct Backend {
    /// Time at which the queue of the backend is empty, in microseconds.
    idle_at_us: f64,
    /// Times at which requests were sent to the backend during its slow start.
    slow_start_sends: Vec<Instant>,
}

/// Gateway and its share of the load.
struct SimulatedIngress {
    gateway: Gateway,
    /// Requests per second that arrive at the ingress.
    rate: f64,
}

/// Simulation of one scenario.
pub struct Simulation<'a> {
    scenario: &'a SlowStartScenario,
    /// Source of weights, arrivals, customers and delays.
    random: fastrand::Rng,
    queue: EventQueue<Scheduled>,
    /// Ingresses by number.
    fleet: Vec<SimulatedIngress>,
    backends: Vec<Backend>,
    /// Index in `backends` of each backend.
    indices: HashMap<BackendId, usize>,
    /// Id of the last request.
    last_request: u64,
    /// Number of the next attempt of each open request.
    attempts: HashMap<RequestId, u16>,
    /// Results so far.
    outcome: SlowStartOutcome,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
}

impl<'a> Simulation<'a> {
    /// Creates a fleet whose ingresses have their endpoint lists, and schedules their first requests.
    pub fn new(scenario: &'a SlowStartScenario) -> Self {
        let backends = scenario.backends as usize;
        let mut simulation = Simulation {
            scenario,
            random: fastrand::Rng::with_seed(scenario.seed),
            queue: EventQueue::default(),
            fleet: Vec::new(),
            backends: vec![Backend::default(); backends],
            indices: (0..backends).map(|index| (endpoint_at(index, START).backend, index)).collect(),
            last_request: 0,
            attempts: HashMap::new(),
            outcome: SlowStartOutcome::default(),
            actions: Vec::new(),
        };
        for (number, rate) in simulation.arrival_rates().into_iter().enumerate() {
            simulation.start_ingress(number, rate);
        }
        simulation
    }

    /// Draws the rate of arrivals at each ingress, in requests per second.
    fn arrival_rates(&mut self) -> Vec<f64> {
        let scenario = self.scenario;
        let weights: Vec<f64> =
            (0..scenario.ingresses).map(|_| MIN_WEIGHT + WEIGHT_RANGE * self.random.f64().powi(2)).collect();
        let rate_per_weight =
            scenario.load * scenario.capacity * scenario.backends as f64 / weights.iter().sum::<f64>();
        weights.iter().map(|weight| rate_per_weight * weight).collect()
    }

    /// Starts an ingress, and schedules its first timer, its first request and the restart of the backends.
    fn start_ingress(&mut self, ingress: usize, rate: f64) {
        let seed = self.scenario.seed * SEED_STRIDE + ingress as u64;
        let mut gateway = Gateway::new(settings(self.scenario, ingress as u16), seed, START);
        let list = (0..self.backends.len()).map(|index| endpoint_at(index, START)).collect();
        gateway.handle(START, Event::Endpoints(EndpointUpdate::CachedSnapshot, list), &mut self.actions);
        self.actions.clear();
        self.fleet.push(SimulatedIngress { gateway, rate });
        let first_timer = START + draw_duration(&mut self.random, FIRST_TIMER_DELAY);
        self.queue.schedule(first_timer, Scheduled::Timer { ingress, token: 0 });
        let first_arrival = START + poisson_interval(&mut self.random, rate);
        self.queue.schedule(first_arrival, Scheduled::Arrival { ingress });
        self.queue.schedule(RESTART, Scheduled::EndpointUpdate { ingress });
    }

    /// Runs until the end of the slow start.
    pub fn run(mut self) -> SlowStartOutcome {
        while let Some((now, scheduled)) = self.queue.pop() {
            if now > SLOW_START_END {
                break;
            }
            let (ingress, event) = match scheduled {
                Scheduled::Timer { ingress, token } => (ingress, Event::Timer(token)),
                Scheduled::EndpointUpdate { ingress } => (ingress, self.restarted_endpoints(now)),
                Scheduled::Answer { ingress, id, attempt, backend, sent_at } => {
                    self.outcome.served += 1;
                    self.attempts.remove(&id);
                    let backend = endpoint_at(backend, now).backend;
                    (ingress, attempt_served(id, attempt, backend, now.duration_since(sent_at)))
                }
                Scheduled::Arrival { ingress } => (ingress, Event::Request(self.next_request(ingress, now))),
            };
            self.fleet[ingress].gateway.handle(now, event, &mut self.actions);
            self.execute(ingress, now);
        }
        self.finish()
    }

    /// Returns the update that reports the restarted backends.
    fn restarted_endpoints(&self, now: Instant) -> Event {
        let restarted = (0..self.backends.len()).step_by(RESTART_STEP);
        let list = restarted.map(|index| endpoint_at(index, now)).collect();
        Event::Endpoints(EndpointUpdate::Delta, list)
    }

    /// Returns the request that arrives at an ingress now, and schedules the next arrival.
    fn next_request(&mut self, ingress: usize, now: Instant) -> Request {
        let next_arrival = now + poisson_interval(&mut self.random, self.fleet[ingress].rate);
        self.queue.schedule(next_arrival, Scheduled::Arrival { ingress });
        self.last_request += 1;
        Request {
            id: RequestId(self.last_request),
            deadline: now + REQUEST_DEADLINE,
            customer: CustomerId(self.random.u64(0..CUSTOMERS)),
            units: 1.0,
            gateway_set_size: 1.0,
            gateway_set_start: ingress as f64,
            ..Request::default()
        }
    }

    /// Executes the actions of an ingress.
    fn execute(&mut self, ingress: usize, now: Instant) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::SetTimer { delay, token } => {
                    self.queue.schedule(now + delay, Scheduled::Timer { ingress, token });
                }
                Action::Send { id, backend, .. } => self.send(ingress, id, self.indices[&backend], now),
                Action::Reject { .. } | Action::Fail(_) => self.outcome.rejected += 1,
                _ => {}
            }
        }
        self.actions = actions;
    }

    /// Sends an attempt to a backend and schedules its answer.
    fn send(&mut self, ingress: usize, id: RequestId, index: usize, now: Instant) {
        let mut answered_at = now + draw_duration(&mut self.random, SERVICE_TIME);
        let backend = &mut self.backends[index];
        let restarted_at = started_at(index, now);
        if self.scenario.queueing {
            let capacity_share = restarted_at.map_or(1.0, |at| capacity_share(now.duration_since(at)));
            let work = SECOND.as_micros_f64() / self.scenario.capacity / capacity_share;
            backend.idle_at_us = f64::max(backend.idle_at_us, now.as_micros() as f64) + work;
            answered_at += Instant::from_micros(backend.idle_at_us as u64).duration_since(now);
        }
        if restarted_at.is_some() {
            backend.slow_start_sends.push(now);
        }
        let attempt = self.attempts.entry(id).or_default();
        let answer = Scheduled::Answer { ingress, id, attempt: *attempt, backend: index, sent_at: now };
        *attempt += 1;
        self.queue.schedule(answered_at, answer);
    }

    /// Compares the requests sent to the restarted backends with the overload rule.
    fn finish(mut self) -> SlowStartOutcome {
        let restarted = self.backends.len().div_ceil(RESTART_STEP) as f64;
        for backend in self.backends.iter().step_by(RESTART_STEP) {
            let sends = &backend.slow_start_sends;
            self.outcome.budget_used += budget_used(self.scenario, sends) / restarted;
            self.outcome.peak_window = self.outcome.peak_window.max(peak_window(self.scenario, sends));
        }
        self.outcome
    }
}

/// Returns the settings of an ingress, with the overload rule of the scenario.
fn settings(scenario: &SlowStartScenario, number: u16) -> Settings {
    let mut settings = ingress_settings(scenario.ingresses, number);
    settings.rules.slow_start_floor = SLOW_START_FLOOR;
    settings.rules.slow_start_duration = SLOW_START_DURATION;
    settings.rules.overload_factor = scenario.overload_factor;
    settings.rules.overload_window = OVERLOAD_WINDOW;
    settings
}

/// Returns the share of its capacity that a backend serves at the given age.
fn capacity_share(age: Duration) -> f64 {
    let age_share = age.as_micros_f64() / SLOW_START_DURATION.as_micros_f64();
    (SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * age_share).min(1.0)
}

/// Returns the time at which a backend last started, as of `now`; `None` if the backend is past its slow
/// start.
fn started_at(index: usize, now: Instant) -> Option<Instant> {
    (index % RESTART_STEP == 0 && now >= RESTART).then_some(RESTART)
}

/// Returns the entry of a backend in the endpoint list, as of `now`.
fn endpoint_at(index: usize, now: Instant) -> Endpoint {
    endpoint(index as u64, Availability::Ready, started_at(index, now))
}
