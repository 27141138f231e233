//! The result of a run, stored as a line of a result file, and the summary page of many results.

mod page;

pub use page::page;

use crate::oracle::{quota_use, Rule, Violation};
use crate::plan::SoakPlan;
use crate::record::{to_millis, Observations, Outcome, MICROS_PER_MILLI};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest answer time that the histogram records, in microseconds.
const MAX_ANSWER_TIME: u64 = 60_000_000;
/// Number of significant digits of answer times in the histogram.
const HISTOGRAM_DIGITS: u8 = 2;
/// Maximum number of violations stored in the result of a run.
const MAX_REPORTED_VIOLATIONS: usize = 12;

/// Counts of the outcomes of a run's requests, and percentiles of their answer times.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Totals {
    /// Number of requests sent.
    pub requests: u64,
    /// Number of requests served.
    pub served: u64,
    /// Number of requests rejected.
    pub rejected: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Number of requests whose connection was closed without an answer, for any reason.
    pub closed: u64,
    /// Number of requests whose client disconnected before an answer.
    #[serde(alias = "left")]
    pub disconnected: u64,
    /// Median answer time, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the answer times, in milliseconds.
    pub p99_ms: f64,
    /// Longest answer time, in milliseconds.
    pub longest_ms: f64,
}

/// The plan, totals and violations of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunResult {
    /// Seed, size and faults of the run.
    pub plan: SoakPlan,
    /// Longest measured stall, in milliseconds; observations may be delayed by as much.
    pub longest_stall_ms: u64,
    /// Outcomes and answer times of the requests.
    pub totals: Totals,
    /// Ratio of metered customers' forwarded requests to their quotas.
    #[serde(default)]
    pub quota_use: f64,
    /// Number of violations of each rule.
    pub counts: BTreeMap<Rule, usize>,
    /// The first violations, in order of detection.
    pub violations: Vec<Violation>,
}

impl RunResult {
    /// Summarizes a run of `plan`.
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
    /// Summarizes the requests of a run.
    fn of(observations: &Observations) -> Totals {
        let mut totals = Totals { requests: observations.requests.len() as u64, ..Totals::default() };
        for request in &observations.requests {
            totals.count(request.outcome);
        }
        totals.measure(observations);
        totals
    }

    /// Adds a request with this outcome.
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

    /// Sets the percentiles of the answer times.
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
