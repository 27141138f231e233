//! Results: a line of JSON for each point, with the seed, the commit and the machine.

use anyhow::Context;
use serde_json::{json, Value};
use std::fs::File;
use std::io::{stdout, Write};
use std::path::Path;
use std::process::Command;

/// Where results go.
pub struct Report {
    out: Box<dyn Write>,
    seed: u64,
    commit: String,
    machine: String,
    /// The points so far, for whoever runs experiments from code.
    pub points: Vec<Value>,
}

fn first_line(program: &str, args: &[&str]) -> Option<String> {
    let out = Command::new(program).args(args).output().ok().filter(|o| o.status.success())?;
    String::from_utf8(out.stdout).ok()?.lines().next().map(str::to_string)
}

/// The commit that is checked out, with `+` where files differ from it.
fn commit() -> String {
    let Some(head) = first_line("git", &["rev-parse", "--short", "HEAD"]) else { return "unknown".into() };
    let changed =
        first_line("git", &["status", "--porcelain", "--", "src", "fleet-experiments/src", "Cargo.lock"])
            .is_some();
    if changed {
        head + "+"
    } else {
        head
    }
}

/// Cores, processor and memory.
fn machine() -> String {
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let value = |text: &str, key: &str| {
        let line = text.lines().find(|l| l.starts_with(key));
        line.and_then(|l| l.split(':').nth(1)).unwrap_or("unknown").trim().to_string()
    };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let (cpu, memory) =
        (value(&read("/proc/cpuinfo"), "model name"), value(&read("/proc/meminfo"), "MemTotal"));
    format!("{cores} cores, {cpu}, {memory}")
}

impl Report {
    /// Writes to a file, or to standard output.
    pub fn to(path: Option<&Path>, seed: u64) -> anyhow::Result<Report> {
        let out: Box<dyn Write> = match path {
            Some(path) => {
                Box::new(File::create(path).with_context(|| format!("cannot write {}", path.display()))?)
            }
            None => Box::new(stdout()),
        };
        Ok(Report { out, seed, commit: commit(), machine: machine(), points: Vec::new() })
    }

    /// Keeps results in memory only.
    pub fn kept(seed: u64) -> Report {
        Report {
            out: Box::new(std::io::sink()),
            seed,
            commit: String::new(),
            machine: String::new(),
            points: vec![],
        }
    }

    /// Writes a point, and a line of progress.
    pub fn point(&mut self, experiment: &str, point: Value) -> anyhow::Result<()> {
        tracing::info!("{experiment}: {point}");
        let (seed, commit, machine) = (self.seed, &self.commit, &self.machine);
        let line = json!({
            "experiment": experiment, "seed": seed, "commit": commit, "machine": machine, "point": point
        });
        writeln!(self.out, "{line}").and_then(|()| self.out.flush()).context("cannot write a result")?;
        self.points.push(point);
        Ok(())
    }
}
