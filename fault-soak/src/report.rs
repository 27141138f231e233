//! The line of a run, and what many of them add up to, as a page.

use crate::oracle::{quota_use, Rule, Violation};
use crate::plan::SoakPlan;
use crate::record::{Observations, Outcome};
use crate::scenario::FaultScenario;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The longest answer time that the histogram resolves, in microseconds.
const MAX_ANSWER_TIME: u64 = 60_000_000;
/// The violations of a run that its line holds in full.
const MAX_VIOLATIONS_IN_FULL: usize = 12;
/// The side of a cell of the picture.
const CELL: usize = 18;
/// The room for names beside the picture.
const MARGIN: usize = 150;

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
    /// The longest stall of the machine that was measured, in milliseconds: what may have been observed late.
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
    /// The result of a plan.
    pub fn new(plan: SoakPlan, observations: &Observations, violations: Vec<Violation>) -> RunResult {
        let mut counts = BTreeMap::new();
        violations.iter().for_each(|violation| *counts.entry(violation.rule).or_default() += 1);
        let violations = violations.into_iter().take(MAX_VIOLATIONS_IN_FULL).collect();
        RunResult {
            longest_stall_ms: observations.longest_stall / 1000,
            totals: totals(observations),
            quota_use: quota_use(&plan, observations),
            plan,
            counts,
            violations,
        }
    }
}

/// Counts how requests ended, and measures how long answers took.
fn totals(observations: &Observations) -> Totals {
    let count =
        |outcome| observations.requests.iter().filter(|request| request.outcome == outcome).count() as u64;
    let mut totals = Totals {
        requests: observations.requests.len() as u64,
        served: count(Outcome::Served),
        rejected: count(Outcome::Rejected),
        failed: count(Outcome::Failed),
        closed: count(Outcome::Closed),
        disconnected: count(Outcome::Disconnected),
        ..Totals::default()
    };
    if let Ok(mut times) = Histogram::<u64>::new_with_bounds(1, MAX_ANSWER_TIME, 2) {
        let answered = |outcome| matches!(outcome, Outcome::Served | Outcome::Rejected | Outcome::Failed);
        for request in observations.requests.iter().filter(|request| answered(request.outcome)) {
            times.saturating_record(request.ended_at.saturating_sub(request.sent_at));
        }
        let at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
        (totals.median_ms, totals.p99_ms, totals.longest_ms) = (at(0.5), at(0.99), at(1.0));
    }
    totals
}

/// How often each pair of scenarios overlapped.
fn pair_counts(results: &[RunResult]) -> BTreeMap<(FaultScenario, FaultScenario), usize> {
    let mut counts = BTreeMap::new();
    for pair in results.iter().flat_map(|result| result.plan.overlapping_pairs()) {
        *counts.entry(pair).or_default() += 1;
    }
    counts
}

/// A page on runs: the rules that were broken, the faults, and a picture of the pairs of faults that overlapped.
pub fn page(results: &[RunResult]) -> String {
    let mut page = String::from("<!doctype html><meta charset=\"utf-8\"><title>Fault soak</title>\n");
    page += "<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left}</style>\n";
    let requests: u64 = results.iter().map(|result| result.totals.requests).sum();
    let broken = results.iter().filter(|result| !result.counts.is_empty()).count();
    let _ = writeln!(
        page,
        "<h1>Fault soak</h1><p>{} runs, {requests} requests, {broken} runs with a violation.</p>",
        results.len()
    );
    page += &rule_table(results);
    page += &scenario_table(results);
    page += "<h2>Pairs of faults that overlapped in time</h2>\n";
    page += &pair_picture(&pair_counts(results));
    page
}

/// A table of the rules that were broken, and in which seeds.
fn rule_table(results: &[RunResult]) -> String {
    let mut table =
        String::from("<h2>Violations</h2><table><tr><th>rule</th><th>count</th><th>seeds</th></tr>\n");
    let mut by_rule: BTreeMap<Rule, (usize, Vec<u64>)> = BTreeMap::new();
    for result in results {
        for (rule, count) in &result.counts {
            let entry = by_rule.entry(*rule).or_default();
            entry.0 += count;
            entry.1.push(result.plan.seed);
        }
    }
    for (rule, (count, seeds)) in by_rule {
        let _ = writeln!(table, "<tr><td>{rule:?}</td><td>{count}</td><td>{seeds:?}</td></tr>");
    }
    table + "</table>\n"
}

/// A table of the scenarios that were injected.
fn scenario_table(results: &[RunResult]) -> String {
    let mut table =
        String::from("<h2>Faults</h2><table><tr><th>kind</th><th>runs</th><th>with a violation</th></tr>\n");
    for kind in FaultScenario::all().iter().copied() {
        let has = |result: &&RunResult| result.plan.includes(kind);
        let runs = results.iter().filter(has).count();
        let broken = results.iter().filter(has).filter(|result| !result.counts.is_empty()).count();
        let _ = writeln!(table, "<tr><td>{kind:?}</td><td>{runs}</td><td>{broken}</td></tr>");
    }
    table + "</table>\n"
}

/// A square of cells, the darker the more often two scenarios overlapped.
fn pair_picture(counts: &BTreeMap<(FaultScenario, FaultScenario), usize>) -> String {
    let most = counts.values().copied().max().unwrap_or(1) as f64;
    let side = MARGIN + CELL * FaultScenario::all().len();
    let mut picture = format!("<svg width=\"{side}\" height=\"{side}\" font-size=\"11\">\n");
    for (row, first) in FaultScenario::all().iter().copied().enumerate() {
        let offset = MARGIN + row * CELL;
        let _ = writeln!(picture, "<text x=\"0\" y=\"{}\">{first:?}</text>", offset + CELL - 5);
        let _ = writeln!(
            picture,
            "<text transform=\"translate({},{}) rotate(-90)\">{first:?}</text>",
            offset + CELL - 5,
            MARGIN - 4
        );
        for (column, second) in FaultScenario::all().iter().copied().enumerate() {
            let count = counts.get(&(first.min(second), first.max(second))).copied().unwrap_or(0);
            let shade = 255 - (count as f64 / most * 200.0) as u8;
            let left = MARGIN + column * CELL;
            let _ = writeln!(
                picture,
                "<rect x=\"{left}\" y=\"{offset}\" width=\"{CELL}\" height=\"{CELL}\" \
                 fill=\"rgb({shade},{shade},255)\" stroke=\"#ddd\"><title>{first:?} and {second:?}: {count}</title></rect>"
            );
            if count > 0 {
                let _ =
                    writeln!(picture, "<text x=\"{}\" y=\"{}\">{count}</text>", left + 3, offset + CELL - 5);
            }
        }
    }
    picture + "</svg>\n"
}
