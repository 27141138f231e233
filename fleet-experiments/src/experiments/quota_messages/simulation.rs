//! Simulation of a fleet whose ingresses exchange messages about the quotas of their customers.

use super::{FleetLoad, Traffic, WARM_UP_SECONDS};
use crate::simulation::{
    attempt_served, draw_duration, ingress_settings, poisson_interval, ready_endpoints, EventQueue,
    FIRST_TIMER_DELAY, REQUEST_DEADLINE, SECOND, SERVICE_TIME, START,
};
use ingress::{
    Action, BackendId, CustomerId, Duration, EndpointUpdate, Event, Gateway, GatewayId, Instant, Request,
    RequestId, Settings,
};
use std::collections::HashMap;
use std::ops::Range;

/// Number of backends of the fleet.
const BACKENDS: u64 = 32;
/// Ratio of a customer's quota to its usage.
const QUOTA_TO_USAGE_RATIO: f64 = 3.0;
/// Burst of a quota, in seconds at its rate.
const BURST_SECONDS: f64 = 3.0;
/// Minimum burst, in requests.
const MIN_BURST: f64 = 4.0;
/// Range from which the delay of a message between ingresses is drawn.
const MESSAGE_DELAY: Range<Duration> = Duration::from_micros(500)..Duration::from_millis(3);
/// Number of intervals per second. A receiver's rate limit applies to each interval as a whole, since a
/// sender may be slightly ahead of its rate.
const INTERVALS_PER_SECOND: u64 = 10;

/// Event in the queue of the simulation.
enum Scheduled {
    /// A request arrives at an ingress.
    Arrival {
        /// Index of the ingress.
        ingress: usize,
    },
    /// A timer of an ingress expires.
    Timer {
        /// Index of the ingress.
        ingress: usize,
        /// Token that the ingress assigned to the timer.
        token: u32,
    },
    /// A backend answers a request.
    Answer {
        /// Index of the ingress.
        ingress: usize,
        id: RequestId,
        backend: BackendId,
        /// Time at which the ingress sent the request.
        sent_at: Instant,
    },
    /// A message arrives at an ingress.
    Message {
        /// Index of the receiver.
        ingress: usize,
        /// Sender of the message.
        from: GatewayId,
        /// Encoded message.
        bytes: Vec<u8>,
    },
}

/// Interval over which the messages to one ingress are counted.
#[derive(PartialEq, Eq, Hash)]
struct ReceiveInterval {
    /// Index of the ingress.
    ingress: usize,
    /// Number of the interval, counted from time 0 of the simulated clock.
    number: u64,
}

/// Simulation of a fleet under load.
pub struct Simulation<'a> {
    load: &'a FleetLoad,
    /// Source of arrivals, customers and delays.
    random: fastrand::Rng,
    queue: EventQueue<Scheduled>,
    /// Ingresses by number.
    fleet: Vec<Gateway>,
    /// Id of the last request.
    last_request: u64,
    /// Number of messages that arrived at an ingress in an interval.
    received: HashMap<ReceiveInterval, u64>,
    /// Maximum number of messages that an ingress accepts in an interval.
    max_messages_per_interval: u64,
    /// Counts so far.
    traffic: Traffic,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
}

impl<'a> Simulation<'a> {
    /// Creates a fleet whose ingresses have their endpoint lists, and schedules their first requests.
    pub fn new(load: &'a FleetLoad) -> Self {
        let messages_per_second = ingress_settings(load.ingresses, 0).limits.peer_messages_per_second as u64;
        let mut simulation = Simulation {
            load,
            random: fastrand::Rng::with_seed(load.seed),
            queue: EventQueue::default(),
            fleet: Vec::new(),
            last_request: 0,
            received: HashMap::new(),
            max_messages_per_interval: messages_per_second.div_ceil(INTERVALS_PER_SECOND),
            traffic: Traffic::default(),
            actions: Vec::new(),
        };
        for number in 0..load.ingresses {
            simulation.start_ingress(number);
        }
        simulation
    }

    /// Starts an ingress, and schedules its first timer and its first request.
    fn start_ingress(&mut self, number: u16) {
        let load = self.load;
        let ingress = usize::from(number);
        let mut gateway = Gateway::new(settings(load, number), load.seed + u64::from(number), START);
        let endpoints = Event::Endpoints(EndpointUpdate::CachedSnapshot, ready_endpoints(BACKENDS));
        gateway.handle(START, endpoints, &mut self.actions);
        self.actions.clear();
        self.fleet.push(gateway);
        let first_timer = START + draw_duration(&mut self.random, FIRST_TIMER_DELAY);
        self.queue.schedule(first_timer, Scheduled::Timer { ingress, token: 0 });
        let first_arrival = START + poisson_interval(&mut self.random, load.rate);
        self.queue.schedule(first_arrival, Scheduled::Arrival { ingress });
    }

