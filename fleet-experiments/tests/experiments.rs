//! Runs each experiment at a small size and checks its counts, and checks the errors for invalid experiment
//! files.

use fleet_experiments::experiment_file::{ExperimentFile, ExperimentFileError};
use fleet_experiments::report::Report;
use serde_json::Value;
use std::path::PathBuf;
use std::process::Command;

const SMALL: &str = include_str!("../experiments/small.toml");

/// Returns the path of the ingress program that was built together with these tests.
fn ingress() -> PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.push("ingress");
    assert!(path.exists(), "{} does not exist: run the tests with --workspace", path.display());
    path
}

/// Runs one table of the small experiment file and returns its points.
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
    point[key].as_f64().unwrap_or_else(|| panic!("{key} is not a number in {point}"))
}

/// Each size of the list gives one point that states this size. A missing or mislabelled point would put a
/// wrong number into the capacity page.
#[test]
fn endpoint_list_is_measured_at_each_size() {
    let points = points("endpoint_list");
    let sizes: Vec<f64> = points.iter().map(|point| number(point, "backends")).collect();
    assert_eq!(sizes, [200.0, 400.0]);
    let zones: Vec<f64> = points.iter().map(|point| number(point, "zone_backends")).collect();
    assert_eq!(zones, [12.0, 23.0]);
}

/// All requests must be sent to a backend: a rejection is faster, and would make the measured time too low.
#[test]
fn all_requests_of_an_idle_fleet_are_forwarded() {
    for point in points("request") {
        assert_eq!(number(&point, "sent"), 500.0, "{point}");
    }
}

/// Messages of an ingress grow with its request rate, but must not double when the fleet doubles at the same
/// rate. Otherwise a large fleet would spend its capacity on exchanging messages.
#[test]
fn quota_messages_of_an_ingress_grow_with_requests_and_not_with_the_fleet() {
    let points = points("quota");
    for point in &points {
        let (messages, bytes) = (number(point, "messages"), number(point, "bytes"));
        assert!(messages > 0.0 && bytes <= 256.0 * messages, "{point}");
    }
    let messages_at = |ingresses: f64, rate: f64| {
        let is_match =
            |point: &&Value| number(point, "ingresses") == ingresses && number(point, "rate") == rate;
        let found = points.iter().find(is_match);
        number(found.unwrap(), "messages")
    };
    assert!(
        messages_at(6.0, 8.0) > messages_at(6.0, 4.0) && messages_at(12.0, 8.0) > messages_at(12.0, 4.0),
        "{points:?}"
    );
    assert!(messages_at(12.0, 4.0) < 2.0 * messages_at(6.0, 4.0), "{points:?}");
}

/// Two runs with the same seed give the same points. Otherwise a number in the capacity page could not be
/// checked by running the experiment again.
#[test]
fn simulations_are_deterministic() {
    for table in ["quota", "discovery", "slow_start"] {
        assert_eq!(points(table), points(table), "{table}");
    }
}

/// After an outage, each of 50 ingresses polls once, within 5 s and without being rejected. More polls would
/// overload discovery again, and later ones would leave ingresses with an outdated list.
#[test]
fn each_ingress_polls_discovery_once_after_an_outage() {
    let points = points("discovery");
    assert_eq!((number(&points[0], "polls"), number(&points[0], "rejected_polls")), (50.0, 0.0));
    assert!(number(&points[0], "longest_gap_s") <= 5.0, "{points:?}");
}

/// A counter of requests that stays at zero would report the limit as kept under any load.
#[test]
fn requests_to_backends_in_slow_start_are_counted() {
    let points = points("slow_start");
    assert!(number(&points[0], "budget_used") > 0.0 && number(&points[0], "peak_window") > 0.0, "{points:?}");
    assert_eq!(number(&points[0], "runs_over_limit"), 0.0, "{points:?}");
}

/// The ingress has applied the list and is still running when its times and memory are reported. Otherwise
/// they would be those of an ingress that failed.
#[test]
fn a_real_ingress_applies_a_list_and_its_changes() {
    let points = points("ingress_endpoint_list");
    assert!(points[0]["applied"] == true && points[0]["running"] == true, "{points:?}");
}

/// Nine of ten ingresses are restarted under load, then all are reconfigured. Each must poll discovery and
/// serve requests again, as in the rollout of a new version.
#[test]
fn restarted_ingresses_poll_discovery_and_apply_a_new_configuration() {
    let points = points("ingress_restart");
    assert_eq!((number(&points[0], "restarted"), number(&points[0], "reconfigured")), (9.0, 10.0));
    assert!(number(&points[0], "first_poll_last_s").is_finite() && number(&points[0], "served") > 0.0);
}

/// Errors are returned faster than values, so requests that fail would make the measured latency too low.
#[test]
fn requests_through_a_real_ingress_are_all_served() {
    let points = points("ingress_latency");
    assert_eq!(number(&points[0], "served"), 100.0, "{points:?}");
}

/// Discovery lets each poll wait, and an ingress receives both changes. Without answers that are sent on open
/// connections, a time of delivery would be that of a poll which the ingress had given up.
#[test]
fn changes_of_a_crowded_discovery_are_delivered() {
    let points = points("crowded_discovery");
    let delivered: Vec<f64> = points.iter().map(|point| number(point, "delivered")).collect();
    assert_eq!(delivered, [2.0, 2.0], "{points:?}");
}

/// A mistake in an experiment file is reported in one line with the key and the cause, and with exit status
/// 2, before a run of hours begins.
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
        let error = ExperimentFile::parse(text).map(|_| ()).expect_err(text).to_string();
        assert!(error.contains(key) && !error.contains('\n'), "{text:?}: {error}");
        let file = std::env::temp_dir()
            .join(format!("fleet-experiments-invalid-{}-{index}.toml", std::process::id()));
        std::fs::write(&file, text).unwrap();
        let output =
            Command::new(env!("CARGO_BIN_EXE_fleet-experiments")).arg("run").arg(&file).output().unwrap();
        std::fs::remove_file(&file).unwrap();
        let printed = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), printed.lines().count()), (Some(2), 1), "{text:?}: {printed}");
    }
}

/// The numbers of the capacity page were measured with this file. They could not be measured again if the
/// file were invalid.
#[test]
fn experiment_file_of_the_capacity_page_is_valid() {
    ExperimentFile::parse(include_str!("../experiments/capacity.toml")).unwrap();
}

/// Tables and keys of experiment files were renamed. A file with the former names must give the same
/// experiments, or older results could not be reproduced.
#[test]
fn experiment_files_with_former_names_are_still_read() {
    let former = ExperimentFile::parse(include_str!("former_names.toml")).unwrap();
    assert_eq!(former.experiments().len(), 9);
    assert_eq!(former, ExperimentFile::parse(SMALL).unwrap());
}

/// A file without experiments, an empty list and a value of zero have different errors, which state the
/// experiment and the key.
#[test]
fn invalid_parameters_have_distinct_errors() {
    let parse = |table: &str| ExperimentFile::parse(&format!("seed = 1\n{table}")).unwrap_err();
    assert!(matches!(parse(""), ExperimentFileError::NoExperiment));
    let list = |backends: &str| parse(&format!("[list]\nbackends = {backends}\ningresses = 3\nchanges = 1"));
    assert!(matches!(
        list("[]"),
        ExperimentFileError::Empty { experiment: "endpoint_list", key: "backends" }
    ));
    let ExperimentFileError::OutOfRange { experiment, key, value } = list("[5, 0]") else {
        panic!("the error is not OutOfRange")
    };
    assert_eq!((experiment, key, value), ("endpoint_list", "backends", 0.0));
}
