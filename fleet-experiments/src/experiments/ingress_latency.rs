//! The latency that a real ingress adds, in front of a backend with a constant service time.

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

/// How long an ingress may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The ingress's limit on memory, in MB.
const MEMORY_MB: u64 = 192;

/// Rates to measure at. Connections have to be many enough that none is late by the request before.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressLatencyExperiment {
    /// Requests a second, in all.
    pub rates: Vec<u64>,
    /// Connections that they are spread over.
    pub connections: u64,
    /// Requests at each rate.
    pub requests: u64,
    /// Backends in the list, all with the same address.
    pub backends: u64,
}

/// Latency at one rate, through the ingress and straight to the backend: times in microseconds.
#[derive(Debug, Serialize)]
struct Point {
    /// Requests a second, in all.
    rate: u64,
    /// Connections that they were spread over.
    connections: u64,
    /// Requests in all.
    requests: u64,
    /// Backends in the list.
    backends: u64,
    /// Requests through the ingress that were served.
    served: u64,
    /// Processor time of the ingress for each request.
    cpu_us_per_request: f64,
    /// Through the ingress, the median.
    ingress_p50_us: u64,
    /// Through the ingress, the 99th percentile.
    ingress_p99_us: u64,
    /// Straight to the backend, the median.
    direct_p50_us: u64,
    /// Straight to the backend, the 99th percentile.
    direct_p99_us: u64,
    /// The difference of the medians.
    added_p50_us: i64,
    /// The difference of the 99th percentiles.
    added_p99_us: i64,
}

/// The measurements of requests at one rate. The latency of a request counts from its scheduled time, also if
/// it was sent late.
struct Measurement {
    /// Latencies in microseconds.
    latency_us: Histogram<u64>,
    /// Requests that were served.
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
    /// The configuration of an ingress that knows its backends from the start.
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

    /// Measures at one rate, first through the ingress.
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

    /// Sends requests at one rate over all connections, a thread each.
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
            let measured = thread.join().map_err(|_| anyhow!("a client panicked"))??;
            all.latency_us.add(&measured.latency_us)?;
            all.served += measured.served;
        }
        Ok(all)
    }
}

/// Sends requests on one connection at scheduled times.
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
