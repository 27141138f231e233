//! Requests through the module: what one costs by the number of backends, customers and peers.

use crate::experiment_file::{whole as amounts_of, Amounts};
use crate::report::Report;
use crate::simulation::*;
use hdrhistogram::Histogram;
use ingress::*;
use serde::Deserialize;
use serde_json::json;
use std::time::Instant;

/// Sizes to measure at: each list is varied with the others at their first value.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Backends in the list.
    pub backends: Vec<u64>,
    /// Customers that ask.
    pub customers: Vec<u64>,
    /// Ingresses in the fleet.
    pub ingresses: Vec<u64>,
    /// Requests at each point, after a tenth as many that are not counted.
    pub requests: u64,
}

/// What requests came to.
pub struct Cost {
    /// Nanoseconds of each request with its answer.
    pub time: Histogram<u64>,
    /// Requests that were sent on.
    pub sent: u64,
    /// Bytes that the ingress grew by under the requests: customers' records, for the most part.
    pub memory: u64,
    /// The ingress: what one frees must not pass for what the next one does not take.
    pub gateway: Gateway,
}

/// Drives one hollow ingress at some thousand requests a second, all answered in time.
pub fn drive(
    backends: u64,
    customers: u64,
    ingresses: u16,
    requests: u64,
    seed: u64,
) -> anyhow::Result<Cost> {
    let mut gateway = Gateway::new(settings(ingresses, 0), seed, T0);
    let (mut now, mut actions) = (T0, Vec::new());
    gateway.handle(now, Event::Endpoints(EndpointUpdate::Snapshot, whole(backends)), &mut actions);
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut time, mut all_sent) = (Histogram::new(3)?, 0);
    let before = resident();
    for n in 0..requests + requests / 10 {
        now += S / 1034;
        actions.clear();
        let request = Request {
            id: RequestId(n),
            deadline: now + 3 * S,
            customer: CustomerId(random.u64(0..customers)),
            units: 1.0,
            gateway_set_size: 1.0,
            ..Request::default()
        };
        let began = Instant::now();
        gateway.handle(now, Event::Request(request), &mut actions);
        let sent = actions.iter().find_map(|a| match a {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        });
        if let Some(backend) = sent {
            gateway.handle(now + 900, served(request.id, 0, backend, 100_000), &mut actions);
        }
        if n >= requests / 10 {
            all_sent += u64::from(sent.is_some());
            time.record(began.elapsed().as_nanos() as u64)?;
        }
    }
    Ok(Cost { time, sent: all_sent, memory: resident().saturating_sub(before), gateway })
}

impl Experiment {
    /// What is to be checked.
    pub fn amounts(&self) -> Amounts {
        vec![
            ("request.backends", amounts_of(&self.backends)),
            ("request.customers", amounts_of(&self.customers)),
            ("request.ingresses", amounts_of(&self.ingresses)),
            ("request.requests", vec![self.requests as f64]),
        ]
    }

    /// Runs it: a point for each size, times in microseconds, memory in bytes.
    pub fn run(&self, seed: u64, report: &mut Report) -> anyhow::Result<()> {
        let base = (self.backends[0], self.customers[0], self.ingresses[0]);
        let mut points: Vec<(u64, u64, u64)> = self.backends.iter().map(|b| (*b, base.1, base.2)).collect();
        points.extend(self.customers.iter().skip(1).map(|c| (base.0, *c, base.2)));
        points.extend(self.ingresses.iter().skip(1).map(|i| (base.0, base.1, *i)));
        let mut kept = Vec::new();
        for (backends, customers, ingresses) in points {
            let peers = u16::try_from(ingresses)?;
            let cost = drive(backends, customers, peers, self.requests, seed)?;
            report.point(
                "request",
                json!({
                    "backends": backends, "customers": customers, "ingresses": ingresses,
                    "requests": self.requests, "sent": cost.sent, "memory": cost.memory,
                    "p50_us": cost.time.value_at_quantile(0.5) as f64 / 1e3,
                    "mean_us": cost.time.mean() / 1e3,
                    "p99_us": cost.time.value_at_quantile(0.99) as f64 / 1e3,
                }),
            )?;
            kept.push(cost.gateway);
        }
        Ok(())
    }
}
