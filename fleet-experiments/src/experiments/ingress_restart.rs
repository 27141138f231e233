//! A restart of most of a fleet of real ingresses under load, and then a new configuration for all.

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

/// How long an ingress may take to start, and the fleet to apply its new configuration.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How long an ingress may take to its first poll.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(90);
/// The time between two looks for an ingress's first poll.
const FIRST_POLL_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// One in so many ingresses keeps running while the others are killed.
const SURVIVOR_STEP: usize = 10;
/// The version of the list that the first ingress starts with; each next ingress has the next one, so that
/// discovery can tell their polls apart.
const FIRST_VERSION: u64 = 1_000;
/// The limit on memory of each ingress, in MB.
const MEMORY_MB: u64 = 192;

/// How many ingresses to restart, and sizes of the fleet.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IngressRestartExperiment {
    /// Ingresses that run here.
    pub processes: u64,
    /// Parameter of the fleet by their settings.
    #[serde(alias = "fleets")]
    pub fleet_sizes: Vec<u64>,
    /// Backends in the list that each starts with.
    #[serde(alias = "known")]
    pub initial_backends: u64,
    /// Connections that send requests all the time, to the ingresses that are not restarted.
    pub clients: u64,
}

/// The outcome of a restart: times in seconds, from an ingress's start or from the new configuration.
#[derive(Debug, Serialize)]
struct Point {
    /// Ingresses that ran.
    processes: u64,
    /// The size of the fleet by their settings.
    fleet_size: u64,
    /// Backends in the list that each started with.
    initial_backends: u64,
    /// Ingresses that were restarted.
    restarted: usize,
    /// From start to the first answer to a ping, the median.
    pong_p50_s: f64,
    /// The same, the 90th percentile.
    pong_p90_s: f64,
    /// The same, the last.
    pong_last_s: f64,
    /// From start to the first poll of discovery, the median.
    first_poll_p50_s: f64,
    /// The same, the 90th percentile.
    first_poll_p90_s: f64,
    /// The same, the last; infinite if one made none.
    first_poll_last_s: f64,
    /// Ingresses that poll where the new configuration says.
    reconfigured: usize,
    /// Whether all ingresses did in time.
    all_reconfigured: bool,
    /// From the new configuration to the last first poll.
    reconfigured_last_s: Option<f64>,
    /// Requests served meanwhile.
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
    /// Restarts a fleet of one size, and gives it a new configuration.
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

/// A quantile of the sorted times of restarted ingresses, in seconds.
fn quantile_s(sorted: &[f64], share: f64) -> f64 {
    quantile(sorted, share).expect("some ingresses are restarted")
}

/// Real ingresses with the settings of a fleet.
struct Fleet<'a> {
    /// The size of the fleet by the settings.
    size: u64,
    /// The endpoints that each starts with.
    endpoints: &'a [String],
    /// The ingresses by their numbers.
    ingresses: Vec<IngressProcess>,
}

/// How a fleet applied a new configuration.
struct Reconfiguration {
    /// Ingresses that polled the new discovery.
    ingresses: usize,
    /// Whether all did in time.
    complete: bool,
    /// When the last one did, in seconds from the new configuration.
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

    /// The configuration of one ingress.
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

    /// The addresses of the ingresses that are not restarted.
    fn survivors(&self) -> Vec<SocketAddr> {
        self.ingresses.iter().step_by(SURVIVOR_STEP).map(|ingress| ingress.address).collect()
    }

    /// The numbers and handles of the ingresses that are restarted.
    fn restarted(&self) -> impl Iterator<Item = (usize, &IngressProcess)> {
        self.ingresses.iter().enumerate().filter(|(number, _)| number % SURVIVOR_STEP != 0)
    }

    /// Kills all ingresses but the survivors, and restarts them.
    fn restart_others(&mut self) -> anyhow::Result<()> {
        for (number, ingress) in self.ingresses.iter_mut().enumerate() {
            if number % SURVIVOR_STEP != 0 {
                ingress.restart().with_context(|| format!("restart of {number}"))?;
            }
        }
        Ok(())
    }

    /// How long restarted ingresses took to answer a ping, sorted, in seconds.
    fn times_to_pong(&self) -> anyhow::Result<Vec<f64>> {
        let mut times = Vec::new();
        for (number, ingress) in self.restarted() {
            let time = ingress.wait_until_ready(TIMEOUT).with_context(|| format!("start of {number}"))?;
            times.push(time.as_secs_f64());
        }
        times.sort_by(f64::total_cmp);
        Ok(times)
    }

    /// How long restarted ingresses took to their first poll, sorted, in seconds; infinite for none in time.
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

    /// Gives all ingresses a configuration with another discovery, and waits until they poll that.
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

/// The time from `started_at` to the first poll after it for what is newer than `version`; none if none came
/// in time.
fn wait_for_first_poll(discovery: &Discovery, version: u64, started_at: Instant) -> Option<Duration> {
    let first_poll = || discovery.polls(Some(version)).into_iter().find(|polled_at| *polled_at >= started_at);
    while first_poll().is_none() && started_at.elapsed() < FIRST_POLL_TIMEOUT {
        std::thread::sleep(FIRST_POLL_CHECK_INTERVAL);
    }
    first_poll().map(|polled_at| polled_at - started_at)
}