    /// Runs until the simulated time is over.
    pub fn run(mut self) -> Traffic {
        let end = START + Duration::from_secs(self.load.seconds);
        while let Some((now, scheduled)) = self.queue.pop() {
            if now > end {
                break;
            }
            let counted = u64::from(now > START + Duration::from_secs(WARM_UP_SECONDS));
            let (ingress, event) = match scheduled {
                Scheduled::Timer { ingress, token } => (ingress, Event::Timer(token)),
                Scheduled::Answer { ingress, id, backend, sent_at } => {
                    (ingress, attempt_served(id, 0, backend, now.duration_since(sent_at)))
                }
                Scheduled::Message { ingress, from, bytes } => {
                    if !self.accept_message(ingress, now) {
                        self.traffic.dropped += counted;
                        continue;
                    }
                    (ingress, Event::PeerMessage { from, bytes })
                }
                Scheduled::Arrival { ingress } => {
                    self.traffic.requests += counted;
                    (ingress, Event::Request(self.next_request(ingress, now)))
                }
            };
            self.fleet[ingress].handle(now, event, &mut self.actions);
            self.execute(ingress, now, counted);
        }
        self.traffic
    }

    /// Counts a message to an ingress. Returns whether the ingress accepts it.
    fn accept_message(&mut self, ingress: usize, now: Instant) -> bool {
        let interval = ReceiveInterval { ingress, number: now.period_index(SECOND / INTERVALS_PER_SECOND) };
        let received = self.received.entry(interval).or_default();
        *received += 1;
        *received <= self.max_messages_per_interval
    }

    /// Returns the request that arrives at an ingress now, and schedules the next arrival.
    fn next_request(&mut self, ingress: usize, now: Instant) -> Request {
        let next_arrival = now + poisson_interval(&mut self.random, self.load.rate);
        self.queue.schedule(next_arrival, Scheduled::Arrival { ingress });
        self.last_request += 1;
        // Picks a customer whose gateway set includes this ingress.
        let ingresses = u64::from(self.load.ingresses);
        let set_size = u64::from(self.load.gateway_set_size);
        let set_start = (ingress as u64 + ingresses - self.random.u64(0..set_size)) % ingresses;
        let customers = self.load.customers_per_ingress;
        Request {
            id: RequestId(self.last_request),
            deadline: now + REQUEST_DEADLINE,
            customer: CustomerId(set_start * customers + self.random.u64(0..customers)),
            units: 1.0,
            gateway_set_size: f64::from(self.load.gateway_set_size),
            gateway_set_start: set_start as f64,
            ..Request::default()
        }
    }

    /// Executes the actions of an ingress.
    fn execute(&mut self, ingress: usize, now: Instant, counted: u64) {
        for action in self.actions.drain(..) {
            match action {
                Action::SetTimer { delay, token } => {
                    self.queue.schedule(now + delay, Scheduled::Timer { ingress, token });
                }
                Action::Send { id, backend, .. } => {
                    self.traffic.sent += counted;
                    let answered_at = now + draw_duration(&mut self.random, SERVICE_TIME);
                    let answer = Scheduled::Answer { ingress, id, backend, sent_at: now };
                    self.queue.schedule(answered_at, answer);
                }
                Action::SendToPeer { to: Some(to), bytes } => {
                    self.traffic.messages += counted;
                    self.traffic.bytes += counted * bytes.len() as u64;
                    let received_at = now + draw_duration(&mut self.random, MESSAGE_DELAY);
                    let receiver = usize::from(to.0);
                    let from = GatewayId(ingress as u16);
                    self.queue.schedule(received_at, Scheduled::Message { ingress: receiver, from, bytes });
                }
                _ => {}
            }
        }
    }
}

/// Returns the settings of an ingress, in which quotas are a multiple of the usage.
fn settings(load: &FleetLoad, number: u16) -> Settings {
    let mut settings = ingress_settings(load.ingresses, number);
    settings.limits.peer_messages = true;
    let quota_per_ingress = load.rate / load.customers_per_ingress as f64 * QUOTA_TO_USAGE_RATIO;
    let rate = quota_per_ingress * f64::from(load.gateway_set_size);
    settings.plans[0].rate = rate;
    settings.plans[0].burst = (rate * BURST_SECONDS).max(MIN_BURST);
    settings
}
