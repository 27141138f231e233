//! Judges what was observed in a run. What the ingresses say of themselves counts only where they report a
//! violation, or where their counters disagree with the observations.

mod backends;
mod ingresses;
mod requests;
mod rule;

pub use ingresses::{check_logs, quota_use};
pub use rule::{Rule, Violation};

use crate::plan::SoakPlan;
use crate::record::{Micros, Observations};
use crate::scenario::FaultScenario;

/// How late the stand-ins may observe something, besides the longest stall that was measured.
const OBSERVATION_SLACK: Micros = 100_000;
/// How late an ingress may be where the plan pauses it: the longest pause that the protocol pages allow for.
/// The testbed's pauses are a little shorter, since it may continue a process late.
const MAX_PAUSE: Micros = 150_000;

/// Finds every violation in what was observed.
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

/// The check of one run.
struct Oracle<'a> {
    /// The plan of the run.
    plan: &'a SoakPlan,
    /// What was observed.
    observations: &'a Observations,
    /// The violations found so far.
    violations: Vec<Violation>,
}

impl Oracle<'_> {
    /// Reports a violation of a rule about a request.
    fn report(&mut self, rule: Rule, id: &str, detail: String) {
        self.violations.push(Violation::of_request(rule, id, detail));
    }

    /// Reports a violation of a rule that is not about a single request.
    fn report_general(&mut self, rule: Rule, detail: String) {
        self.violations.push(Violation::general(rule, detail));
    }

    /// By how much something may have happened before it was observed.
    fn observation_slack(&self) -> Micros {
        OBSERVATION_SLACK + self.observations.longest_stall
    }

    /// By how much an ingress may be late since the plan pauses it.
    fn pause_slack(&self) -> Micros {
        if self.plan.includes(FaultScenario::Pauses) {
            MAX_PAUSE
        } else {
            0
        }
    }

    /// By how much an ingress may seem late though it is on time.
    fn slack(&self) -> Micros {
        self.pause_slack() + self.observation_slack()
    }
}

/// The number of the ingress that a request was sent to, by the id of the request.
fn ingress_of(id: &str) -> Option<usize> {
    id.strip_prefix('i')?.split('-').next()?.parse().ok()
}
