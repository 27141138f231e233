//! The command line.

use clap::{Args, Parser, Subcommand};
use fault_soak::ingress::Programs;
use fault_soak::plan::{Shape, SoakPlan};
use fault_soak::scenario::FaultScenario;
use std::num::ParseIntError;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;

/// The longest time for which clients send requests, in seconds.
const MAX_SECONDS: u64 = 60;

/// Randomized faults around real ingresses on loopback.
#[derive(Parser)]
#[command(version)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the program does.
#[derive(Subcommand)]
pub enum Command {
    /// Runs the plans of several seeds, such as 1..200, one after another.
    Run {
        /// The first and the last seed.
        #[arg(long)]
        seeds: SeedRange,
        /// How to run them.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Runs the plan of one seed, and prints each violation in full with the log lines of its request.
    Replay {
        /// The seed.
        seed: u64,
        /// How to run it.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Removes faults from the plan of a seed for as long as the same rule is broken.
    Shrink {
        /// The seed.
        seed: u64,
        /// How to run it.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Prints the plan of a seed.
    Plan {
        /// The seed.
        seed: u64,
        /// How it would be run.
        #[command(flatten)]
        options: RunOptions,
    },
    /// Writes a page that sums runs up.
    Report {
        /// Result files, with a run in each line.
        results: Vec<PathBuf>,
        /// The page.
        #[arg(short, long)]
        output: PathBuf,
    },
}

/// How a plan is drawn and run.
#[derive(Args, Clone)]
pub struct RunOptions {
    /// The ingress program.
    #[arg(long, default_value = "target/release/ingress")]
    pub ingress: PathBuf,
    /// The library that makes system calls fail.
    #[arg(long, default_value = "target/release/libfault_shim.so")]
    pub shim: PathBuf,
    /// A kind of fault to draw from, instead of all; may be given more than once.
    #[arg(long, value_enum)]
    pub only: Vec<FaultScenario>,
    /// How many ingresses run, 40 at most.
    #[arg(long, default_value_t = 10)]
    pub ingresses: usize,
    /// How many backends run.
    #[arg(long, default_value_t = 6)]
    pub backends: usize,
    /// How many clients send requests.
    #[arg(long, default_value_t = 24)]
    pub clients: usize,
    /// How long clients send requests, in seconds; 60 at most.
    #[arg(long, default_value_t = 8)]
    pub seconds: u64,
    /// Where configurations and logs go; a folder of its own for each process by default.
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// The file that each run adds a line of JSON to.
    #[arg(long)]
    pub output: Option<PathBuf>,
    /// The level of the ingresses' logs.
    #[arg(long, default_value = "info")]
    pub log_level: String,
}

impl RunOptions {
    /// The plan of a seed.
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

    /// The programs of a run, and where their files go.
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

/// A range of seeds, both ends included.
#[derive(Clone, Copy, Debug)]
pub struct SeedRange {
    /// The first seed.
    pub first: u64,
    /// The last seed.
    pub last: u64,
}

/// Why a range of seeds cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SeedRangeError {
    /// It does not have two ends.
    #[error("seeds are given as FIRST..LAST")]
    NotARange,
    /// An end is not an integer.
    #[error("a seed is an integer")]
    NotANumber(#[from] ParseIntError),
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<SeedRange, SeedRangeError> {
        let (first, last) = text.split_once("..").ok_or(SeedRangeError::NotARange)?;
        Ok(SeedRange { first: first.parse()?, last: last.parse()? })
    }
}
