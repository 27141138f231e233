//! Command line of the fleet experiments: runs the experiments of a file and writes their results as JSON
//! lines, or fits straight lines to such results.

use anyhow::Context;
use clap::{Parser, Subcommand};
use fleet_experiments::{experiment_file::ExperimentFile, fit, report::Report};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit status for an experiment file that is unreadable or invalid.
const INVALID_EXPERIMENT_FILE: u8 = 2;

/// Runs experiments on a fleet of ingresses.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Subcommand to run.
    #[command(subcommand)]
    command: Command,
}

/// Subcommands of the program.
#[derive(Subcommand)]
enum Command {
    /// Runs the experiments of a file.
    Run {
        /// Experiment file (TOML); see fleet-experiments/experiments.
        experiment: PathBuf,
        /// Output file for the results, one JSON object per line; standard output by default.
        #[arg(short, long)]
        out: Option<PathBuf>,
        /// Ingress program that the experiments on real processes start.
        #[arg(long, default_value = "target/release/ingress")]
        ingress: PathBuf,
    },
    /// Fits straight lines to the points of a file of results and prints them.
    Fit {
        /// File of results that `run` has written.
        results: PathBuf,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).init();
    match &arguments.command {
        Command::Run { experiment, out, ingress } => match ExperimentFile::read(experiment) {
            Ok(file) => exit_code(experiment, run(&file, out.as_deref(), ingress)),
            Err(error) => {
                eprintln!("{}: {error}", experiment.display());
                ExitCode::from(INVALID_EXPERIMENT_FILE)
            }
        },
        Command::Fit { results } => exit_code(results, print_fits(results)),
    }
}

/// Returns the exit status for a result. Prints an error to standard error, after the path of the input
/// file.
fn exit_code(path: &Path, result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error:#}", path.display());
            ExitCode::FAILURE
        }
    }
}

/// Runs the experiments of a file and writes their results to `out`, or to standard output.
fn run(file: &ExperimentFile, out: Option<&Path>, ingress_program: &Path) -> anyhow::Result<()> {
    let mut report = Report::create(out, file.seed)?;
    file.run(ingress_program, &mut report)
}

/// Prints the lines that fit a file of results.
fn print_fits(results: &Path) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(results).context("cannot read the results")?;
    for line in fit::fit_results(&text)? {
        println!("{line}");
    }
    Ok(())
}
