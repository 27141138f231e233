//! Every experiment in small, judged by counts; and the errors of invalid experiment files.

use fleet_experiments::experiment_file::{ExperimentFile, ExperimentFileError};
use fleet_experiments::report::Report;
use serde_json::Value;
use std::path::PathBuf;
use std::process::Command;

const SMALL: &str = include_str!("../experiments/small.toml");

/// The real ingress as it was built with these tests.
fn ingress() -> PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.push("ingress");
    assert!(path.exists(), "{} is missing: test with --workspace", path.display());
    path
}

/// Runs one table of the small file; its points.
fn points(table: &str) -> Vec<Value> {
    let all: toml::Table = SMALL.parse().unwrap();
    let mut one = toml::Table::new();
    one.insert("seed".into(), all["seed"].clone());
    one.insert(table.into(), all[table].clone());
    let file = ExperimentFile::parse(&one.to_string()).unwrap();
    let mut report = Report::in_memory(file.seed);
    file.run(&ingress(), &mut report).unwrap();
    report.points
}

fn number(point: &Value, key: &str) -> f64 {
    point[key].as_f64().unwrap_or_else(|| panic!("{key} in {point}"))
}

/// An experiment names two sizes of the endpoint list. There is a point for each of them, with the size it was
/// measured at; a missing or mislabelled point would put a wrong number into the capacity page.
#[test]
fn a_list_is_measured_at_each_size() {
    let points = points("endpoint_list");
    let sizes: Vec<f64> = points.iter().map(|point| number(point, "backends")).collect();
    assert_eq!(sizes, [200.0, 400.0]);
    let zones: Vec<f64> = points.iter().map(|point| number(point, "zone_backends")).collect();
    assert_eq!(zones, [12.0, 23.0]);
}

/// Requests come to a fleet with nothing else to do, and the time that each takes is measured. All of them have to
/// be sent to a backend, as a rejection is faster and would make the measured time too short.
#[test]
fn all_requests_of_an_idle_fleet_are_forwarded() {
    for point in points("request") {
        assert_eq!(number(&point, "sent"), 500.0, "{point}");
    }
}

/// The fleet doubles while the rate of requests at each ingress stays the same. The messages of one ingress may
/// grow with its requests, but must not double with the fleet; if they did, a large fleet would do nothing but
/// exchange messages.
#[test]
fn quota_messages_of_an_ingress_grow_with_requests_and_not_with_the_fleet() {
    let points = points("quota");
    for point in &points {
        let (messages, bytes) = (number(point, "messages"), number(point, "bytes"));
        assert!(messages > 0.0 && bytes <= 256.0 * messages, "{point}");
    }
    let of = |ingresses: f64, rate: f64| {
        let is_wanted =
            |point: &&Value| number(point, "ingresses") == ingresses && number(point, "rate") == rate;
        let found = points.iter().find(is_wanted);
        number(found.unwrap(), "messages")
    };
    assert!(of(6.0, 8.0) > of(6.0, 4.0) && of(12.0, 8.0) > of(12.0, 4.0), "{points:?}");
    assert!(of(12.0, 4.0) < 2.0 * of(6.0, 4.0), "{points:?}");
}

/// Somebody runs an experiment again, with the same seed, to check a number in the capacity page. The models have
/// to give exactly the same points.
#[test]
fn models_are_deterministic() {
    for table in ["quota", "discovery", "slow_start"] {
        assert_eq!(points(table), points(table), "{table}");
    }
}

/// Discovery comes back after an outage. Each of fifty ingresses polls it exactly once, within 5 s and without
/// being rejected; more polls would overload it again, and later ones would leave ingresses with an outdated list.
#[test]
fn a_fleet_polls_a_discovery_that_is_back_once_each() {
    let points = points("discovery");
    assert_eq!((number(&points[0], "polls"), number(&points[0], "rejected_polls")), (50.0, 0.0));
    assert!(number(&points[0], "longest_gap_s") <= 5.0, "{points:?}");
}

/// Backends start in a modelled fleet and get more and more requests. The experiment has to count them: a counter
/// that stays at zero would report that the limit was kept whatever happened.
#[test]
fn a_simulation_counts_what_backends_in_slow_start_get() {
    let points = points("slow_start");
    assert!(number(&points[0], "budget_used") > 0.0 && number(&points[0], "peak_window") > 0.0, "{points:?}");
    assert_eq!(number(&points[0], "runs_over_limit"), 0.0, "{points:?}");
}

/// A real ingress gets an endpoint list and then a change of it. Both have to be in force and the process still
/// running before times and memory are reported, as the numbers would otherwise be those of an ingress that failed.
#[test]
fn a_real_ingress_applies_a_list_and_its_changes() {
    let points = points("ingress_endpoint_list");
    assert!(points[0]["applied"] == true && points[0]["running"] == true, "{points:?}");
}

