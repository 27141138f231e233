//! Results: one JSON line for each point, with the seed, the commit and the machine.

use crate::procfs;
use anyhow::Context;
use serde::Serialize;
use serde_json::Value;
use std::fs::File;
use std::io::{sink, stdout, Write};
use std::path::Path;
use std::process::Command;

/// Paths that must be unmodified for the commit to be recorded without a `+`.
const SOURCES: [&str; 4] = ["src", "fleet-experiments/src", "stand-ins/src", "Cargo.lock"];

/// Writer of results, which also keeps the points in memory.
pub struct Report {
    /// Output file, standard output, or a sink.
    out: Box<dyn Write>,
    seed: u64,
    /// Commit that the experiments run at.
    commit: String,
    /// Description of the machine that the experiments run on.
    machine: String,
    /// Points recorded so far, for callers that evaluate them.
    pub points: Vec<Value>,
}

/// One line of a file of results.
#[derive(Serialize)]
struct ResultLine<'a> {
    commit: &'a str,
    experiment: &'a str,
    machine: &'a str,
    point: &'a Value,
    seed: u64,
}

impl Report {
    /// Creates a report that writes to a file, or to standard output without a path.
    ///
    /// # Errors
    ///
    /// If the file cannot be created.
    pub fn create(path: Option<&Path>, seed: u64) -> anyhow::Result<Report> {
        let out: Box<dyn Write> = match path {
            Some(path) => {
                Box::new(File::create(path).with_context(|| format!("cannot create {}", path.display()))?)
            }
            None => Box::new(stdout()),
        };
        Ok(Report { out, seed, commit: commit(), machine: machine(), points: Vec::new() })
    }

    /// Creates a report that keeps its points in memory and writes nothing.
    pub fn in_memory(seed: u64) -> Report {
        let commit = String::new();
        let machine = String::new();
        Report { out: Box::new(sink()), seed, commit, machine, points: Vec::new() }
    }

    /// Writes a point as a JSON line and logs it.
    ///
    /// # Errors
    ///
    /// If the point cannot be serialized, or the line cannot be written.
    pub fn record(&mut self, experiment: &str, point: &impl Serialize) -> anyhow::Result<()> {
        let point = serde_json::to_value(point).context("cannot serialize a point")?;
        tracing::info!("report: point measured, experiment={experiment} point={point}");
        let commit = &self.commit;
        let machine = &self.machine;
        let line = ResultLine { commit, experiment, machine, point: &point, seed: self.seed };
        let line = serde_json::to_string(&line).context("cannot serialize a result")?;
        writeln!(self.out, "{line}").and_then(|()| self.out.flush()).context("cannot write a result")?;
        self.points.push(point);
        Ok(())
    }
}

/// Returns the first line of a program's output; `None` if the program fails or prints nothing.
fn first_line(program: &str, arguments: &[&str]) -> Option<String> {
    let output = Command::new(program).args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok().filter(|_| output.status.success())?;
    text.lines().next().map(str::to_string)
}

/// Returns the abbreviated hash of the checked-out commit, followed by `+` if [`SOURCES`] are modified.
fn commit() -> String {
    let Some(head) = first_line("git", &["rev-parse", "--short", "HEAD"]) else { return "unknown".into() };
    let mut status = vec!["status", "--porcelain", "--"];
    status.extend(SOURCES);
    match first_line("git", &status) {
        Some(_) => head + "+",
        None => head,
    }
}

/// Returns the number of cores, the processor model and the memory size of this machine.
fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let cpuinfo = procfs::read("/proc/cpuinfo");
    let meminfo = procfs::read("/proc/meminfo");
    let processor = procfs::value(&cpuinfo, "model name").unwrap_or("unknown");
    let memory = procfs::value(&meminfo, "MemTotal").unwrap_or("unknown");
    format!("{cores} cores, {processor}, {memory}")
}
