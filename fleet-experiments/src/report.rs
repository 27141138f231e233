//! Results: a line of JSON for each point, with the seed, the commit and the machine.

use crate::procfs;
use anyhow::Context;
use serde::Serialize;
use serde_json::Value;
use std::fs::File;
use std::io::{sink, stdout, Write};
use std::path::Path;
use std::process::Command;

/// The files that have to be as committed for a commit to be named without a mark.
const SOURCES: [&str; 4] = ["src", "fleet-experiments/src", "stand-ins/src", "Cargo.lock"];

/// Where results go.
pub struct Report {
    /// The file, or standard output.
    out: Box<dyn Write>,
    /// Seed of all random draws.
    seed: u64,
    /// The commit that was run.
    commit: String,
    /// The machine that it was run on.
    machine: String,
    /// The points so far, for whoever runs experiments from code.
    pub points: Vec<Value>,
}

/// A line of a file of results.
#[derive(Serialize)]
struct ResultLine<'a> {
    /// The commit that was run.
    commit: &'a str,
    /// The experiment's name.
    experiment: &'a str,
    /// The machine that it was run on.
    machine: &'a str,
    /// The experiment's point.
    point: &'a Value,
    /// Seed of all random draws.
    seed: u64,
}

impl Report {
    /// Writes to a file, or to standard output.
    ///
    /// # Errors
    ///
    /// If the file cannot be created.
    pub fn create(path: Option<&Path>, seed: u64) -> anyhow::Result<Report> {
        let out: Box<dyn Write> = match path {
            Some(path) => {
                Box::new(File::create(path).with_context(|| format!("cannot write {}", path.display()))?)
            }
            None => Box::new(stdout()),
        };
        Ok(Report { out, seed, commit: commit(), machine: machine(), points: Vec::new() })
    }

    /// Keeps results in memory only.
    pub fn in_memory(seed: u64) -> Report {
        let commit = String::new();
        let machine = String::new();
        Report { out: Box::new(sink()), seed, commit, machine, points: Vec::new() }
    }

    /// Writes a point, and a line of progress.
    ///
    /// # Errors
    ///
    /// If the point cannot be written as JSON, or the line cannot be written.
    pub fn record(&mut self, experiment: &str, point: &impl Serialize) -> anyhow::Result<()> {
        let point = serde_json::to_value(point).context("cannot write a result")?;
        tracing::info!("report: point measured, experiment={experiment} point={point}");
        let commit = &self.commit;
        let machine = &self.machine;
        let line = ResultLine { commit, experiment, machine, point: &point, seed: self.seed };
        let line = serde_json::to_string(&line).context("cannot write a result")?;
        writeln!(self.out, "{line}").and_then(|()| self.out.flush()).context("cannot write a result")?;
        self.points.push(point);
        Ok(())
    }
}

/// The first line that a program prints; none if it fails or prints nothing.
fn first_line(program: &str, arguments: &[&str]) -> Option<String> {
    let output = Command::new(program).args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok().filter(|_| output.status.success())?;
    text.lines().next().map(str::to_string)
}

/// The commit that is checked out, with `+` where files differ from it.
fn commit() -> String {
    let Some(head) = first_line("git", &["rev-parse", "--short", "HEAD"]) else { return "unknown".into() };
    let mut status = vec!["status", "--porcelain", "--"];
    status.extend(SOURCES);
    match first_line("git", &status) {
        Some(_) => head + "+",
        None => head,
    }
}

/// Cores, processor and memory.
fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let cpuinfo = procfs::read("/proc/cpuinfo");
    let meminfo = procfs::read("/proc/meminfo");
    let processor = procfs::value(&cpuinfo, "model name").unwrap_or("unknown");
    let memory = procfs::value(&meminfo, "MemTotal").unwrap_or("unknown");
    format!("{cores} cores, {processor}, {memory}")
}
