//! Cost of a request in the library, by the number of backends, customers and ingresses.

use crate::experiment::{Environment, Experiment, Parameter};
use crate::procfs;
use crate::report::Report;
use crate::simulation::{attempt_served, ingress_settings, ready_endpoints, REQUEST_DEADLINE, SECOND, START};
use crate::statistics::{p50, p99};
use crate::units::NANOS_PER_MICRO;
use hdrhistogram::Histogram;
use ingress::{Action, CustomerId, Duration, EndpointUpdate, Event, Gateway, Instant, Request, RequestId};
use serde::{Deserialize, Serialize};

/// Request rate of one ingress: its share of the design peak of the fleet.
const REQUESTS_PER_SECOND: u64 = 1034;
/// Time from a request to its answer, on the simulated clock.
const ANSWER_DELAY: Duration = Duration::from_micros(900);
/// Duration of an attempt, as reported with its answer.
const REPORTED_ELAPSED: Duration = Duration::from_millis(100);
/// Number of measured requests per warm-up request.
const REQUESTS_PER_WARM_UP_REQUEST: u64 = 10;

/// Lists of sizes. One size is varied at a time, while each of the others has the first value of its list.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestCostExperiment {
    /// Numbers of backends in the list.
    pub backends: Vec<u64>,
    /// Numbers of customers that send requests.
    pub customers: Vec<u64>,
    /// Numbers of ingresses in the fleet.
    pub ingresses: Vec<u64>,
    /// Number of measured requests at each point, after a tenth as many warm-up requests.
    pub requests: u64,
}

/// Sizes that a point is measured at.
#[derive(Clone, Copy, Debug, Serialize)]
struct Size {
    /// Number of backends in the list.
    backends: u64,
    /// Number of customers that send requests.
    customers: u64,
    /// Number of ingresses in the fleet.
    ingresses: u64,
}

/// Cost of requests at one point. Times are those of processing a request and its answer.
#[derive(Debug, Serialize)]
struct Point {
    #[serde(flatten)]
    size: Size,
    /// Number of measured requests.
    requests: u64,
    /// Number of requests sent to a backend.
    sent: u64,
    /// Growth of resident memory during the requests.
    memory_bytes: u64,
    /// Median time.
    p50_us: f64,
    mean_us: f64,
    /// 99th percentile of the time.
    p99_us: f64,
}

/// Measurements of the requests through one ingress.
struct RequestCost {
    /// Processing time of a request and its answer, in nanoseconds.
    time_ns: Histogram<u64>,
    /// Number of requests sent to a backend.
    sent: u64,
    /// Growth of resident memory during the requests, mainly due to the state of customers.
    memory_bytes: u64,
}

impl Experiment for RequestCostExperiment {
    fn name(&self) -> &'static str {
        "request"
    }

    fn parameters(&self) -> Vec<Parameter> {
        vec![
            Parameter::integers("backends", &self.backends),
            Parameter::integers("customers", &self.customers),
            Parameter::integers("ingresses", &self.ingresses),
            Parameter::integer("requests", self.requests),
        ]
    }

    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()> {
        // Keeps all ingresses until the end. A later ingress could otherwise reuse memory that an earlier
        // one freed, and its growth would be measured as too small.
        let mut measured = Vec::new();
        for size in self.points() {
            let mut ingress = LoadedIngress::new(size, environment.seed)?;
            let cost = ingress.measure_requests(self.requests)?;
            let point = Point {
                size,
                requests: self.requests,
                sent: cost.sent,
                memory_bytes: cost.memory_bytes,
                p50_us: p50(&cost.time_ns) as f64 / NANOS_PER_MICRO,
                mean_us: cost.time_ns.mean() / NANOS_PER_MICRO,
                p99_us: p99(&cost.time_ns) as f64 / NANOS_PER_MICRO,
            };
            report.record(self.name(), &point)?;
            measured.push(ingress);
        }
        Ok(())
    }
}

impl RequestCostExperiment {
    /// Returns the sizes of all points, in the order of measurement.
    fn points(&self) -> Vec<Size> {
        let base =
            Size { backends: self.backends[0], customers: self.customers[0], ingresses: self.ingresses[0] };
        let mut points = vec![base];
        points.extend(self.backends[1..].iter().map(|&backends| Size { backends, ..base }));
        points.extend(self.customers[1..].iter().map(|&customers| Size { customers, ..base }));
        points.extend(self.ingresses[1..].iter().map(|&ingresses| Size { ingresses, ..base }));
        points
    }
}

/// Simulated ingress whose requests are all answered in time.
struct LoadedIngress {
    gateway: Gateway,
    /// Current time of the simulated clock.
    now: Instant,
    /// Source of the random choice of customers.
    random: fastrand::Rng,
    /// Number of customers that send requests.
    customers: u64,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
}

impl LoadedIngress {
    /// Creates an ingress and passes it an endpoint list.
    fn new(size: Size, seed: u64) -> anyhow::Result<LoadedIngress> {
        let settings = ingress_settings(u16::try_from(size.ingresses)?, 0);
        let mut gateway = Gateway::new(settings, seed, START);
        let mut actions = Vec::new();
        let endpoints = Event::Endpoints(EndpointUpdate::Snapshot, ready_endpoints(size.backends));
        gateway.handle(START, endpoints, &mut actions);
        let random = fastrand::Rng::with_seed(seed);
        Ok(LoadedIngress { gateway, now: START, random, customers: size.customers, actions })
    }

    /// Measures a number of requests, after the warm-up requests.
    fn measure_requests(&mut self, requests: u64) -> anyhow::Result<RequestCost> {
        let mut time_ns = Histogram::new(3)?;
        let mut sent = 0;
        let warm_up = requests / REQUESTS_PER_WARM_UP_REQUEST;
        let memory_before = procfs::own_resident_memory();
        for number in 0..requests + warm_up {
            self.now += SECOND / REQUESTS_PER_SECOND;
            self.actions.clear();
            let request = self.next_request(number);
            let started_at = std::time::Instant::now();
            let was_sent = self.serve(request);
            if number >= warm_up {
                sent += u64::from(was_sent);
                time_ns.record(started_at.elapsed().as_nanos() as u64)?;
            }
        }
        let memory_bytes = procfs::own_resident_memory().saturating_sub(memory_before);
        Ok(RequestCost { time_ns, sent, memory_bytes })
    }

    /// Creates a request of a random customer.
    fn next_request(&mut self, number: u64) -> Request {
        Request {
            id: RequestId(number),
            deadline: self.now + REQUEST_DEADLINE,
            customer: CustomerId(self.random.u64(0..self.customers)),
            units: 1.0,
            gateway_set_size: 1.0,
            ..Request::default()
        }
    }

    /// Passes a request and its answer to the gateway. Returns whether the gateway sent the request to a
    /// backend.
    fn serve(&mut self, request: Request) -> bool {
        self.gateway.handle(self.now, Event::Request(request), &mut self.actions);
        let backend = self.actions.iter().find_map(|action| match action {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        });
        if let Some(backend) = backend {
            let answer = attempt_served(request.id, 0, backend, REPORTED_ELAPSED);
            self.gateway.handle(self.now + ANSWER_DELAY, answer, &mut self.actions);
        }
        backend.is_some()
    }
}
