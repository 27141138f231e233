//! Result files that were written before types, fields and scenarios were renamed are still read.

use fault_soak::oracle::Rule;
use fault_soak::plan::SoakPlan;
use fault_soak::report::{page, RunResult};
use fault_soak::scenario::FaultScenario;

const FIRST_HUNT: &str = include_str!("../results/2026-12-hunt.jsonl");
const SECOND_HUNT: &str = include_str!("../results/2026-12-hunt-second.jsonl");

/// The runs of a result file, one in each line.
fn parse(file: &str) -> Vec<RunResult> {
    file.lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}")))
        .collect()
}

#[test]
fn kept_result_files_are_read_and_reported() {
    for file in [FIRST_HUNT, SECOND_HUNT] {
        let results = parse(file);
        assert_eq!(results.len(), 200);
        assert!(results.iter().all(|result| !result.plan.faults.is_empty()));
        assert!(page(&results).contains("200 runs, "));
    }
}

/// What was injected then is what the seed draws today.
#[test]
fn kept_results_have_the_plans_of_their_seeds() {
    for result in parse(SECOND_HUNT) {
        let plan = SoakPlan::draw(result.plan.seed, result.plan.shape, FaultScenario::all());
        assert_eq!(result.plan, plan);
    }
}

#[test]
fn fields_with_former_names_are_read() {
    let results = parse(FIRST_HUNT);
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

/// A line of a kept file as it would be with a violation of the rule that was renamed.
#[test]
fn rules_with_former_names_are_read() {
    let line = FIRST_HUNT.lines().next().unwrap();
    let broken = line.replace(r#""counts":{}"#, r#""counts":{"bad_client_ignored":1}"#).replace(
        r#""violations":[]"#,
        r#""violations":[{"rule":"bad_client_ignored","request":null,"detail":"-"}]"#,
    );
    let result: RunResult = serde_json::from_str(&broken).unwrap();
    assert_eq!(result.counts.get(&Rule::InvalidInputIgnored), Some(&1));
    assert_eq!(result.violations[0].rule, Rule::InvalidInputIgnored);
}

/// A result that is written today is read again.
#[test]
fn a_result_that_is_written_is_read_again() {
    for result in parse(SECOND_HUNT) {
        let text = serde_json::to_string(&result).unwrap();
        let again: RunResult = serde_json::from_str(&text).unwrap();
        assert_eq!(again.plan, result.plan);
        assert_eq!(serde_json::to_string(&again).unwrap(), text);
    }
}
