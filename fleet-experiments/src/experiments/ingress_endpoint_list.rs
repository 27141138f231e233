//! The endpoint list at a real ingress, which is notified by an agent of its own: time, processor time and
//! memory by its size.

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

/// How long an ingress may take to start, and to apply a change.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How long an ingress may take to apply a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);
/// Where all backends are, as no request is sent to them.
const BACKEND: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);
/// Ingresses in the fleet, by the settings.
const FLEET_SIZE: u64 = 2900;
/// The version of the snapshot; each change has the next one.
const SNAPSHOT_VERSION: u64 = 2;
/// Changes go to backends this far apart in the list.
const CHANGE_STRIDE: u64 = 7919;

/// Parameter of the list to measure at.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressEndpointListExperiment {
    /// Backends in the list.
    pub backends: Vec<u64>,
    /// Changes of one backend at each size.
    pub changes: u64,
    /// The ingress's limit on memory, in MB.
    pub memory_mb: u64,
}

/// The costs of a list of one size. A snapshot that is not applied in time, or is reported as invalid, counts
/// as rejected.
#[derive(Debug, Serialize)]
struct Point {
    /// Backends in the list.
    backends: u64,
    /// The snapshot that the ingress got.
    #[serde(flatten)]
    snapshot: SnapshotCost,
    /// Changes of one backend that followed.
    changes: u64,
    /// Processor time of one change, in microseconds.
    change_cpu_us: Option<f64>,
    /// Whether the ingress still runs.
    running: bool,
    /// The first line of the ingress's log on discovery, if it rejected the snapshot.
    log: Option<String>,
}

/// What a snapshot cost.
#[derive(Debug, Serialize)]
struct SnapshotCost {
    /// Bytes of the list's JSON.
    list_bytes: usize,
    /// Whether the ingress applied it.
    applied: bool,
    /// The time until the ingress had applied it and answered a ping, in seconds.
    apply_s: Option<f64>,
    /// Processor time until then, in seconds.
    cpu_s: f64,
    /// Resident memory before the snapshot.
    memory_before_bytes: u64,
    /// Resident memory after it.
    memory_bytes: u64,
    /// The most resident memory until then.
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
    /// Measures a snapshot of one size, and the changes that follow.
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

    /// The configuration of an ingress that starts with an empty list.
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

    /// Drains one backend after another, each up again by the next change; processor time of one, in
    /// microseconds.
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
            ensure!(applied, "change {change} was not applied");
        }
        ensure!(ingress.answers_ping(), "no answer after the changes");
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
    // The ingress has read the snapshot once it polls for what is newer, and has applied it once it answers
    // after that.
    let applied = discovery.wait_for_polls(Some(SNAPSHOT_VERSION), 1, SNAPSHOT_TIMEOUT);
    ensure!(ingress.answers_ping(), "no answer after the list");
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
