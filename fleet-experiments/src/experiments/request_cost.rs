//! Requests through the library: the cost of one by the number of backends, customers and ingresses.

use crate::experiment::{Environment, Experiment, Parameter};
use crate::procfs;
use crate::report::Report;
use crate::simulation::{attempt_served, ingress_settings, ready_endpoints, REQUEST_DEADLINE, SECOND, START};
use crate::statistics::{p50, p99};
use crate::units::NANOS_PER_MICRO;
use hdrhistogram::Histogram;
use ingress::{Action, CustomerId, Duration, EndpointUpdate, Event, Gateway, Instant, Request, RequestId};
use serde::{Deserialize, Serialize};

/// Requests a second that an ingress gets: its part of the peak that the fleet is designed for.
const REQUESTS_PER_SECOND: u64 = 1034;
/// The time from a request to its answer.
const ANSWER_DELAY: Duration = Duration::from_micros(900);
/// The time in flight that an answer reports.
const REPORTED_ELAPSED: Duration = Duration::from_millis(100);
/// One warm-up request is sent for so many that are measured.
const REQUESTS_PER_WARM_UP_REQUEST: u64 = 10;

/// Parameter to measure at: each list is varied with the others at their first value.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestCostExperiment {
    /// Backends in the list.
    pub backends: Vec<u64>,
    /// Customers that send requests.
    pub customers: Vec<u64>,
    /// Ingresses in the fleet.
    pub ingresses: Vec<u64>,
    /// Requests at each point, after a tenth as many that are not counted.
    pub requests: u64,
}

/// The sizes of one point.
#[derive(Clone, Copy, Debug, Serialize)]
struct Size {
    /// Backends in the list.
    backends: u64,
    /// Customers that send requests.
    customers: u64,
    /// Ingresses in the fleet.
    ingresses: u64,
}

/// The costs of requests at one point: times in microseconds.
#[derive(Debug, Serialize)]
struct Point {
    /// The sizes.
    #[serde(flatten)]
    size: Size,
    /// Requests that were counted.
    requests: u64,
    /// Requests that were sent to a backend.
    sent: u64,
    /// Bytes that the ingress grew by under the requests.
    memory_bytes: u64,
    /// One request with its answer, the median.
    p50_us: f64,
    /// The same, the mean.
    mean_us: f64,
    /// The same, the 99th percentile.
    p99_us: f64,
}

/// The measurements of requests through one ingress.
struct RequestCost {
    /// Nanoseconds of each request with its answer.
    time_ns: Histogram<u64>,
    /// Requests that were sent to a backend.
    sent: u64,
    /// Bytes that the ingress grew by under the requests: customers' records, for the most part.
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
        // Dropped only at the end: memory that one ingress frees must not pass for memory that the next one
        // does not need.
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
    /// The sizes of all points, in the order in which they are measured.
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

/// A simulated ingress under requests that are all answered in time.
struct LoadedIngress {
    /// The gateway.
    gateway: Gateway,
    /// The simulated clock.
    now: Instant,
    /// Draws of customers.
    random: fastrand::Rng,
    /// Customers that send requests.
    customers: u64,
    /// The actions of one event; the allocation is reused.
    actions: Vec<Action>,
}

impl LoadedIngress {
    /// An ingress that has its endpoint list.
    fn new(size: Size, seed: u64) -> anyhow::Result<LoadedIngress> {
        let settings = ingress_settings(u16::try_from(size.ingresses)?, 0);
        let mut gateway = Gateway::new(settings, seed, START);
        let mut actions = Vec::new();
        let endpoints = Event::Endpoints(EndpointUpdate::Snapshot, ready_endpoints(size.backends));
        gateway.handle(START, endpoints, &mut actions);
        let random = fastrand::Rng::with_seed(seed);
        Ok(LoadedIngress { gateway, now: START, random, customers: size.customers, actions })
    }

    /// Sends it requests, the first of which are not counted.
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

    /// A request of any customer.
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

    /// Hands the ingress a request and its answer; false if it sent the request nowhere.
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
