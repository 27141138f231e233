//! The simulation of a fleet before backends of which half restart.

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

/// Customers that requests are of.
const CUSTOMERS: u64 = 1_000_000;
/// The seeds of scenarios are so far apart that no two ingresses share one.
const SEED_STRIDE: u64 = 1000;
/// The least weight of an ingress, by which requests are spread over the fleet.
const MIN_WEIGHT: f64 = 0.3;
/// How much more the largest weight is.
const WEIGHT_RANGE: f64 = 2.7;
/// Every second backend restarts.
const RESTART_STEP: usize = 2;

/// An event that is to come.
enum Scheduled {
    /// A request arrives at an ingress.
    Arrival {
        /// The index of the ingress.
        ingress: usize,
    },
    /// A backend answers an attempt.
    Answer {
        /// The index of the ingress.
        ingress: usize,
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// The index of the backend.
        backend: usize,
        /// When the ingress sent the attempt.
        sent_at: Instant,
    },
    /// A timer of an ingress expires.
    Timer {
        /// The index of the ingress.
        ingress: usize,
        /// The token that the ingress gave the timer.
        token: u32,
    },
    /// An ingress receives the list of the backends that have restarted.
    EndpointUpdate {
        /// The index of the ingress.
        ingress: usize,
    },
}

/// A backend of the simulation.
#[derive(Clone, Default)]
struct Backend {
    /// When it has worked on all requests that were sent to it, in microseconds.
    idle_at_us: f64,
    /// When it was sent requests in its slow start.
    slow_start_sends: Vec<Instant>,
}

/// An ingress of the simulation.
struct SimulatedIngress {
    /// The gateway.
    gateway: Gateway,
    /// Requests that arrive in a second.
    rate: f64,
}

/// A scenario that is simulated.
pub struct Simulation<'a> {
    /// What is simulated.
    scenario: &'a SlowStartScenario,
    /// Draws of weights, arrivals, customers and delays.
    random: fastrand::Rng,
    /// The events to come.
    queue: EventQueue<Scheduled>,
    /// The ingresses by their numbers.
    fleet: Vec<SimulatedIngress>,
    /// The backends by their indices.
    backends: Vec<Backend>,
    /// The index of each backend.
    indices: HashMap<BackendId, usize>,
    /// The identifier of the last request.
    last_request: u64,
    /// The number of the next attempt of each open request.
    attempts: HashMap<RequestId, u16>,
    /// What was counted so far.
    outcome: SlowStartOutcome,
    /// The actions of one event; the allocation is reused.
    actions: Vec<Action>,
}

impl<'a> Simulation<'a> {
    /// A fleet whose ingresses have their endpoint lists and wait for their first requests.
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

    /// Draws how many requests a second arrive at each ingress.
    fn arrival_rates(&mut self) -> Vec<f64> {
        let scenario = self.scenario;
        let weights: Vec<f64> =
            (0..scenario.ingresses).map(|_| MIN_WEIGHT + WEIGHT_RANGE * self.random.f64().powi(2)).collect();
        let rate_per_weight =
            scenario.load * scenario.capacity * scenario.backends as f64 / weights.iter().sum::<f64>();
        weights.iter().map(|weight| rate_per_weight * weight).collect()
    }

    /// Starts an ingress, with its first timer, its first request and the restart of the backends to come.
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

    /// Runs until the slow start is over.
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

    /// The change of the list that reports the restart.
    fn restarted_endpoints(&self, now: Instant) -> Event {
        let restarted = (0..self.backends.len()).step_by(RESTART_STEP);
        let list = restarted.map(|index| endpoint_at(index, now)).collect();
        Event::Endpoints(EndpointUpdate::Delta, list)
    }

    /// The request that arrives at an ingress now, with the one after it scheduled.
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

    /// Sends a request to a backend, whose answer is scheduled.
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

    /// Compares what was sent to the restarted backends with the rule.
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

/// The settings of an ingress, with the scenario's rule.
fn settings(scenario: &SlowStartScenario, number: u16) -> Settings {
    let mut settings = ingress_settings(scenario.ingresses, number);
    settings.rules.slow_start_floor = SLOW_START_FLOOR;
    settings.rules.slow_start_duration = SLOW_START_DURATION;
    settings.rules.overload_factor = scenario.overload_factor;
    settings.rules.overload_window = OVERLOAD_WINDOW;
    settings
}

/// The share of its capacity that a backend of this age serves.
fn capacity_share(age: Duration) -> f64 {
    let age_share = age.as_micros_f64() / SLOW_START_DURATION.as_micros_f64();
    (SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * age_share).min(1.0)
}

/// When a backend last started, as seen at `now`; none for long ago.
fn started_at(index: usize, now: Instant) -> Option<Instant> {
    (index % RESTART_STEP == 0 && now >= RESTART).then_some(RESTART)
}

/// The entry of a backend in the list, as seen at `now`.
fn endpoint_at(index: usize, now: Instant) -> Endpoint {
    endpoint(index as u64, Availability::Ready, started_at(index, now))
}
