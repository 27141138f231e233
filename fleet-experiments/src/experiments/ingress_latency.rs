//! Latency that a real ingress adds to requests to a backend with a constant service time.

use crate::client::Client;
use crate::experiment::{Environment, Experiment, Parameter};
use crate::ingress_process::{check_capacity, DiscoveryMode, IngressConfig, IngressProcess, InitialList};
use crate::report::Report;
use crate::stand_in::backend;
use crate::stand_in::discovery::{endpoint_json, Discovery, EndpointStatus};
use crate::statistics::{p50, p99};
use crate::units::MICROS_PER_SECOND;
use anyhow::anyhow;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time for an ingress to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Memory limit of the ingress, in MB.
const MEMORY_MB: u64 = 192;

/// Request rates, and the number of connections and requests at each of them. With too few connections, a
/// request is delayed by the previous one on its connection.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressLatencyExperiment {
    /// Request rates to measure at, in requests per second over all connections.
    pub rates: Vec<u64>,
    /// Number of connections that the requests are distributed over.
    pub connections: u64,
    /// Number of requests at each rate.
    pub requests: u64,
    /// Number of backends in the list, all with the same address.
    pub backends: u64,
}

/// Latency through the ingress and directly to the backend, at one rate.
#[derive(Debug, Serialize)]
struct Point {
    /// Requests per second over all connections.
    rate: u64,
    connections: u64,
    requests: u64,
    /// Number of backends in the list.
    backends: u64,
    /// Number of requests through the ingress that were served.
    served: u64,
    /// Processor time of the ingress per request.
    cpu_us_per_request: f64,
    /// Median latency through the ingress.
    ingress_p50_us: u64,
    /// 99th percentile of the latency through the ingress.
    ingress_p99_us: u64,
    /// Median latency directly to the backend.
    direct_p50_us: u64,
    /// 99th percentile of the latency directly to the backend.
    direct_p99_us: u64,
    /// Difference of the medians.
    added_p50_us: i64,
    /// Difference of the 99th percentiles.
    added_p99_us: i64,
}

/// Measurements at one rate. The latency of a request counts from its scheduled time even if the request is
/// sent late, to avoid coordinated omission.
struct Measurement {
    latency_us: Histogram<u64>,
    /// Number of served requests.
    served: u64,
}

impl Experiment for IngressLatencyExperiment {
    fn name(&self) -> &'static str {
        "ingress_latency"
    }

    fn parameters(&self) -> Vec<Parameter> {
        vec![
            Parameter::integers("rates", &self.rates),
            Parameter::integer("connections", self.connections),
            Parameter::integer("requests", self.requests),
            Parameter::integer("backends", self.backends),
        ]
    }

    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()> {
        check_capacity(1)?;
        let backend = backend::start()?;
        let discovery = Discovery::start()?;
        let config = self.config(backend, discovery.address);
        for &rate in &self.rates {
            let ingress = IngressProcess::start(environment.ingress_program, &config)?;
            ingress.wait_until_ready(START_TIMEOUT)?;
            report.record(self.name(), &self.measure(rate, &ingress, backend)?)?;
        }
        Ok(())
    }
}

impl IngressLatencyExperiment {
    /// Returns the configuration of an ingress that starts with all backends in its list.
    fn config(&self, backend: SocketAddr, discovery: SocketAddr) -> IngressConfig {
        let endpoints =
            (0..self.backends).map(|number| endpoint_json(number, backend, EndpointStatus::Up)).collect();
        IngressConfig {
            number: 0,
            fleet_size: 1,
            discovery,
            mode: DiscoveryMode::Push,
            initial_list: InitialList { version: 1, endpoints },
            memory_mb: MEMORY_MB,
        }
    }

    /// Measures the latency at one rate, first through the ingress and then directly to the backend.
    fn measure(&self, rate: u64, ingress: &IngressProcess, backend: SocketAddr) -> anyhow::Result<Point> {
        let cpu_before = ingress.cpu_seconds();
        let Measurement { latency_us: through_ingress, served } =
            self.send_requests(ingress.address, rate)?;
        let cpu_seconds = ingress.cpu_seconds() - cpu_before;
        let direct = self.send_requests(backend, rate)?.latency_us;
        Ok(Point {
            rate,
            connections: self.connections,
            requests: self.requests,
            backends: self.backends,
            served,
            cpu_us_per_request: cpu_seconds / self.requests as f64 * MICROS_PER_SECOND,
            ingress_p50_us: p50(&through_ingress),
            ingress_p99_us: p99(&through_ingress),
            direct_p50_us: p50(&direct),
            direct_p99_us: p99(&direct),
            added_p50_us: p50(&through_ingress) as i64 - p50(&direct) as i64,
            added_p99_us: p99(&through_ingress) as i64 - p99(&direct) as i64,
        })
    }

    /// Sends requests at one rate, evenly distributed over the connections. Each connection has its own
    /// thread.
    fn send_requests(&self, address: SocketAddr, rate: u64) -> anyhow::Result<Measurement> {
        let mut threads = Vec::new();
        for number in 0..self.connections {
            let client = Client::connect(address, number)?;
            let interval = Duration::from_secs_f64(self.connections as f64 / rate as f64);
            let first = Instant::now() + interval.mul_f64(number as f64 / self.connections as f64);
            let requests = self.requests / self.connections;
            threads.push(thread::spawn(move || send_on_schedule(client, first, interval, requests)));
        }
        let mut all = Measurement { latency_us: Histogram::new(3)?, served: 0 };
        for thread in threads {
            let measured = thread.join().map_err(|_| anyhow!("a client thread panicked"))??;
            all.latency_us.add(&measured.latency_us)?;
            all.served += measured.served;
        }
        Ok(all)
    }
}

/// Sends requests at regular intervals on one connection.
fn send_on_schedule(
    mut client: Client,
    first: Instant,
    interval: Duration,
    requests: u64,
) -> anyhow::Result<Measurement> {
    let mut measured = Measurement { latency_us: Histogram::new(3)?, served: 0 };
    for number in 0..requests {
        let due = first + interval * number as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        measured.served += u64::from(client.request()?);
        measured.latency_us.record(due.elapsed().as_micros() as u64)?;
    }
    Ok(measured)
}
