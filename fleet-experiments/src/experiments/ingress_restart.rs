//! Restart of most of a fleet of real ingresses under load, followed by a new configuration for all of them.

use crate::client::BackgroundLoad;
use crate::experiment::{Environment, Experiment, Parameter};
use crate::ingress_process::{check_capacity, DiscoveryMode, IngressConfig, IngressProcess, InitialList};
use crate::report::Report;
use crate::stand_in::backend;
use crate::stand_in::discovery::{endpoint_json, Discovery, EndpointStatus};
use crate::statistics::quantile;
use anyhow::Context;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Maximum time for an ingress to start, and for the fleet to apply a new configuration.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time from the start of an ingress to its first poll.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(90);
/// Interval between two checks for the first poll of an ingress.
const FIRST_POLL_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Distance between the numbers of two ingresses that keep running. Those in between are killed and
/// restarted.
const SURVIVOR_STEP: usize = 10;
/// Version of the list that the first ingress starts with. Each further ingress starts with the next
/// version, so that their polls can be distinguished.
const FIRST_VERSION: u64 = 1_000;
/// Memory limit of each ingress, in MB.
const MEMORY_MB: u64 = 192;

/// Number of processes, sizes of the fleet, and the load during the restart.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressRestartExperiment {
    /// Number of ingresses that run on this machine.
    pub processes: u64,
    /// Fleet sizes to measure at, as stated in the settings of the ingresses.
    #[serde(alias = "fleets")]
    pub fleet_sizes: Vec<u64>,
    /// Number of backends in the list that each ingress starts with.
    #[serde(alias = "known")]
    pub initial_backends: u64,
    /// Number of clients that send requests continuously to the ingresses that keep running.
    pub clients: u64,
}

/// Result for one fleet size. Times count from the start of an ingress, or from the new configuration.
#[derive(Debug, Serialize)]
struct Point {
    /// Number of ingress processes.
    processes: u64,
    /// Size of the fleet that the settings state.
    fleet_size: u64,
    /// Number of backends in the list that each ingress started with.
    initial_backends: u64,
    /// Number of restarted ingresses.
    restarted: usize,
    /// Median time to the first answer to a PING.
    pong_p50_s: f64,
    /// 90th percentile of the time to the first answer to a PING.
    pong_p90_s: f64,
    /// Maximum time to the first answer to a PING.
    pong_last_s: f64,
    /// Median time to the first poll of discovery.
    first_poll_p50_s: f64,
    /// 90th percentile of the time to the first poll.
    first_poll_p90_s: f64,
    /// Maximum time to the first poll; infinite, written as `null`, if an ingress did not poll in time.
    first_poll_last_s: f64,
    /// Number of ingresses that polled the new discovery service.
    reconfigured: usize,
    /// Whether all ingresses polled the new discovery service in time.
    all_reconfigured: bool,
    /// Time from the new configuration until the last ingress polled the new discovery service.
    reconfigured_last_s: Option<f64>,
    /// Requests served during the experiment.
    served: u64,
}

impl Experiment for IngressRestartExperiment {
    fn name(&self) -> &'static str {
        "ingress_restart"
    }

    fn parameters(&self) -> Vec<Parameter> {
        vec![
            Parameter::integer("processes", self.processes),
            Parameter::integers("fleet_sizes", &self.fleet_sizes),
            Parameter::integer("initial_backends", self.initial_backends),
            Parameter::integer("clients", self.clients),
        ]
    }

    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()> {
        check_capacity(self.processes)?;
        let backend = backend::start()?;
        let endpoints: Vec<String> = (0..self.initial_backends)
            .map(|number| endpoint_json(number, backend, EndpointStatus::Up))
            .collect();
        for &fleet_size in &self.fleet_sizes {
            let program = environment.ingress_program;
            report.record(self.name(), &self.measure(fleet_size, program, &endpoints)?)?;
        }
        Ok(())
    }
}

impl IngressRestartExperiment {
    /// Restarts a fleet of one size, then reconfigures it.
    fn measure(&self, fleet_size: u64, program: &Path, endpoints: &[String]) -> anyhow::Result<Point> {
        let discovery = Discovery::start()?;
        let new_discovery = Discovery::start()?;
        let mut fleet = Fleet { size: fleet_size, endpoints, ingresses: Vec::new() };
        fleet.start(self.processes, program, &discovery)?;
        let load = BackgroundLoad::start(self.clients, &fleet.survivors())?;
        fleet.restart_others()?;
        let pongs = fleet.times_to_pong()?;
        let first_polls = fleet.times_to_first_poll(&discovery);
        let reconfiguration = fleet.reconfigure(&new_discovery)?;
        Ok(Point {
            processes: self.processes,
            fleet_size,
            initial_backends: self.initial_backends,
            restarted: pongs.len(),
            pong_p50_s: quantile_s(&pongs, 0.5),
            pong_p90_s: quantile_s(&pongs, 0.9),
            pong_last_s: quantile_s(&pongs, 1.0),
            first_poll_p50_s: quantile_s(&first_polls, 0.5),
            first_poll_p90_s: quantile_s(&first_polls, 0.9),
            first_poll_last_s: quantile_s(&first_polls, 1.0),
            reconfigured: reconfiguration.ingresses,
            all_reconfigured: reconfiguration.complete,
            reconfigured_last_s: reconfiguration.last_s,
            served: load.stop(),
        })
    }
}

