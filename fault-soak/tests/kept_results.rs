//! Tests that result files with former names of fields, rules and scenarios can be read.

use fault_soak::oracle::Rule;
use fault_soak::plan::SoakPlan;
use fault_soak::report::{page, RunResult};
use fault_soak::scenario::FaultScenario;

const FIRST_RESULTS: &str = include_str!("../results/2026-12-hunt.jsonl");
const SECOND_RESULTS: &str = include_str!("../results/2026-12-hunt-second.jsonl");

/// Parses a result file with one run per line.
fn parse(file: &str) -> Vec<RunResult> {
    file.lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}")))
        .collect()
}

/// The documentation refers to runs whose results are kept in the repository. If the program could not read
/// all 200 runs of each file, the documented figures could not be verified.
#[test]
fn kept_result_files_are_read_and_reported() {
    for file in [FIRST_RESULTS, SECOND_RESULTS] {
        let results = parse(file);
        assert_eq!(results.len(), 200);
        assert!(results.iter().all(|result| !result.plan.faults.is_empty()));
        assert!(page(&results).contains("200 runs, "));
    }
}

/// The seeds of the kept results draw the faults that were injected in those runs. Otherwise a replay of a
/// seed could not be compared with its result.
#[test]
fn kept_results_match_the_plans_of_their_seeds() {
    for result in parse(SECOND_RESULTS) {
        let plan = SoakPlan::draw(result.plan.seed, result.plan.shape, FaultScenario::all());
        assert_eq!(result.plan, plan);
    }
}

/// Fields and kinds of faults were renamed after the first results were written. If a field with a former
/// name were read as zero, the report would be wrong.
#[test]
fn fields_with_former_names_are_read() {
    let results = parse(FIRST_RESULTS);
    let of_seed = |seed| results.iter().find(|result| result.plan.seed == seed).unwrap();
    let scenarios: Vec<FaultScenario> = of_seed(201).plan.faults.iter().map(|fault| fault.kind).collect();
    let expected = [
        FaultScenario::DisconnectingClients,
        FaultScenario::UnavailableDiscovery,
        FaultScenario::StalledClients,
        FaultScenario::UnresponsiveDiscovery,
        FaultScenario::Pauses,
    ];
    assert_eq!(scenarios, expected);
    assert_eq!(of_seed(201).totals.disconnected, 39);
}

/// A rule was renamed after the first results were written. A violation under the former name counts for the
/// renamed rule; otherwise it would be missing from the report.
#[test]
fn rules_with_former_names_are_read() {
    let line = FIRST_RESULTS.lines().next().unwrap();
    let with_former_rule = line.replace(r#""counts":{}"#, r#""counts":{"bad_client_ignored":1}"#).replace(
        r#""violations":[]"#,
        r#""violations":[{"rule":"bad_client_ignored","request":null,"detail":"-"}]"#,
    );
    let result: RunResult = serde_json::from_str(&with_former_rule).unwrap();
    assert_eq!(result.counts.get(&Rule::InvalidInputIgnored), Some(&1));
    assert_eq!(result.violations[0].rule, Rule::InvalidInputIgnored);
}

/// A result is unchanged after it is written to a file and read again. Otherwise the report would differ from
/// the observations.
#[test]
fn results_round_trip_through_json() {
    for result in parse(SECOND_RESULTS) {
        let text = serde_json::to_string(&result).unwrap();
        let reread: RunResult = serde_json::from_str(&text).unwrap();
        assert_eq!(reread.plan, result.plan);
        assert_eq!(serde_json::to_string(&reread).unwrap(), text);
    }
}
