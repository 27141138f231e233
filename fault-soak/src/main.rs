//! Injects faults around real ingresses, and reports which invariants they broke.

use anyhow::{bail, Context};
use clap::{Parser, Subcommand};
use fault_soak::ingress::{Ingress, Programs};
use fault_soak::oracle::{judge, judge_logs};
use fault_soak::plan::{Shape, SoakPlan};
use fault_soak::report::{page, RunResult};
use fault_soak::run::run;
use fault_soak::scenario::FaultScenario;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Randomized faults around real ingresses on loopback.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// What is to be done.
    #[command(subcommand)]
    command: Call,
}

/// What a run needs.
#[derive(clap::Args, Clone)]
struct RunOptions {
    /// The ingress program.
    #[arg(long, default_value = "target/release/ingress")]
    ingress: PathBuf,
    /// The library that has system calls fail.
    #[arg(long, default_value = "target/release/libfault_shim.so")]
    shim: PathBuf,
    /// A kind of fault to draw from, instead of all; may be given more than once.
    #[arg(long, value_enum)]
    only: Vec<FaultScenario>,
    /// How many ingresses run, 40 at most.
    #[arg(long, default_value_t = 10)]
    ingresses: usize,
    /// How many backends.
    #[arg(long, default_value_t = 6)]
    backends: usize,
    /// How many clients.
    #[arg(long, default_value_t = 24)]
    clients: usize,
    /// How long clients send, in seconds; 60 at most.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Where configurations and logs go; a folder of its own for each process by default.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Where each run adds a line of JSON.
    #[arg(long)]
    output: Option<PathBuf>,
    /// The level of the ingresses' logs.
    #[arg(long, default_value = "info")]
    log_level: String,
}

