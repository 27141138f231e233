//! The command line: runs the experiments of a file and writes their results as lines of JSON.

use clap::Parser;
use scale::{report::Report, spec::Spec};
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs experiments on a fleet of ingresses.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The experiment file (TOML); see scale/experiments.
    experiment: PathBuf,
    /// Where results go, a line of JSON each; standard output without it.
    #[arg(short, long)]
    out: Option<PathBuf>,
    /// The program of a real ingress, for experiments on sockets.
    #[arg(long, default_value = "target/release/wrenfork")]
    ingress: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).init();
    let spec = match Spec::read(&args.experiment) {
        Ok(spec) => spec,
        Err(why) => {
            eprintln!("{}: {why}", args.experiment.display());
            return ExitCode::from(2);
        }
    };
    let run = || -> anyhow::Result<()> {
        let mut report = Report::to(args.out.as_deref(), spec.seed)?;
        spec.run(&args.ingress, &mut report)
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{}: {e:#}", args.experiment.display());
            ExitCode::FAILURE
        }
    }
}
