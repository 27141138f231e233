//! Slow start in a fleet: half of the backends restart at one moment, and what all ingresses together send to
//! each of them is compared with the overload rule.

mod overload_rule;
mod simulation;

use crate::experiment::{Environment, Experiment, Parameter};
use crate::report::Report;
use serde::{Deserialize, Serialize};

/// Fleets in which half of the backends restart, to be simulated.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStartExperiment {
    /// Ingresses in the fleet.
    pub ingresses: u16,
    /// Backends.
    pub backends: u64,
    /// Requests that a backend after its slow start serves in a second.
    pub capacity: f64,
    /// The rule's overload factors.
    #[serde(alias = "factors")]
    pub overload_factors: Vec<f64>,
    /// The load that is offered, in capacities of all backends after their slow start.
    pub loads: Vec<f64>,
    /// Whether answers take longer while a backend is overloaded.
    #[serde(alias = "queues")]
    pub queueing: bool,
    /// Simulations for each point, with a seed each.
    #[serde(alias = "starts")]
    pub runs: u64,
}

/// A fleet, its backends, and the load on them.
#[derive(Clone, Debug)]
pub struct SlowStartScenario {
    /// Ingresses in the fleet.
    pub ingresses: u16,
    /// Backends.
    pub backends: u64,
    /// Requests that a backend after its slow start serves in a second.
    pub capacity: f64,
    /// The rule's overload factor.
    pub overload_factor: f64,
    /// The load that is offered, in capacities of all backends after their slow start.
    pub load: f64,
    /// Answers take longer while a backend is overloaded; else they take 60 to 160 ms at any load.
    pub queueing: bool,
    /// Seed of all random draws.
    pub seed: u64,
}

/// The outcome of one scenario, simulated once.
#[derive(Clone, Debug, Default)]
pub struct SlowStartOutcome {
    /// The fullest window at a restarted backend, as a share of what the rule allows there: the budget N, and
    /// 2 sqrt(N) + 2 for chance.
    pub peak_window: f64,
    /// Requests sent to the restarted backends, as a share of their budgets over the slow start.
    pub budget_used: f64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected or failed.
    pub rejected: u64,
}

/// The outcome of all runs with one factor and load: the fullest window, and means of the rest.
#[derive(Debug, Serialize)]
struct Point {
    /// Ingresses in the fleet.
    ingresses: u16,
    /// Backends.
    backends: u64,
    /// Requests that a backend after its slow start serves in a second.
    capacity: f64,
    /// Whether answers took longer while a backend was overloaded.
    queueing: bool,
    /// The rule's overload factor.
    overload_factor: f64,
    /// The load that was offered, in capacities of all backends after their slow start.
    load: f64,
    /// Simulations, with a seed each.
    runs: u64,
    /// The fullest window of all runs.
    peak_window: f64,
    /// Runs with a window that is fuller than the rule allows.
    runs_over_limit: usize,
    /// Requests sent to the restarted backends, as a share of their budgets over the slow start.
    budget_used: f64,
    /// Requests rejected or failed.
    rejected: f64,
    /// Requests served.
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
    /// Simulates all runs with one factor and load.
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

/// Simulates one scenario. Arrivals are Poisson and spread unevenly: the busiest ingress gets ten times what the
/// idlest gets.
pub fn simulate(scenario: &SlowStartScenario) -> SlowStartOutcome {
    simulation::Simulation::new(scenario).run()
}
