//! Result files that were written before types, fields and scenarios were renamed are still read.

use fault_soak::oracle::Rule;
use fault_soak::plan::SoakPlan;
use fault_soak::report::{page, RunResult};
use fault_soak::scenario::FaultScenario;

const FIRST_RESULTS: &str = include_str!("../results/2026-12-hunt.jsonl");
const SECOND_RESULTS: &str = include_str!("../results/2026-12-hunt-second.jsonl");

/// The runs of a result file, one in each line.
fn parse(file: &str) -> Vec<RunResult> {
    file.lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}")))
        .collect()
}

/// The pages name runs of the soak whose results are kept in the repository. Today's program has to read all 200
/// runs of each file and make a report of them, or nobody could check what the pages say.
#[test]
fn kept_result_files_are_read_and_reported() {
    for file in [FIRST_RESULTS, SECOND_RESULTS] {
        let results = parse(file);
        assert_eq!(results.len(), 200);
        assert!(results.iter().all(|result| !result.plan.faults.is_empty()));
        assert!(page(&results).contains("200 runs, "));
    }
}

/// Somebody plays a seed of the kept results again. The program has to draw the faults that were injected then, as
/// the run could not be compared otherwise.
#[test]
fn kept_results_match_the_plans_of_their_seeds() {
    for result in parse(SECOND_RESULTS) {
        let plan = SoakPlan::draw(result.plan.seed, result.plan.shape, FaultScenario::all());
        assert_eq!(result.plan, plan);
    }
}

/// Fields and kinds of faults were renamed after the first results were written. A file of that time still has to
/// give the faults of each run and its counts; a field that was read as zero would falsify the report.
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

/// A rule was renamed after the first results were written. A violation of it under its former name still counts as
/// one of that rule, and does not get lost in a report.
#[test]
fn rules_with_former_names_are_read() {
    let line = FIRST_RESULTS.lines().next().unwrap();
    let broken = line.replace(r#""counts":{}"#, r#""counts":{"bad_client_ignored":1}"#).replace(
        r#""violations":[]"#,
        r#""violations":[{"rule":"bad_client_ignored","request":null,"detail":"-"}]"#,
    );
    let result: RunResult = serde_json::from_str(&broken).unwrap();
    assert_eq!(result.counts.get(&Rule::InvalidInputIgnored), Some(&1));
    assert_eq!(result.violations[0].rule, Rule::InvalidInputIgnored);
}

/// The soak writes a result, and the report reads it later. Nothing may be lost or changed in between, or the
/// report would differ from what was seen.
#[test]
fn results_round_trip_through_json() {
    for result in parse(SECOND_RESULTS) {
        let text = serde_json::to_string(&result).unwrap();
        let again: RunResult = serde_json::from_str(&text).unwrap();
        assert_eq!(again.plan, result.plan);
        assert_eq!(serde_json::to_string(&again).unwrap(), text);
    }
}