/// Returns a quantile of the sorted times of the restarted ingresses, in seconds.
fn quantile_s(sorted: &[f64], share: f64) -> f64 {
    quantile(sorted, share).expect("at least one ingress is restarted")
}

/// Ingress processes configured as members of a fleet.
struct Fleet<'a> {
    /// Size of the fleet that the settings state.
    size: u64,
    /// Endpoints in the list that each ingress starts with.
    endpoints: &'a [String],
    /// Processes, indexed by the number of the ingress.
    ingresses: Vec<IngressProcess>,
}

/// Result of a new configuration for the whole fleet.
struct Reconfiguration {
    /// Number of ingresses that polled the new discovery service.
    ingresses: usize,
    /// Whether all ingresses polled it in time.
    complete: bool,
    /// Time from the new configuration to the last poll, in seconds.
    last_s: Option<f64>,
}

impl Fleet<'_> {
    /// Starts all ingresses and waits until they are ready.
    fn start(&mut self, processes: u64, program: &Path, discovery: &Discovery) -> anyhow::Result<()> {
        for number in 0..processes {
            let config = self.config(number, discovery.address);
            self.ingresses.push(IngressProcess::start(program, &config)?);
        }
        for ingress in &self.ingresses {
            ingress.wait_until_ready(TIMEOUT)?;
        }
        Ok(())
    }

    /// Returns the configuration of one ingress.
    fn config(&self, number: u64, discovery: SocketAddr) -> IngressConfig {
        IngressConfig {
            number,
            fleet_size: self.size,
            discovery,
            mode: DiscoveryMode::Poll,
            initial_list: InitialList { version: FIRST_VERSION + number, endpoints: self.endpoints.to_vec() },
            memory_mb: MEMORY_MB,
        }
    }

    /// Returns the addresses of the ingresses that are not restarted.
    fn survivors(&self) -> Vec<SocketAddr> {
        self.ingresses.iter().step_by(SURVIVOR_STEP).map(|ingress| ingress.address).collect()
    }

    /// Returns the ingresses that are restarted, with their numbers.
    fn restarted(&self) -> impl Iterator<Item = (usize, &IngressProcess)> {
        self.ingresses.iter().enumerate().filter(|(number, _)| number % SURVIVOR_STEP != 0)
    }

    /// Kills and restarts all ingresses except the survivors.
    fn restart_others(&mut self) -> anyhow::Result<()> {
        for (number, ingress) in self.ingresses.iter_mut().enumerate() {
            if number % SURVIVOR_STEP != 0 {
                ingress.restart().with_context(|| format!("cannot restart ingress {number}"))?;
            }
        }
        Ok(())
    }

    /// Returns the times from start to the first answer to a PING of the restarted ingresses, sorted, in
    /// seconds.
    fn times_to_pong(&self) -> anyhow::Result<Vec<f64>> {
        let mut times = Vec::new();
        for (number, ingress) in self.restarted() {
            let time = ingress
                .wait_until_ready(TIMEOUT)
                .with_context(|| format!("ingress {number} did not restart"))?;
            times.push(time.as_secs_f64());
        }
        times.sort_by(f64::total_cmp);
        Ok(times)
    }

    /// Returns the times from start to the first poll of the restarted ingresses, sorted, in seconds;
    /// infinite for an ingress that did not poll in time.
    fn times_to_first_poll(&self, discovery: &Discovery) -> Vec<f64> {
        let mut times = Vec::new();
        for (number, ingress) in self.restarted() {
            let version = FIRST_VERSION + number as u64;
            let first_poll = wait_for_first_poll(discovery, version, ingress.started_at);
            times.push(first_poll.map_or(f64::INFINITY, |time| time.as_secs_f64()));
        }
        times.sort_by(f64::total_cmp);
        times
    }

    /// Changes the discovery address of all ingresses, and waits until they poll the new service.
    fn reconfigure(&self, new_discovery: &Discovery) -> anyhow::Result<Reconfiguration> {
        let reconfigured_at = Instant::now();
        for (number, ingress) in self.ingresses.iter().enumerate() {
            ingress.reconfigure(&self.config(number as u64, new_discovery.address))?;
        }
        let complete = new_discovery.wait_for_polls(None, self.ingresses.len(), TIMEOUT);
        let polls = new_discovery.polls(None);
        let last_s = polls.iter().max().map(|polled_at| (*polled_at - reconfigured_at).as_secs_f64());
        Ok(Reconfiguration { ingresses: polls.len(), complete, last_s })
    }
}

/// Returns the time from `started_at` to the first poll after it for versions newer than `version`; `None`
/// if there is none in time.
fn wait_for_first_poll(discovery: &Discovery, version: u64, started_at: Instant) -> Option<Duration> {
    let first_poll = || discovery.polls(Some(version)).into_iter().find(|polled_at| *polled_at >= started_at);
    while first_poll().is_none() && started_at.elapsed() < FIRST_POLL_TIMEOUT {
        std::thread::sleep(FIRST_POLL_CHECK_INTERVAL);
    }
    first_poll().map(|polled_at| polled_at - started_at)
}
