//! Cost of the endpoint list in a real ingress with a discovery agent on its machine, by the size of the
//! list: time to apply a snapshot, processor time and memory.

use crate::experiment::{Environment, Experiment, Parameter};
use crate::ingress_process::{check_capacity, DiscoveryMode, IngressConfig, IngressProcess, InitialList};
use crate::report::Report;
use crate::stand_in::discovery::{endpoint_json, list_json, Discovery, EndpointStatus, ListKind};
use crate::units::MICROS_PER_SECOND;
use anyhow::ensure;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

/// Maximum time for an ingress to start, and to apply a change.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for an ingress to apply a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);
/// Address of all backends. Nothing needs to listen there, as no request is sent.
const BACKEND: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);
/// Number of ingresses that the settings state for the fleet.
const FLEET_SIZE: u64 = 2900;
/// Version of the snapshot. The versions of the changes follow it.
const SNAPSHOT_VERSION: u64 = 2;
/// Distance in the list between two backends that change in succession.
const CHANGE_STRIDE: u64 = 7919;

/// Sizes of the endpoint list, the number of changes, and the memory limit.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressEndpointListExperiment {
    /// Sizes of the list to measure at, in backends.
    pub backends: Vec<u64>,
    /// Number of changes of one backend, at each size.
    pub changes: u64,
    /// Memory limit of the ingress, in MB.
    pub memory_mb: u64,
}

/// Costs of the endpoint list at one size. A snapshot that is invalid or is not applied in time counts as
/// rejected.
#[derive(Debug, Serialize)]
struct Point {
    /// Number of backends in the list.
    backends: u64,
    #[serde(flatten)]
    snapshot: SnapshotCost,
    /// Number of changes of one backend after the snapshot.
    changes: u64,
    /// Processor time per change; `None` if the snapshot was rejected.
    change_cpu_us: Option<f64>,
    /// Whether the ingress is running after the measurement.
    running: bool,
    /// First log line about discovery, if the snapshot was rejected.
    log: Option<String>,
}

/// Time, processor time and memory that a snapshot costs.
#[derive(Debug, Serialize)]
struct SnapshotCost {
    /// Size of the list's JSON.
    list_bytes: usize,
    /// Whether the ingress applied the snapshot in time.
    applied: bool,
    /// Time until the ingress has applied the snapshot and answered a PING, in seconds.
    apply_s: Option<f64>,
    /// Processor time used until then, in seconds.
    cpu_s: f64,
    /// Resident memory before the snapshot.
    memory_before_bytes: u64,
    /// Resident memory after the snapshot.
    memory_bytes: u64,
    /// Peak resident memory since the start of the process.
    peak_memory_bytes: u64,
}

impl Experiment for IngressEndpointListExperiment {
    fn name(&self) -> &'static str {
        "ingress_endpoint_list"
    }

    fn parameters(&self) -> Vec<Parameter> {
        vec![
            Parameter::integers("backends", &self.backends),
            Parameter::integer("changes", self.changes),
            Parameter::integer("memory_mb", self.memory_mb),
        ]
    }

    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()> {
        check_capacity(1)?;
        for &backends in &self.backends {
            report.record(self.name(), &self.measure(backends, environment.ingress_program)?)?;
        }
        Ok(())
    }
}

impl IngressEndpointListExperiment {
    /// Measures a snapshot of one size and the changes after it.
    fn measure(&self, backends: u64, program: &Path) -> anyhow::Result<Point> {
        let endpoints: Vec<String> =
            (0..backends).map(|number| endpoint_json(number, BACKEND, EndpointStatus::Up)).collect();
        let body = list_json(SNAPSHOT_VERSION, ListKind::Snapshot, &endpoints);
        let discovery = Discovery::start()?;
        let mut ingress = IngressProcess::start(program, &self.config(discovery.address))?;
        ingress.wait_until_ready(TIMEOUT)?;
        let snapshot = publish_snapshot(&discovery, &ingress, body)?;
        let change_cpu_us =
            if snapshot.applied { Some(self.publish_changes(&discovery, &ingress, backends)?) } else { None };
        let running = ingress.is_running();
        let log = ingress.kill_and_read_log();
        let reason = log.lines().find(|line| line.contains("discovery:")).map(str::to_string);
        let log = reason.filter(|_| !snapshot.applied);
        Ok(Point { backends, snapshot, changes: self.changes, change_cpu_us, running, log })
    }

    /// Returns the configuration of an ingress that starts with an empty list.
    fn config(&self, discovery: SocketAddr) -> IngressConfig {
        IngressConfig {
            number: 0,
            fleet_size: FLEET_SIZE,
            discovery,
            mode: DiscoveryMode::Push,
            initial_list: InitialList { version: 1, endpoints: Vec::new() },
            memory_mb: self.memory_mb,
        }
    }

    /// Drains backends one after another; each becomes available again with the next change. Returns the
    /// processor time per change, in microseconds.
    fn publish_changes(
        &self,
        discovery: &Discovery,
        ingress: &IngressProcess,
        backends: u64,
    ) -> anyhow::Result<f64> {
        let cpu_before = ingress.cpu_seconds();
        for change in 0..self.changes {
            let status = if change % 2 == 0 { EndpointStatus::Draining } else { EndpointStatus::Up };
            let endpoint = endpoint_json(change / 2 * CHANGE_STRIDE % backends, BACKEND, status);
            let version = SNAPSHOT_VERSION + 1 + change;
            discovery.publish(version, list_json(version, ListKind::Delta, &[endpoint]));
            let applied = discovery.wait_for_polls(Some(version), 1, TIMEOUT);
            ensure!(applied, "the ingress did not apply change {change} within {TIMEOUT:?}");
        }
        ensure!(ingress.answers_ping(), "the ingress did not answer a PING after the changes");
        Ok((ingress.cpu_seconds() - cpu_before) / self.changes as f64 * MICROS_PER_SECOND)
    }
}

/// Publishes a snapshot and waits until the ingress has applied it.
fn publish_snapshot(
    discovery: &Discovery,
    ingress: &IngressProcess,
    body: String,
) -> anyhow::Result<SnapshotCost> {
    let list_bytes = body.len();
    let memory_before = ingress.memory();
    let cpu_before = ingress.cpu_seconds();
    let published_at = Instant::now();
    discovery.publish(SNAPSHOT_VERSION, body);
    // A poll for versions newer than the snapshot shows that the ingress has read the snapshot. A PING sent
    // after that poll is answered only once the ingress has applied the snapshot.
    let applied = discovery.wait_for_polls(Some(SNAPSHOT_VERSION), 1, SNAPSHOT_TIMEOUT);
    ensure!(ingress.answers_ping(), "the ingress did not answer a PING after the snapshot");
    let elapsed = published_at.elapsed();
    let cpu_s = ingress.cpu_seconds() - cpu_before;
    let memory = ingress.memory();
    Ok(SnapshotCost {
        list_bytes,
        applied,
        apply_s: applied.then_some(elapsed.as_secs_f64()),
        cpu_s,
        memory_before_bytes: memory_before.resident,
        memory_bytes: memory.resident,
        peak_memory_bytes: memory.peak,
    })
}
