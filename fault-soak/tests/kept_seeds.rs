//! Tests that recorded seeds draw the same plans, whose content is pinned by digests.
//!
//! The digests are computed from the plans printed by the program. Kinds of faults are represented by their
//! numbers, so that renaming them leaves the digests unchanged.

use fault_soak::plan::SoakPlan;
use serde_json::Value;
use std::process::Command;

/// Seeds whose plans are pinned.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=40;
/// Process start times for which system call faults are pinned, in milliseconds since the start of the load.
const PROCESS_STARTS_MS: [u64; 2] = [0, 2600];
/// Former and current name of the list of faults in a plan.
const FAULT_LIST_NAMES: [&str; 2] = ["troubles", "faults"];
/// Former and current name of each kind of fault. The number of a kind is its index in this list.
const KIND_NAMES: [&[&str]; 34] = [
    &["short_reads"],
    &["short_writes"],
    &["interruptions"],
    &["failed_accepts"],
    &["failed_connects"],
    &["failed_registrations"],
    &["no_buffers"],
    &["failed_log"],
    &["clock_back"],
    &["clock_forward"],
    &["terminate"],
    &["kill"],
    &["reload"],
    &["pauses"],
    &["slow_backend"],
    &["failing_backend"],
    &["rejecting_backend"],
    &["resetting_backend"],
    &["cutting_backend", "early_resetting_backend"],
    &["trickling_backend"],
    &["doubling_backend", "duplicating_backend"],
    &["hanging_backend"],
    &["silent_backend", "partitioned_backend"],
    &["closing_backend", "idle_closing_backend"],
    &["draining_backend"],
    &["restarted_backend"],
    &["silent_discovery", "unresponsive_discovery"],
    &["broken_discovery", "unavailable_discovery"],
    &["cutting_discovery", "truncating_discovery"],
    &["leaving_clients", "disconnecting_clients"],
    &["stopping_clients", "stalled_clients"],
    &["trickling_clients"],
    &["pipelining_clients"],
    &["rude_clients", "malformed_commands"],
];

/// A 64-bit FNV-1a digest.
struct Digest(u64);

impl Digest {
    fn new() -> Digest {
        Digest(0xCBF2_9CE4_8422_2325)
    }

    fn add(&mut self, text: &str) {
        for byte in text.bytes().chain([0]) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3);
        }
    }

    fn add_value(&mut self, value: &Value) {
        self.add(&value.to_string());
    }
}

/// Returns the plan of a seed as printed by the program.
fn print_plan(seed: u64, options: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fault-soak"));
    let output = command.arg("plan").arg(seed.to_string()).args(options).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// Returns the number of a kind of fault.
fn kind_number(kind: &Value) -> usize {
    let name = kind.as_str().unwrap();
    KIND_NAMES.iter().position(|names| names.contains(&name)).unwrap_or_else(|| panic!("no kind {name}"))
}

/// Adds the content of a plan to a digest.
fn add_plan(digest: &mut Digest, plan: &Value) {
    for key in ["seed", "hedging", "cancellation"] {
        digest.add_value(&plan[key]);
    }
    for key in ["ingresses", "backends", "clients", "seconds"] {
        digest.add_value(&plan["shape"][key]);
    }
    let faults = FAULT_LIST_NAMES.iter().find_map(|name| plan.get(name)).unwrap().as_array().unwrap();
    for fault in faults {
        digest.add(&kind_number(&fault["kind"]).to_string());
        for key in ["from_ms", "until_ms", "target"] {
            assert!(fault[key].is_u64(), "{fault}");
            digest.add_value(&fault[key]);
        }
    }
}

/// Adds the system call faults of each ingress to a digest, with their probabilities and times.
fn add_process_faults(digest: &mut Digest, plan: &SoakPlan) {
    for ingress in 0..plan.shape.ingresses {
        for started_ms in PROCESS_STARTS_MS {
            digest.add(&plan.shim_plan(ingress, started_ms).to_json());
        }
    }
}

/// Returns the digest of the plans of all seeds.
fn digest(options: &[&str]) -> u64 {
    let mut digest = Digest::new();
    for seed in SEEDS {
        let text = print_plan(seed, options);
        add_plan(&mut digest, &serde_json::from_str(&text).unwrap());
        add_process_faults(&mut digest, &serde_json::from_str(&text).unwrap());
    }
    digest.0
}

/// Returns the command-line options for a size: ingresses, backends, clients and seconds.
fn size(size: [&str; 4]) -> Vec<&str> {
    let [ingresses, backends, clients, seconds] = size;
    vec!["--ingresses", ingresses, "--backends", backends, "--clients", clients, "--seconds", seconds]
}

/// Documentation and commits refer to runs by their seeds. A seed that draws different faults no longer
/// reproduces its run, so the plans of a fleet of the default size are pinned.
#[test]
fn plans_of_the_default_fleet_are_pinned() {
    assert_eq!(digest(&[]), 531_458_307_204_901_659);
}

/// The plans of a small fleet, which has fewer targets, are pinned.
#[test]
fn plans_of_a_small_fleet_are_pinned() {
    assert_eq!(digest(&size(["3", "2", "4", "6"])), 10_839_204_399_581_370_705);
}

/// The plans of a large fleet, which has more targets than the default one, are pinned.
#[test]
fn plans_of_a_large_fleet_are_pinned() {
    assert_eq!(digest(&size(["40", "12", "60", "20"])), 1_919_200_867_977_324_644);
}

/// The plans of one ingress, backend and client, with a single possible target for each fault, are pinned.
#[test]
fn plans_of_a_single_ingress_are_pinned() {
    assert_eq!(digest(&size(["1", "1", "1", "3"])), 673_591_064_076_524_205);
}

/// Recorded commands select kinds of faults by their former names. The plans of such commands are pinned,
/// since they could not be replayed otherwise.
#[test]
fn plans_of_selected_kinds_are_pinned() {
    let chosen = ["rude_clients", "cutting_backend", "silent_discovery", "clock_back", "short_reads"];
    let options: Vec<&str> = chosen.iter().flat_map(|kind| ["--only", kind]).collect();
    assert_eq!(digest(&options), 8_849_922_161_013_907_318);
}

/// Kinds of faults were renamed, and recorded commands use the former names. Each former name still selects
/// the same kind and no other.
#[test]
fn former_names_of_kinds_are_accepted_as_options() {
    for (number, names) in KIND_NAMES.iter().enumerate() {
        let plan: Value = serde_json::from_str(&print_plan(1, &["--only", names[0]])).unwrap();
        let faults = FAULT_LIST_NAMES.iter().find_map(|name| plan.get(name)).unwrap().as_array().unwrap();
        assert!(faults.iter().all(|fault| kind_number(&fault["kind"]) == number), "{names:?}: {plan}");
    }
}
