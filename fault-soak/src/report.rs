//! The result of a run, as a line of a result file, and the page that sums many results up.

mod page;

pub use page::page;

use crate::oracle::{quota_use, Rule, Violation};
use crate::plan::SoakPlan;
use crate::record::{to_millis, Observations, Outcome, MICROS_PER_MILLI};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest answer time that the histogram resolves, in microseconds.
const MAX_ANSWER_TIME: u64 = 60_000_000;
/// The significant digits of answer times in the histogram.
const HISTOGRAM_DIGITS: u8 = 2;
/// How many violations the result of a run has in full.
const MAX_REPORTED_VIOLATIONS: usize = 12;

/// How the requests of a run ended, and how long their answers took in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Totals {
    /// Requests that were sent.
    pub requests: u64,
    /// Of these, served.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Closed with no answer, for whatever reason.
    pub closed: u64,
    /// Disconnected by their clients before an answer.
    #[serde(alias = "left")]
    pub disconnected: u64,
    /// The median answer time.
    pub median_ms: f64,
    /// The 99th percentile of the answer times.
    pub p99_ms: f64,
    /// The longest answer time.
    pub longest_ms: f64,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunResult {
    /// The plan of the run.
    pub plan: SoakPlan,
    /// The longest stall that was measured, in milliseconds: the observations may be as late.
    pub longest_stall_ms: u64,
    /// How requests ended.
    pub totals: Totals,
    /// The forwarded requests of customers with a quota, as a part of what the quotas allow.
    #[serde(default)]
    pub quota_use: f64,
    /// How often each rule was broken.
    pub counts: BTreeMap<Rule, usize>,
    /// The first violations.
    pub violations: Vec<Violation>,
}

impl RunResult {
    /// The result of a run of a plan.
    pub fn new(plan: SoakPlan, observations: &Observations, violations: Vec<Violation>) -> RunResult {
        let mut counts = BTreeMap::new();
        for violation in &violations {
            *counts.entry(violation.rule).or_default() += 1;
        }
        let violations = violations.into_iter().take(MAX_REPORTED_VIOLATIONS).collect();
        RunResult {
            longest_stall_ms: to_millis(observations.longest_stall),
            totals: Totals::of(observations),
            quota_use: quota_use(&plan, observations),
            plan,
            counts,
            violations,
        }
    }
}

impl Totals {
    /// Counts how requests ended, and measures their answer times.
    fn of(observations: &Observations) -> Totals {
        let mut totals = Totals { requests: observations.requests.len() as u64, ..Totals::default() };
        for request in &observations.requests {
            totals.count(request.outcome);
        }
        totals.measure(observations);
        totals
    }

    /// Counts a request by its outcome.
    fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Served => self.served += 1,
            Outcome::Rejected => self.rejected += 1,
            Outcome::Failed => self.failed += 1,
            Outcome::Closed => self.closed += 1,
            Outcome::Disconnected => self.disconnected += 1,
            Outcome::WrongValue | Outcome::Unanswered => {}
        }
    }

    /// Measures the times of the answers.
    fn measure(&mut self, observations: &Observations) {
        let Ok(mut times) = Histogram::<u64>::new_with_bounds(1, MAX_ANSWER_TIME, HISTOGRAM_DIGITS) else {
            return;
        };
        let is_answer = |outcome| matches!(outcome, Outcome::Served | Outcome::Rejected | Outcome::Failed);
        for request in observations.requests.iter().filter(|request| is_answer(request.outcome)) {
            times.saturating_record(request.ended_at.saturating_sub(request.sent_at));
        }
        let quantile_ms = |quantile| times.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI as f64;
        self.median_ms = quantile_ms(0.5);
        self.p99_ms = quantile_ms(0.99);
        self.longest_ms = quantile_ms(1.0);
    }
}