/// Nine of ten real ingresses are restarted under load, and all get a new configuration. Each has to poll discovery
/// and serve requests again; an operator who rolls out a new version relies on that.
#[test]
fn restarted_ingresses_poll_discovery_and_apply_a_new_configuration() {
    let points = points("ingress_restart");
    assert_eq!((number(&points[0], "restarted"), number(&points[0], "reconfigured")), (9.0, 10.0));
    assert!(number(&points[0], "first_poll_last_s").is_finite() && number(&points[0], "served") > 0.0);
}

/// A hundred requests go through a real ingress, and their latency is measured. All have to be served, since errors
/// come back faster than values and would make the latency look better than it is.
#[test]
fn requests_through_a_real_ingress_are_all_served() {
    let points = points("ingress_latency");
    assert_eq!(number(&points[0], "served"), 100.0, "{points:?}");
}

/// Somebody writes an experiment file with a mistake in it. The program says in one line which key is wrong and
/// why, and exits with status 2, before it starts a run that takes hours.
#[test]
fn errors_in_experiment_files_name_the_key() {
    let cases = [
        ("", "seed"),
        ("seed = 1", "no experiment"),
        ("seed = \"x\"", "seed"),
        ("seed = 1\nsed = 2", "sed"),
        (
            "seed = 1\n[endpoint_list]\nbackends = [0]\ningresses = 3\nchanges = 1",
            "endpoint_list.backends: 0",
        ),
        (
            "seed = 1\n[endpoint_list]\nbackends = []\ningresses = 3\nchanges = 1",
            "endpoint_list.backends: the list is empty",
        ),
        (
            "seed = 1\n[list]\nbackends = []\ningresses = 3\nchanges = 1",
            "endpoint_list.backends: the list is empty",
        ),
        (
            "seed = 1\n[endpoint_list]\nbackends = [5, \"many\"]\ningresses = 3\nchanges = 1",
            "endpoint_list.backends[1]",
        ),
        ("seed = 1\n[list]\nbackends = [5, \"many\"]\ningresses = 3\nchanges = 1", "list.backends[1]"),
        (
            "seed = 1\n[endpoint_list]\nbackends = [5]\ningresses = 70000\nchanges = 1",
            "endpoint_list.ingresses",
        ),
        ("seed = 1\n[endpoint_list]\nbackends = [5]\ningresses = 3", "changes"),
        (
            "seed = 1\n[ingress_latency]\nrates = [99999999]\nconnections = 1\nrequests = 1\nbackends = 1",
            "ingress_latency.rates",
        ),
        ("seed 1", "expected"),
    ];
    for (index, (text, key)) in cases.into_iter().enumerate() {
        let why = ExperimentFile::parse(text).map(|_| ()).expect_err(text).to_string();
        assert!(why.contains(key) && !why.contains('\n'), "{text:?}: {why}");
        let file = std::env::temp_dir()
            .join(format!("fleet-experiments-invalid-{}-{index}.toml", std::process::id()));
        std::fs::write(&file, text).unwrap();
        let output =
            Command::new(env!("CARGO_BIN_EXE_fleet-experiments")).arg("run").arg(&file).output().unwrap();
        std::fs::remove_file(&file).unwrap();
        let err = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), err.lines().count()), (Some(2), 1), "{text:?}: {err}");
    }
}

/// The capacity page names the file that its numbers were measured with. That file has to be readable by today's
/// program, or nobody could measure them again.
#[test]
fn the_experiments_of_the_capacity_page_are_well_formed() {
    ExperimentFile::parse(include_str!("../experiments/capacity.toml")).unwrap();
}

/// Tables and keys of experiment files were renamed. Files written before that have to mean the same as today, as
/// older results could not be repeated otherwise.
#[test]
fn experiment_files_with_former_names_are_still_read() {
    let former = ExperimentFile::parse(include_str!("former_names.toml")).unwrap();
    assert_eq!(former.experiments().len(), 8);
    assert_eq!(former, ExperimentFile::parse(SMALL).unwrap());
}

/// An experiment file has no experiment, no sizes, or a size of zero. Each has an error of its own with experiment
/// and key, by which the program tells its user what to write instead.
#[test]
fn errors_in_sizes_have_their_kind() {
    let parse = |table: &str| ExperimentFile::parse(&format!("seed = 1\n{table}")).unwrap_err();
    assert!(matches!(parse(""), ExperimentFileError::NoExperiment));
    let list = |backends: &str| parse(&format!("[list]\nbackends = {backends}\ningresses = 3\nchanges = 1"));
    assert!(matches!(
        list("[]"),
        ExperimentFileError::Empty { experiment: "endpoint_list", key: "backends" }
    ));
    let ExperimentFileError::OutOfRange { experiment, key, value } = list("[5, 0]") else {
        panic!("not a size out of range")
    };
    assert_eq!((experiment, key, value), ("endpoint_list", "backends", 0.0));
}
