//! Checks the observations of a run against the rules.
//!
//! The logs and counters of the ingresses are used only to find further violations: those that an ingress
//! reports itself, and counters that disagree with the observations.

mod backends;
mod ingresses;
mod requests;
mod rule;

pub use ingresses::{check_logs, quota_use};
pub use rule::{Rule, Violation};

use crate::plan::SoakPlan;
use crate::record::{Micros, Observations};
use crate::scenario::FaultScenario;

/// Maximum delay between an event and its observation, in addition to the longest measured stall.
const OBSERVATION_SLACK: Micros = 100_000;
/// Maximum delay of an ingress that the plan pauses: the longest pause that the protocol documentation
/// permits. The testbed's pauses are a little shorter, because it may continue a process late.
const MAX_PAUSE: Micros = 150_000;

/// Returns all violations in the observations of a run.
pub fn check(plan: &SoakPlan, observations: &Observations) -> Vec<Violation> {
    let mut oracle = Oracle { plan, observations, violations: Vec::new() };
    oracle.check_requests();
    oracle.check_stray_bytes();
    oracle.check_draining();
    oracle.check_slow_start();
    oracle.check_invalid_input();
    oracle.check_processes();
    oracle.check_quotas();
    oracle.check_counters();
    oracle.violations
}

/// The state of the check of one run.
struct Oracle<'a> {
    plan: &'a SoakPlan,
    observations: &'a Observations,
    /// Violations found so far.
    violations: Vec<Violation>,
}

impl Oracle<'_> {
    /// Adds a violation that concerns a single request.
    fn report(&mut self, rule: Rule, id: &str, detail: String) {
        self.violations.push(Violation::of_request(rule, id, detail));
    }

    /// Adds a violation that does not concern a single request.
    fn report_general(&mut self, rule: Rule, detail: String) {
        self.violations.push(Violation::general(rule, detail));
    }

    /// Returns the maximum delay between an event and its observation.
    fn observation_slack(&self) -> Micros {
        OBSERVATION_SLACK + self.observations.longest_stall
    }

    /// Returns the maximum delay of an ingress due to pauses of the plan.
    fn pause_slack(&self) -> Micros {
        if self.plan.includes(FaultScenario::Pauses) {
            MAX_PAUSE
        } else {
            0
        }
    }

    /// Returns by how much an ingress may appear to exceed a time limit without a violation.
    fn slack(&self) -> Micros {
        self.pause_slack() + self.observation_slack()
    }
}

/// Parses the number of the ingress that a request was sent to from the request id.
fn ingress_of(id: &str) -> Option<usize> {
    id.strip_prefix('i')?.split('-').next()?.parse().ok()
}
