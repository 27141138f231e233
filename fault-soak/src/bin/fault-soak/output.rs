//! Output of a run's result to standard output.

use fault_soak::ingress::{Ingress, Programs};
use fault_soak::report::RunResult;
use fault_soak::scenario::FaultScenario;
use std::path::Path;

/// Prints a one-line summary of a run.
pub fn print_summary(result: &RunResult) {
    let scenarios: Vec<FaultScenario> = result.plan.faults.iter().map(|fault| fault.kind).collect();
    let totals = &result.totals;
    println!(
        "seed {}: {} requests, {} served, longest answer time {:.0} ms, longest stall {} ms, \
         quota use {:.2}, violations {:?}, faults {scenarios:?}",
        result.plan.seed,
        totals.requests,
        totals.served,
        totals.longest_ms,
        result.longest_stall_ms,
        result.quota_use,
        result.counts
    );
}

/// Prints the planned faults of a run, one per line.
pub fn print_faults(result: &RunResult) {
    result.plan.faults.iter().for_each(|fault| println!("{fault:?}"));
}

/// Prints the faults of a run and each violation with the log lines of its request.
pub fn print_details(result: &RunResult, programs: &Programs) {
    print_faults(result);
    for violation in &result.violations {
        println!("{:?} {:?}: {}", violation.rule, violation.request, violation.detail);
        let Some(id) = &violation.request else { continue };
        for ingress in 0..result.plan.shape.ingresses {
            print_request_log(&programs.folder, ingress, id);
        }
    }
    println!("logs and observations: {}", programs.folder.display());
}

/// Prints an ingress's log lines about a request. They carry the number that the ingress assigned to it.
fn print_request_log(folder: &Path, ingress: usize, id: &str) {
    let log = std::fs::read_to_string(Ingress::log_file(folder, ingress)).unwrap_or_default();
    let client_id = format!("client_request_id={id} ");
    let first_line = log.lines().find(|line| line.contains(&client_id));
    let number = first_line.and_then(|line| line.split("request=").nth(1)?.split(' ').next());
    let Some(number) = number else { return };
    let field = format!("request={number}");
    let is_about_request = |line: &&str| line.split([' ', ',']).any(|word| word == field);
    log.lines().filter(is_about_request).for_each(|line| println!("    {ingress}: {line}"));
}