/// What can be done.
#[derive(Subcommand)]
enum Call {
    /// Plays the plans of several seeds, such as 1..200, one after another.
    Run {
        /// The first and the last seed.
        #[arg(long)]
        seeds: SeedRange,
        /// How.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Plays the plan of one seed, with the whole of each violation and the way of its request.
    Replay {
        /// The seed.
        seed: u64,
        /// How.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Removes faults from the plan of a seed for as long as the same rule is broken.
    Shrink {
        /// The seed.
        seed: u64,
        /// How.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Prints the plan of a seed.
    Plan {
        /// The seed.
        seed: u64,
        /// How.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Sums runs up as a page.
    Report {
        /// Files with lines of runs.
        results: Vec<PathBuf>,
        /// The page.
        #[arg(short, long)]
        output: PathBuf,
    },
}

/// The seeds of a call, the first and the last one.
#[derive(Clone, Copy, Debug)]
struct SeedRange {
    /// The first one.
    first: u64,
    /// The last one.
    last: u64,
}

/// Why a range of seeds cannot be read.
#[derive(Debug, thiserror::Error)]
enum SeedRangeError {
    /// Its two ends are not there.
    #[error("seeds are given as FIRST..LAST")]
    NoRange,
    /// An end is no whole number.
    #[error("a seed is a whole number")]
    NotANumber(#[from] std::num::ParseIntError),
}

impl std::str::FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<SeedRange, SeedRangeError> {
        let (first, last) = text.split_once("..").ok_or(SeedRangeError::NoRange)?;
        Ok(SeedRange { first: first.parse()?, last: last.parse()? })
    }
}

impl RunOptions {
    /// The plan of a seed.
    fn plan(&self, seed: u64) -> SoakPlan {
        let shape = Shape {
            ingresses: self.ingresses,
            backends: self.backends,
            clients: self.clients,
            seconds: self.seconds.min(60),
        };
        let kinds = if self.only.is_empty() { FaultScenario::all() } else { &self.only };
        SoakPlan::draw(seed, shape, kinds)
    }

    /// What runs, and where.
    fn programs(&self) -> Programs {
        let own = std::env::temp_dir().join(format!("fault-soak-{}", std::process::id()));
        Programs {
            ingress: self.ingress.clone(),
            shim: Some(self.shim.clone()),
            folder: self.folder.clone().unwrap_or(own),
            log_level: self.log_level.clone(),
            interrupted: Arc::default(),
        }
    }

    /// Plays a plan, judges it, and notes its line.
    fn run(&self, plan: SoakPlan) -> anyhow::Result<RunResult> {
        for file in [&self.ingress, &self.shim] {
            if !file.exists() {
                bail!("{} is not there; build it first", file.display());
            }
        }
        let programs = self.programs();
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, programs.interrupted.clone())?;
        }
        let observations = run(&plan, &programs)?;
        if programs.interrupted.load(Ordering::SeqCst) {
            bail!("told to end, in the run of seed {}", plan.seed);
        }
        let mut violations = judge(&plan, &observations);
        violations.extend(judge_logs(&programs.folder, plan.shape.ingresses));
        if !violations.is_empty() {
            let file = programs.folder.join(format!("observations-{}.json", plan.seed));
            std::fs::write(file, serde_json::to_string(&observations)?)?;
        }
        let result = RunResult::new(plan, &observations, violations);
        if let Some(output) = &self.output {
            let mut file = OpenOptions::new().create(true).append(true).open(output)?;
            writeln!(file, "{}", serde_json::to_string(&result)?)?;
        }
        Ok(result)
    }
}

/// Prints the line of a run.
fn print(result: &RunResult) {
    let kinds: Vec<FaultScenario> = result.plan.faults.iter().map(|fault| fault.kind).collect();
    let totals = &result.totals;
    println!(
        "seed {}: {} requests, {} served, longest {:.0} ms, stall {} ms, quota {:.2}, violations {:?}, faults {kinds:?}",
        result.plan.seed,
        totals.requests,
        totals.served,
        totals.longest_ms,
        result.longest_stall_ms,
        result.quota_use,
        result.counts
    );
}

/// Prints each violation, and what the ingresses logged of its request.
fn print_in_full(result: &RunResult, programs: &Programs) {
    for fault in &result.plan.faults {
        println!("{fault:?}");
    }
    for violation in &result.violations {
        println!("{:?} {:?}: {}", violation.rule, violation.request, violation.detail);
        let Some(id) = &violation.request else { continue };
        for number in 0..result.plan.shape.ingresses {
            print_way(&programs.folder, number, id);
        }
    }
    println!("logs and what was observed: {}", programs.folder.display());
}

/// Prints the lines of a log that tell of a request, by the number that the ingress gave it.
fn print_way(folder: &std::path::Path, number: usize, id: &str) {
    let log = std::fs::read_to_string(Ingress::log_file(folder, number)).unwrap_or_default();
    let named = format!("client_request_id={id} ");
    let opened = log.lines().find(|line| line.contains(&named));
    let own_id = opened.and_then(|line| line.split("request=").nth(1)?.split(' ').next());
    let Some(own_id) = own_id else { return };
    let word = format!("request={own_id}");
    let tells = |line: &&str| line.split([' ', ',']).any(|part| part == word);
    log.lines().filter(tells).for_each(|line| println!("    {number}: {line}"));
}

/// Removes faults one by one for as long as the same rule stays broken.
fn shrink(options: &RunOptions, seed: u64) -> anyhow::Result<()> {
    let mut smallest = options.run(options.plan(seed))?;
    print(&smallest);
    let Some(rule) = smallest.counts.keys().next().copied() else { bail!("seed {seed} breaks no rule") };
    let mut index = 0;
    while index < smallest.plan.faults.len() {
        let result = options.run(smallest.plan.without(index))?;
        print(&result);
        if result.counts.contains_key(&rule) {
            smallest = result;
        } else {
            index += 1;
        }
    }
    println!("{rule:?} remains with:");
    smallest.plan.faults.iter().for_each(|fault| println!("{fault:?}"));
    Ok(())
}

/// Reads lines of runs.
fn read_results(files: &[PathBuf]) -> anyhow::Result<Vec<RunResult>> {
    let mut results = Vec::new();
    for file in files {
        let text =
            std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
        for line in text.lines() {
            results.push(serde_json::from_str(line).context("a line is no run")?);
        }
    }
    Ok(results)
}

fn main() -> anyhow::Result<()> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    match Arguments::parse().command {
        Call::Run { seeds: SeedRange { first, last }, options } => {
            let mut broken = 0;
            for seed in first..=last {
                let result = options.run(options.plan(seed))?;
                broken += usize::from(!result.counts.is_empty());
                print(&result);
            }
            println!("{broken} of {} runs with a violation", last - first + 1);
            if broken > 0 {
                std::process::exit(1);
            }
        }
        Call::Replay { seed, options } => {
            let options = RunOptions { log_level: "debug".into(), ..options };
            let result = options.run(options.plan(seed))?;
            print(&result);
            print_in_full(&result, &options.programs());
        }
        Call::Shrink { seed, options } => shrink(&options, seed)?,
        Call::Plan { seed, options } => println!("{}", serde_json::to_string_pretty(&options.plan(seed))?),
        Call::Report { results, output } => std::fs::write(output, page(&read_results(&results)?))?,
    }
    Ok(())
}
