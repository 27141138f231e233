//! Command-line arguments.

use clap::{Args, Parser, Subcommand};
use fault_soak::ingress::Programs;
use fault_soak::plan::{Shape, SoakPlan};
use fault_soak::scenario::FaultScenario;
use std::num::ParseIntError;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum time for which clients send requests, in seconds.
const MAX_SECONDS: u64 = 60;

/// Runs ingress processes on loopback, injects random faults and checks invariants.
#[derive(Parser)]
#[command(version)]
pub struct Arguments {
    /// The command to execute.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Runs the plans of several seeds, such as 1..200, one after another.
    Run {
        /// The first and the last seed, as FIRST..LAST.
        #[arg(long)]
        seeds: SeedRange,
        /// Options of the runs.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Runs the plan of one seed, and prints each violation with the log lines of its request.
    Replay {
        /// The seed.
        seed: u64,
        /// Options of the run.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Removes the faults from the plan of a seed that are not needed to violate its first violated rule.
    Shrink {
        /// The seed.
        seed: u64,
        /// Options of the run.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Prints the plan of a seed as JSON.
    Plan {
        /// The seed.
        seed: u64,
        /// Options of the run.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Writes a summary page of runs as HTML.
    Report {
        /// Result files with one run per line.
        results: Vec<PathBuf>,
        /// The file to write.
        #[arg(short, long)]
        output: PathBuf,
    },
}

/// Options that determine how a plan is drawn and run.
#[derive(Args, Clone)]
pub struct RunOptions {
    /// Path of the ingress program.
    #[arg(long, default_value = "target/release/ingress")]
    pub ingress: PathBuf,
    /// Path of the library that injects system call faults.
    #[arg(long, default_value = "target/release/libfault_shim.so")]
    pub shim: PathBuf,
    /// A kind of fault to draw, instead of all; may be repeated.
    #[arg(long, value_enum)]
    pub only: Vec<FaultScenario>,
    /// Number of ingresses, at most 40.
    #[arg(long, default_value_t = 10)]
    pub ingresses: usize,
    /// Number of backends.
    #[arg(long, default_value_t = 6)]
    pub backends: usize,
    /// Number of clients.
    #[arg(long, default_value_t = 24)]
    pub clients: usize,
    /// Time for which clients send requests, in seconds; at most 60.
    #[arg(long, default_value_t = 8)]
    pub seconds: u64,
    /// Folder for configurations and logs; by default each process uses its own.
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// File to which each run appends its result as a line of JSON.
    #[arg(long)]
    pub output: Option<PathBuf>,
    /// Log level of the ingresses.
    #[arg(long, default_value = "info")]
    pub log_level: String,
}

impl RunOptions {
    /// Draws the plan of a seed.
    pub fn plan(&self, seed: u64) -> SoakPlan {
        let shape = Shape {
            ingresses: self.ingresses,
            backends: self.backends,
            clients: self.clients,
            seconds: self.seconds.min(MAX_SECONDS),
        };
        let scenarios = if self.only.is_empty() { FaultScenario::all() } else { &self.only };
        SoakPlan::draw(seed, shape, scenarios)
    }

    /// Returns the programs of a run and the folder of their files.
    pub fn programs(&self) -> Programs {
        let own_folder = std::env::temp_dir().join(format!("fault-soak-{}", std::process::id()));
        Programs {
            ingress: self.ingress.clone(),
            shim: Some(self.shim.clone()),
            folder: self.folder.clone().unwrap_or(own_folder),
            log_level: self.log_level.clone(),
            interrupted: Arc::default(),
        }
    }
}

/// An inclusive range of seeds.
#[derive(Clone, Copy, Debug)]
pub struct SeedRange {
    pub first: u64,
    pub last: u64,
}

/// Reasons why a range of seeds is invalid.
#[derive(Debug, thiserror::Error)]
pub enum SeedRangeError {
    /// The text has no `..`.
    #[error("the range of seeds is not of the form FIRST..LAST")]
    MissingSeparator,
    /// An end of the range is not an integer.
    #[error("the first or last seed is not an integer")]
    InvalidSeed(#[from] ParseIntError),
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<SeedRange, SeedRangeError> {
        let (first, last) = text.split_once("..").ok_or(SeedRangeError::MissingSeparator)?;
        Ok(SeedRange { first: first.parse()?, last: last.parse()? })
    }
}
