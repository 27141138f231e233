//! Runs ingress processes with injected faults and reports violated invariants.

mod arguments;
mod output;

use anyhow::{bail, Context};
use arguments::{Arguments, Command, RunOptions, SeedRange};
use clap::Parser;
use fault_soak::oracle::{check, check_logs};
use fault_soak::plan::SoakPlan;
use fault_soak::report::{page, RunResult};
use fault_soak::run::run;
use output::{print_details, print_faults, print_summary};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;

fn main() -> anyhow::Result<ExitCode> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    match Arguments::parse().command {
        Command::Run { seeds, options } => return run_seeds(seeds, &options),
        Command::Replay { seed, options } => replay(seed, options)?,
        Command::Shrink { seed, options } => shrink(seed, &options)?,
        Command::Plan { seed, options } => {
            println!("{}", serde_json::to_string_pretty(&options.plan(seed))?);
        }
        Command::Report { results, output } => std::fs::write(output, page(&read_results(&results)?))?,
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs the plans of several seeds. Returns a failure exit code if any run has a violation.
fn run_seeds(seeds: SeedRange, options: &RunOptions) -> anyhow::Result<ExitCode> {
    let SeedRange { first, last } = seeds;
    let mut violated_runs = 0;
    for seed in first..=last {
        let result = run_and_check(options, options.plan(seed))?;
        violated_runs += usize::from(!result.counts.is_empty());
        print_summary(&result);
    }
    println!("{violated_runs} of {} runs with a violation", last - first + 1);
    Ok(if violated_runs > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Runs the plan of a seed with debug logs and prints its violations in detail.
fn replay(seed: u64, options: RunOptions) -> anyhow::Result<()> {
    let options = RunOptions { log_level: "debug".into(), ..options };
    let result = run_and_check(&options, options.plan(seed))?;
    print_summary(&result);
    print_details(&result, &options.programs());
    Ok(())
}

/// Removes the faults that are not needed to violate the first violated rule, and prints the others.
fn shrink(seed: u64, options: &RunOptions) -> anyhow::Result<()> {
    let mut smallest = run_and_check(options, options.plan(seed))?;
    print_summary(&smallest);
    let Some(rule) = smallest.counts.keys().next().copied() else {
        bail!("the run of seed {seed} has no violation")
    };
    let mut index = 0;
    while index < smallest.plan.faults.len() {
        let result = run_and_check(options, smallest.plan.without_fault(index))?;
        print_summary(&result);
        if result.counts.contains_key(&rule) {
            smallest = result;
        } else {
            index += 1;
        }
    }
    println!("{rule:?} is still violated with these faults:");
    print_faults(&smallest);
    Ok(())
}

/// Runs a plan, checks its observations and appends its result to the output file.
fn run_and_check(options: &RunOptions, plan: SoakPlan) -> anyhow::Result<RunResult> {
    for file in [&options.ingress, &options.shim] {
        if !file.exists() {
            bail!("{} does not exist; build it first", file.display());
        }
    }
    let programs = options.programs();
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, programs.interrupted.clone())?;
    }
    let observations = run(&plan, &programs)?;
    if programs.interrupted.load(Ordering::SeqCst) {
        bail!("interrupted during the run of seed {}", plan.seed);
    }
    let mut violations = check(&plan, &observations);
    violations.extend(check_logs(&programs.folder, plan.shape.ingresses));
    if !violations.is_empty() {
        let file = programs.folder.join(format!("observations-{}.json", plan.seed));
        std::fs::write(file, serde_json::to_string(&observations)?)?;
    }
    let result = RunResult::new(plan, &observations, violations);
    if let Some(output) = &options.output {
        append_result(output, &result)?;
    }
    Ok(result)
}

/// Appends the result of a run to a file, as a line.
fn append_result(file: &Path, result: &RunResult) -> anyhow::Result<()> {
    let mut file = OpenOptions::new().create(true).append(true).open(file)?;
    writeln!(file, "{}", serde_json::to_string(result)?)?;
    Ok(())
}

/// Reads result files with one run per line.
fn read_results(files: &[PathBuf]) -> anyhow::Result<Vec<RunResult>> {
    let mut results = Vec::new();
    for file in files {
        let text =
            std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
        for line in text.lines() {
            let result = serde_json::from_str(line);
            results.push(result.with_context(|| format!("invalid line in result file {}", file.display()))?);
        }
    }
    Ok(results)
}
