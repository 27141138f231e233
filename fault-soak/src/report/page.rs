//! The summary page of many runs: violated rules, injected faults and the pairs of faults that overlapped.

use super::RunResult;
use crate::oracle::Rule;
use crate::scenario::FaultScenario;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Side length of a cell of the heat map, in pixels.
const CELL_SIZE: usize = 18;
/// Space for the axis labels of the heat map, in pixels.
const MARGIN: usize = 150;
/// Distance from the baseline of a text to the lower edge of its cell, in pixels.
const BASELINE_OFFSET: usize = 5;
/// Distance from a text to the left edge of its cell, in pixels.
const TEXT_INDENT: usize = 3;
/// Gap between the column labels and the heat map, in pixels.
const LABEL_GAP: usize = 4;
/// Brightness of a cell whose scenarios never overlapped.
const MAX_BRIGHTNESS: u8 = 255;
/// Difference in brightness between a pair that never overlapped and the most frequent pair.
const BRIGHTNESS_RANGE: f64 = 200.0;

/// Number of runs in which each pair of scenarios overlapped. The scenarios of a pair are in the order of
/// declaration.
struct OverlapCounts(BTreeMap<(FaultScenario, FaultScenario), usize>);

impl OverlapCounts {
    /// Counts the overlapping pairs of all runs.
    fn of(results: &[RunResult]) -> OverlapCounts {
        let mut counts = BTreeMap::new();
        for pair in results.iter().flat_map(|result| result.plan.overlapping_pairs()) {
            *counts.entry(pair).or_default() += 1;
        }
        OverlapCounts(counts)
    }

    /// Returns the number of runs in which two scenarios overlapped.
    fn of_pair(&self, first: FaultScenario, second: FaultScenario) -> usize {
        self.0.get(&(first.min(second), first.max(second))).copied().unwrap_or(0)
    }

    /// Returns the count of the most frequent pair, or 1 if no scenarios overlapped.
    fn max(&self) -> usize {
        self.0.values().copied().max().unwrap_or(1)
    }
}

/// The violations of a rule.
#[derive(Default)]
struct ViolatedRule {
    /// Number of violations in all runs.
    count: usize,
    /// Seeds of the runs with a violation.
    seeds: Vec<u64>,
}

/// Renders the summary page as HTML.
pub fn page(results: &[RunResult]) -> String {
    let requests: u64 = results.iter().map(|result| result.totals.requests).sum();
    let violated = results.iter().filter(|result| !result.counts.is_empty()).count();
    let runs = results.len();
    let mut page = String::from("<!doctype html><meta charset=\"utf-8\"><title>Fault soak</title>\n");
    page += "<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left}</style>\n";
    page += "<h1>Fault soak</h1>";
    let _ = writeln!(page, "<p>{runs} runs, {requests} requests, {violated} runs with a violation.</p>");
    page += &rule_table(results);
    page += &scenario_table(results);
    page += "<h2>Pairs of faults that overlapped in time</h2>\n";
    page += &overlap_heat_map(&OverlapCounts::of(results));
    page
}

/// Renders a table of the violated rules with the seeds of their runs.
fn rule_table(results: &[RunResult]) -> String {
    let mut violated_rules: BTreeMap<Rule, ViolatedRule> = BTreeMap::new();
    for result in results {
        for (rule, count) in &result.counts {
            let violated = violated_rules.entry(*rule).or_default();
            violated.count += count;
            violated.seeds.push(result.plan.seed);
        }
    }
    let mut table =
        String::from("<h2>Violations</h2><table><tr><th>rule</th><th>count</th><th>seeds</th></tr>\n");
    for (rule, ViolatedRule { count, seeds }) in violated_rules {
        let _ = writeln!(table, "<tr><td>{rule:?}</td><td>{count}</td><td>{seeds:?}</td></tr>");
    }
    table + "</table>\n"
}

/// Renders a table of all scenarios with the number of runs in which they were injected.
fn scenario_table(results: &[RunResult]) -> String {
    let mut table =
        String::from("<h2>Faults</h2><table><tr><th>kind</th><th>runs</th><th>with a violation</th></tr>\n");
    for &scenario in FaultScenario::all() {
        let injected = || results.iter().filter(|result| result.plan.includes(scenario));
        let runs = injected().count();
        let violated = injected().filter(|result| !result.counts.is_empty()).count();
        let _ = writeln!(table, "<tr><td>{scenario:?}</td><td>{runs}</td><td>{violated}</td></tr>");
    }
    table + "</table>\n"
}

/// Renders a heat map of the pairs of scenarios. The more often two scenarios overlapped, the darker their
/// cell.
fn overlap_heat_map(counts: &OverlapCounts) -> String {
    let side = MARGIN + CELL_SIZE * FaultScenario::all().len();
    let mut heat_map = format!("<svg width=\"{side}\" height=\"{side}\" font-size=\"11\">\n");
    for (row, &scenario) in FaultScenario::all().iter().enumerate() {
        let top = MARGIN + row * CELL_SIZE;
        heat_map += &axis_labels(scenario, top);
        for (column, &other) in FaultScenario::all().iter().enumerate() {
            heat_map += &heat_map_cell(counts, scenario, other, MARGIN + column * CELL_SIZE, top);
        }
    }
    heat_map + "</svg>\n"
}

/// Renders the labels of a scenario's row and column.
fn axis_labels(scenario: FaultScenario, offset: usize) -> String {
    let baseline = offset + CELL_SIZE - BASELINE_OFFSET;
    let column_end = MARGIN - LABEL_GAP;
    format!(
        "<text x=\"0\" y=\"{baseline}\">{scenario:?}</text>\n\
         <text transform=\"translate({baseline},{column_end}) rotate(-90)\">{scenario:?}</text>\n"
    )
}

/// Renders the cell of a pair of scenarios with its count.
fn heat_map_cell(
    counts: &OverlapCounts,
    first: FaultScenario,
    second: FaultScenario,
    left: usize,
    top: usize,
) -> String {
    let count = counts.of_pair(first, second);
    let shade = MAX_BRIGHTNESS - (count as f64 / counts.max() as f64 * BRIGHTNESS_RANGE) as u8;
    let mut cell = format!(
        "<rect x=\"{left}\" y=\"{top}\" width=\"{CELL_SIZE}\" height=\"{CELL_SIZE}\" \
         fill=\"rgb({shade},{shade},255)\" stroke=\"#ddd\">\
         <title>{first:?} and {second:?}: {count}</title></rect>\n"
    );
    if count > 0 {
        let text_left = left + TEXT_INDENT;
        let baseline = top + CELL_SIZE - BASELINE_OFFSET;
        let _ = writeln!(cell, "<text x=\"{text_left}\" y=\"{baseline}\">{count}</text>");
    }
    cell
}
