//! The command line: runs the experiments of a file and writes their results as lines of JSON, or draws slopes through them.

use anyhow::Context;
use clap::{Parser, Subcommand};
use fleet_experiments::{experiment_file::Spec, fit, report::Report};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs experiments on a fleet of ingresses.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

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
    let args = Args::parse();
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).init();
    let (path, done) = match &args.command {
        Command::Run { experiment, out, ingress } => {
            let spec = match Spec::read(experiment) {
                Ok(spec) => spec,
                Err(why) => {
                    eprintln!("{}: {why}", experiment.display());
                    return ExitCode::from(2);
                }
            };
            let report = Report::to(out.as_deref(), spec.seed);
            (experiment, report.and_then(|mut report| spec.run(ingress, &mut report)))
        }
        Command::Fit { results } => (results, print_fits(results)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{}: {e:#}", path.display());
            ExitCode::FAILURE
        }
    }
}

fn print_fits(results: &Path) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(results).context("cannot read")?;
    fit::fits(&text)?.iter().for_each(|line| println!("{line}"));
    Ok(())
}
