//! The command line: runs the experiments of a file and writes their results as lines of JSON, or draws
//! straight lines through such results.

use anyhow::Context;
use clap::{Parser, Subcommand};
use fleet_experiments::{experiment_file::ExperimentFile, fit, report::Report};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit status for an experiment file that cannot be used.
const INVALID_EXPERIMENT_FILE: u8 = 2;

/// Runs experiments on a fleet of ingresses.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// What to do.
    #[command(subcommand)]
    command: Command,
}

/// What the program does.
#[derive(Subcommand)]
enum Command {
    /// Runs the experiments of a file.
    Run {
        /// The experiment file (TOML); see fleet-experiments/experiments.
        experiment: PathBuf,
        /// Where results go, a line of JSON each; standard output without it.
        #[arg(short, long)]
        out: Option<PathBuf>,
        /// The program of a real ingress, for experiments on sockets.
        #[arg(long, default_value = "target/release/ingress")]
        ingress: PathBuf,
    },
    /// Prints straight lines through the points of a file of results.
    Fit {
        /// What `run` wrote.
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

/// Success, or a line on standard error about the file that was worked on.
fn exit_code(path: &Path, result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error:#}", path.display());
            ExitCode::FAILURE
        }
    }
}

/// Runs the experiments of a file.
fn run(file: &ExperimentFile, out: Option<&Path>, ingress_program: &Path) -> anyhow::Result<()> {
    let mut report = Report::create(out, file.seed)?;
    file.run(ingress_program, &mut report)
}

/// Prints the lines through a file of results.
fn print_fits(results: &Path) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(results).context("cannot read")?;
    for line in fit::fit_results(&text)? {
        println!("{line}");
    }
    Ok(())
}
