//! Polls of a real ingress at a crowded discovery, which lets each of them wait in a queue, and the time
//! until changes of the endpoint list are delivered.

use crate::experiment::{Environment, Experiment, Parameter};
use crate::ingress_process::{check_capacity, DiscoveryMode, IngressConfig, IngressProcess, InitialList};
use crate::report::Report;
use crate::stand_in::discovery::{endpoint_json, list_json, Discovery, EndpointStatus, ListKind};
use crate::statistics::quantile;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time for an ingress to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time to wait for the delivery of the last change. It exceeds the 6 s after which a change counts
/// as delivered, so that late ones are measured.
const OBSERVATION_TIME: Duration = Duration::from_secs(12);
/// Address of the backend. Nothing needs to listen there, as no request is sent.
const BACKEND: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);
/// Number of ingresses that the settings state for the fleet. A small fleet delays its first polls little.
const FLEET_SIZE: u64 = 6;
/// Version of the list in the ingress's configuration. The versions of the changes follow it.
const INITIAL_VERSION: u64 = 1;
/// Memory limit of the ingress, in MB.
const MEMORY_MB: u64 = 64;

/// Times in the queue, and the changes while polls wait in it.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrowdedDiscoveryExperiment {
    /// Times that each poll waits in the queue, in milliseconds.
    pub queue_ms: Vec<u64>,
    /// Number of changes of the list, at each time in the queue.
    pub changes: u64,
    /// Time before each change, in seconds.
    pub change_interval_s: u64,
}

/// Polls and deliveries at one time in the queue.
#[derive(Debug, Serialize)]
struct Point {
    /// Time that each poll waited in the queue.
    queue_ms: u64,
    /// Source of endpoint updates, as in the settings.
    mode: &'static str,
    /// Duration of the measurement.
    elapsed_s: f64,
    /// Number of polls that discovery received.
    polls: usize,
    /// Number of polls that the ingress had given up when discovery answered them.
    given_up: usize,
    /// Number of changes in answered polls.
    delivered: usize,
    /// Median time from a change to the answer that had it; `None` if none was delivered.
    delivery_p50_s: Option<f64>,
    /// Longest time from a change to the answer that had it.
    delivery_max_s: Option<f64>,
}

impl Experiment for CrowdedDiscoveryExperiment {
    fn name(&self) -> &'static str {
        "crowded_discovery"
    }

    fn parameters(&self) -> Vec<Parameter> {
        vec![
            Parameter::integers("queue_ms", &self.queue_ms),
            Parameter::integer("changes", self.changes),
            Parameter::integer("change_interval_s", self.change_interval_s),
        ]
    }

    /// Measures all points at the same time, since an ingress without requests uses little processor time.
    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()> {
        let modes = [DiscoveryMode::Push, DiscoveryMode::Poll];
        check_capacity((self.queue_ms.len() * modes.len()) as u64)?;
        let program = environment.ingress_program;
        let points: Vec<anyhow::Result<Point>> = thread::scope(|scope| {
            let measurements = self.queue_ms.iter().flat_map(|queue_ms| modes.map(|mode| (*queue_ms, mode)));
            let threads: Vec<_> = measurements
                .map(|(queue_ms, mode)| scope.spawn(move || self.measure(queue_ms, mode, program)))
                .collect();
            threads.into_iter().map(|thread| thread.join().expect("a measurement does not panic")).collect()
        });
        for point in points {
            report.record(self.name(), &point?)?;
        }
        Ok(())
    }
}

impl CrowdedDiscoveryExperiment {
    /// Measures the polls of one ingress and the deliveries of all changes.
    fn measure(&self, queue_ms: u64, mode: DiscoveryMode, program: &Path) -> anyhow::Result<Point> {
        let discovery = Discovery::start_crowded(Duration::from_millis(queue_ms))?;
        let ingress = IngressProcess::start(program, &config(discovery.address, mode))?;
        ingress.wait_until_ready(START_TIMEOUT)?;
        let changed_at: Vec<Instant> = (1..=self.changes)
            .map(|change| {
                thread::sleep(Duration::from_secs(self.change_interval_s));
                publish_change(&discovery, INITIAL_VERSION + change);
                Instant::now()
            })
            .collect();
        discovery.wait_for_delivery(INITIAL_VERSION + self.changes, OBSERVATION_TIME);
        let delivered = (INITIAL_VERSION + 1..).zip(&changed_at).filter_map(|(version, changed_at)| {
            let delivered_at = discovery.delivered_at(version)?;
            Some(delivered_at.saturating_duration_since(*changed_at).as_secs_f64())
        });
        let mut delays: Vec<f64> = delivered.collect();
        delays.sort_unstable_by(f64::total_cmp);
        Ok(Point {
            queue_ms,
            mode: mode.name(),
            elapsed_s: ingress.started_at.elapsed().as_secs_f64(),
            polls: discovery.poll_count(),
            given_up: discovery.given_up_count(),
            delivered: delays.len(),
            delivery_p50_s: quantile(&delays, 0.5),
            delivery_max_s: quantile(&delays, 1.0),
        })
    }
}

/// Returns the configuration of an ingress that starts with an empty list.
fn config(discovery: SocketAddr, mode: DiscoveryMode) -> IngressConfig {
    IngressConfig {
        number: 0,
        fleet_size: FLEET_SIZE,
        discovery,
        mode,
        initial_list: InitialList { version: INITIAL_VERSION, endpoints: Vec::new() },
        memory_mb: MEMORY_MB,
    }
}

/// Publishes a version in which the backend is available or draining, in turn.
fn publish_change(discovery: &Discovery, version: u64) {
    let status = if version % 2 == 0 { EndpointStatus::Up } else { EndpointStatus::Draining };
    let endpoint = endpoint_json(0, BACKEND, status);
    discovery.publish(version, list_json(version, ListKind::Delta, &[endpoint]));
}
