//! Load on backends in slow start: half of the backends restart at the same time, and the requests that the
//! whole fleet sends to each of them are compared with the overload rule.

mod overload_rule;
mod simulation;

use crate::experiment::{Environment, Experiment, Parameter};
use crate::report::Report;
use serde::{Deserialize, Serialize};

/// A fleet in which half of the backends restart, the loads on it, and the overload factors of the rule.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStartExperiment {
    /// Number of ingresses in the fleet.
    pub ingresses: u16,
    /// Number of backends, half of which restart.
    pub backends: u64,
    /// Requests per second that a backend serves after its slow start.
    pub capacity: f64,
    /// Overload factors of the rule.
    #[serde(alias = "factors")]
    pub overload_factors: Vec<f64>,
    /// Offered loads, as multiples of the capacity of all backends after their slow start.
    pub loads: Vec<f64>,
    /// Whether answers take longer while a backend is overloaded.
    #[serde(alias = "queues")]
    pub queueing: bool,
    /// Number of simulations per point, each with its own seed.
    #[serde(alias = "starts")]
    pub runs: u64,
}

/// A fleet, its backends, and the load on them.
#[derive(Clone, Debug)]
pub struct SlowStartScenario {
    /// Number of ingresses in the fleet.
    pub ingresses: u16,
    /// Number of backends, half of which restart.
    pub backends: u64,
    /// Requests per second that a backend serves after its slow start.
    pub capacity: f64,
    /// Overload factor of the rule.
    pub overload_factor: f64,
    /// Offered load, as a multiple of the capacity of all backends after their slow start.
    pub load: f64,
    /// Whether answers take longer while a backend is overloaded. Otherwise they take 60 to 160 ms at any
    /// load.
    pub queueing: bool,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Result of one simulation.
#[derive(Clone, Debug, Default)]
pub struct SlowStartOutcome {
    /// Maximum number of requests in any overload window of a restarted backend, as a share of the number
    /// that the rule allows there: the budget N, plus a tolerance of 2 sqrt(N) + 2 for random variation.
    pub peak_window: f64,
    /// Requests sent to the restarted backends during slow start, as a share of their budgets.
    pub budget_used: f64,
    /// Number of served requests.
    pub served: u64,
    /// Requests rejected or failed.
    pub rejected: u64,
}

/// Result of all runs at one overload factor and load: the maximum of the peak windows, and means over the
/// runs.
#[derive(Debug, Serialize)]
struct Point {
    ingresses: u16,
    backends: u64,
    /// Requests per second that a backend serves after its slow start.
    capacity: f64,
    /// Whether answers took longer while a backend was overloaded.
    queueing: bool,
    /// Overload factor of the rule.
    overload_factor: f64,
    /// Offered load, as a multiple of the capacity of all backends after their slow start.
    load: f64,
    /// Number of simulations, each with its own seed.
    runs: u64,
    /// Maximum over all runs.
    peak_window: f64,
    /// Number of runs in which a window exceeded the number that the rule allows.
    runs_over_limit: usize,
    /// Requests sent to the restarted backends during slow start, as a share of their budgets.
    budget_used: f64,
    /// Requests rejected or failed.
    rejected: f64,
    served: f64,
}

impl Experiment for SlowStartExperiment {
    fn name(&self) -> &'static str {
        "slow_start"
    }

    fn parameters(&self) -> Vec<Parameter> {
        vec![
            Parameter::integer("ingresses", u64::from(self.ingresses)),
            Parameter::integer("backends", self.backends),
            Parameter { key: "capacity", values: vec![self.capacity] },
            Parameter::tenths("overload_factors, in tenths", &self.overload_factors),
            Parameter::tenths("loads, in tenths", &self.loads),
            Parameter::integer("runs", self.runs),
        ]
    }

    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()> {
        for &overload_factor in &self.overload_factors {
            for &load in &self.loads {
                report.record(self.name(), &self.measure(overload_factor, load, environment.seed))?;
            }
        }
        Ok(())
    }
}

impl SlowStartExperiment {
    /// Simulates all runs at one overload factor and load.
    fn measure(&self, overload_factor: f64, load: f64, seed: u64) -> Point {
        let scenario = |run| SlowStartScenario {
            ingresses: self.ingresses,
            backends: self.backends,
            capacity: self.capacity,
            overload_factor,
            load,
            queueing: self.queueing,
            seed: seed + run,
        };
        let outcomes: Vec<SlowStartOutcome> = (0..self.runs).map(|run| simulate(&scenario(run))).collect();
        let mean = |value: &dyn Fn(&SlowStartOutcome) -> f64| {
            outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
        };
        Point {
            ingresses: self.ingresses,
            backends: self.backends,
            capacity: self.capacity,
            queueing: self.queueing,
            overload_factor,
            load,
            runs: self.runs,
            peak_window: outcomes.iter().map(|outcome| outcome.peak_window).fold(0.0, f64::max),
            runs_over_limit: outcomes.iter().filter(|outcome| outcome.peak_window > 1.0).count(),
            budget_used: mean(&|outcome| outcome.budget_used),
            rejected: mean(&|outcome| outcome.rejected as f64),
            served: mean(&|outcome| outcome.served as f64),
        }
    }
}

/// Simulates one scenario. Requests arrive at each ingress in a Poisson process. The arrival rates of two
/// ingresses differ by at most a factor of ten.
pub fn simulate(scenario: &SlowStartScenario) -> SlowStartOutcome {
    simulation::Simulation::new(scenario).run()
}
