//! Experiments on real ingresses, for what only sockets and processes show.

use crate::experiment_file::{whole as amounts_of, Amounts};
use crate::ingress_process::{check_room, Ingress, Setup};
use crate::report::Report;
use crate::stand_in::{self, Discovery};
use anyhow::Context;
use hdrhistogram::Histogram;
use serde::Deserialize;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// The longest that anything is waited for.
const PATIENCE: Duration = Duration::from_secs(30);

/// The endpoint list at a real ingress, from an agent of its own.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListExperiment {
    /// Backends in the list.
    pub backends: Vec<u64>,
    /// Changes of one backend at each size.
    pub changes: u64,
    /// The ingress's limit on memory, in MB.
    pub memory_mb: u64,
}

impl ListExperiment {
    /// What is to be checked.
    pub fn amounts(&self) -> Amounts {
        vec![
            ("real_list.backends", amounts_of(&self.backends)),
            ("real_list.changes", vec![self.changes as f64]),
            ("real_list.memory_mb", vec![self.memory_mb as f64]),
        ]
    }

    /// Runs it: a point for each size. A list that is not taken within the patience, or said to be bad, is refused.
    pub fn run(&self, program: &Path, report: &mut Report) -> anyhow::Result<()> {
        check_room(1)?;
        // Nobody is asked for anything: all backends may be one place.
        let place: SocketAddr = "127.0.0.1:9".parse()?;
        for &backends in &self.backends {
            let entries: Vec<String> = (0..backends).map(|n| stand_in::entry(n, place, "up")).collect();
            let body = stand_in::list(2, true, &entries);
            let discovery = Discovery::start()?;
            let setup = Setup {
                number: 0,
                fleet: 2900,
                discovery: discovery.at,
                mode: "push",
                known: (1, Vec::new()),
                memory_mb: self.memory_mb,
            };
            let mut ingress = Ingress::start(program, &setup)?;
            ingress.ready(PATIENCE)?;
            let (bytes, empty, cpu) = (body.len(), ingress.memory().0, ingress.cpu());
            let began = Instant::now();
            discovery.tell(2, body);
            // It has read the list once it asks for what is newer, and has taken it once it answers behind that.
            let taken = discovery.wait_for(Some(2), 1, PATIENCE / 3);
            anyhow::ensure!(ingress.answers(), "no answer behind the list");
            let (took, used) = (began.elapsed(), ingress.cpu() - cpu);
            let (memory, most) = ingress.memory();
            let mut change_us = None;
            if taken {
                let cpu = ingress.cpu();
                for n in 0..self.changes {
                    let status = if n % 2 == 0 { "draining" } else { "up" };
                    let entry = stand_in::entry(n / 2 * 7919 % backends, place, status);
                    discovery.tell(3 + n, stand_in::list(3 + n, false, &[entry]));
                    anyhow::ensure!(discovery.wait_for(Some(3 + n), 1, PATIENCE), "change {n} was not taken");
                }
                anyhow::ensure!(ingress.answers(), "no answer behind the changes");
                change_us = Some((ingress.cpu() - cpu) / self.changes as f64 * 1e6);
            }
            let runs = ingress.runs();
            let log = ingress.end();
            let why = log.lines().filter(|l| l.contains("discovery:")).map(str::to_string).next();
            report.point(
                "real_list",
                json!({
                    "backends": backends, "bytes": bytes, "taken": taken, "runs": runs,
                    "took_s": taken.then_some(took.as_secs_f64()), "cpu_s": used, "memory_before": empty,
                    "memory": memory, "memory_most": most, "changes": self.changes,
                    "change_cpu_us": change_us, "log": why.filter(|_| !taken),
                }),
            )?;
        }
        Ok(())
    }
}

/// Most of a fleet of real ingresses killed and started anew under load, and then a new configuration for all.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RestartExperiment {
    /// Ingresses that run here.
    pub processes: u64,
    /// Sizes of the fleet that their settings tell of.
    pub fleets: Vec<u64>,
    /// Backends in the list that each starts with.
    pub known: u64,
    /// Connections that ask for something all the time, at those that go on.
    pub clients: u64,
}

impl RestartExperiment {
    /// What is to be checked.
    pub fn amounts(&self) -> Amounts {
        vec![
            ("real_restart.processes", vec![self.processes as f64]),
            ("real_restart.fleets", amounts_of(&self.fleets)),
            ("real_restart.known", vec![self.known as f64]),
            ("real_restart.clients", vec![self.clients as f64]),
        ]
    }

    /// Runs it: a point for each size, times in seconds.
    pub fn run(&self, program: &Path, report: &mut Report) -> anyhow::Result<()> {
        check_room(self.processes)?;
        let backend = stand_in::backend()?;
        let known: Vec<String> = (0..self.known).map(|n| stand_in::entry(n, backend, "up")).collect();
        for &fleet in &self.fleets {
            let (discovery, moved) = (Discovery::start()?, Discovery::start()?);
            // Each starts with a version of its own: so its calls are told from those of the others.
            let setup = |number: u64, at: SocketAddr| Setup {
                number,
                fleet,
                discovery: at,
                mode: "ask",
                known: (1_000 + number, known.clone()),
                memory_mb: 192,
            };
            let mut ingresses = Vec::new();
            for n in 0..self.processes {
                ingresses.push(Ingress::start(program, &setup(n, discovery.at))?);
            }
            for ingress in &ingresses {
                ingress.ready(PATIENCE)?;
            }
            let survives = |n: usize| n % 10 == 0;
            let stay: Vec<SocketAddr> =
                ingresses.iter().enumerate().filter(|(n, _)| survives(*n)).map(|(_, i)| i.at).collect();
            let load = Load::start(self.clients, &stay)?;
            let calls = |n: usize| discovery.asked(Some(1_000 + n as u64));
            for (n, ingress) in ingresses.iter_mut().enumerate().filter(|(n, _)| !survives(*n)) {
                ingress.restart().with_context(|| format!("restart of {n}"))?;
            }
            let (mut ready, mut first) = (Vec::new(), Vec::new());
            for (n, ingress) in ingresses.iter().enumerate().filter(|(n, _)| !survives(*n)) {
                ready.push(ingress.ready(PATIENCE).with_context(|| format!("start of {n}"))?.as_secs_f64());
            }
            for (n, ingress) in ingresses.iter().enumerate().filter(|(n, _)| !survives(*n)) {
                let call = || calls(n).into_iter().find(|t| *t >= ingress.began);
                while call().is_none() && ingress.began.elapsed() < PATIENCE * 3 {
                    std::thread::sleep(Duration::from_millis(10));
                }
                first.push(call().map_or(f64::INFINITY, |t| (t - ingress.began).as_secs_f64()));
            }
            let began = Instant::now();
            for (n, ingress) in ingresses.iter().enumerate() {
                ingress.configure(&setup(n as u64, moved.at))?;
            }
            let all = moved.wait_for(None, ingresses.len(), PATIENCE);
            let asked = moved.asked(None);
            let in_force = asked.iter().max().map(|t| (*t - began).as_secs_f64());
            let served = load.end();
            let at = |list: &mut Vec<f64>, share: f64| {
                list.sort_by(f64::total_cmp);
                list[((list.len() as f64 * share) as usize).clamp(1, list.len()) - 1]
            };
            report.point(
                "real_restart",
                json!({
                    "processes": self.processes, "fleet": fleet, "known": self.known, "restarted": ready.len(),
                    "pong_p50_s": at(&mut ready, 0.5), "pong_p90_s": at(&mut ready, 0.9),
                    "pong_last_s": at(&mut ready, 1.0), "list_p50_s": at(&mut first, 0.5),
                    "list_p90_s": at(&mut first, 0.9), "list_last_s": at(&mut first, 1.0),
                    "configured": asked.len(), "all_configured": all, "config_last_s": in_force, "served": served,
                }),
            )?;
        }
        Ok(())
    }
}

fn call(customer: usize, id: &str) -> Vec<u8> {
    let customer = format!("{customer:016x}");
    let options = "c=quote,t=starter,d=2000,units=1,spread=1,first=0";
    let mut out = b"*4\r\n".to_vec();
    for word in ["CALL.GET", &customer, id, options] {
        out.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    out
}

/// Asks once and reads the answer; true if it is a value.
fn ask(stream: &mut TcpStream, text: &[u8], chunk: &mut [u8]) -> std::io::Result<bool> {
    stream.write_all(text)?;
    let mut got = 0;
    while got < 3 || !chunk[..got].ends_with(b"\r\n") || (chunk[0] == b'$' && lines(&chunk[..got]) < 2) {
        match stream.read(&mut chunk[got..])? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => got += n,
        }
    }
    Ok(chunk[0] == b'$')
}

fn lines(text: &[u8]) -> usize {
    text.iter().filter(|b| **b == b'\n').count()
}

/// Connections that ask one request after another.
struct Load {
    stop: std::sync::Arc<std::sync::atomic::AtomicBool>,
    threads: Vec<std::thread::JoinHandle<u64>>,
}

impl Load {
    fn start(clients: u64, at: &[SocketAddr]) -> anyhow::Result<Load> {
        let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        let mut threads = Vec::new();
        for n in 0..clients as usize {
            let (stop, mut stream) = (stop.clone(), TcpStream::connect(at[n % at.len()])?);
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            threads.push(std::thread::spawn(move || {
                let (mut served, mut chunk) = (0, [0; 4096]);
                for k in 0u64.. {
                    if stop.load(std::sync::atomic::Ordering::Relaxed) {
                        break;
                    }
                    let Ok(good) = ask(&mut stream, &call(n, &format!("c{n}x{k}")), &mut chunk) else {
                        break;
                    };
                    served += u64::from(good);
                    std::thread::sleep(Duration::from_millis(2));
                }
                served
            }));
        }
        Ok(Load { stop, threads })
    }

    fn end(self) -> u64 {
        self.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        self.threads.into_iter().filter_map(|t| t.join().ok()).sum()
    }
}

/// Time that a real ingress adds to a request, before a backend that takes as long for each.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddedExperiment {
    /// Requests a second, in all.
    pub rates: Vec<u64>,
    /// Connections that they are spread over.
    pub connections: u64,
    /// Requests at each rate.
    pub requests: u64,
    /// Backends in the list; all are one place.
    pub backends: u64,
}

impl AddedExperiment {
    /// What is to be checked.
    pub fn amounts(&self) -> Amounts {
        vec![
            ("real_added.rates", amounts_of(&self.rates)),
            ("real_added.connections", vec![self.connections as f64]),
            ("real_added.requests", vec![self.requests as f64]),
            ("real_added.backends", vec![self.backends as f64]),
        ]
    }

    /// Connections have to be many enough that none is late by the one before.
    /// Runs it: a point for each rate, times in microseconds, through an ingress and straight to the backend. Requests go
    /// out at set times, and a request's time counts from the time that was set for it.
    pub fn run(&self, program: &Path, report: &mut Report) -> anyhow::Result<()> {
        check_room(1)?;
        let (backend, discovery) = (stand_in::backend()?, Discovery::start()?);
        let known: Vec<String> = (0..self.backends).map(|n| stand_in::entry(n, backend, "up")).collect();
        for &rate in &self.rates {
            let setup = Setup {
                number: 0,
                fleet: 1,
                discovery: discovery.at,
                mode: "push",
                known: (1, known.clone()),
                memory_mb: 192,
            };
            let ingress = Ingress::start(program, &setup)?;
            ingress.ready(PATIENCE)?;
            let cpu = ingress.cpu();
            let (through, served) = self.times(ingress.at, rate)?;
            let cpu_us = (ingress.cpu() - cpu) / self.requests as f64 * 1e6;
            let (straight, _) = self.times(backend, rate)?;
            let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q);
            report.point(
                "real_added",
                json!({
                    "rate": rate, "connections": self.connections, "requests": self.requests,
                    "backends": self.backends, "served": served, "cpu_us_each": cpu_us,
                    "through_p50_us": at(&through, 0.5), "through_p99_us": at(&through, 0.99),
                    "straight_p50_us": at(&straight, 0.5), "straight_p99_us": at(&straight, 0.99),
                    "added_p50_us": at(&through, 0.5) as i64 - at(&straight, 0.5) as i64,
                    "added_p99_us": at(&through, 0.99) as i64 - at(&straight, 0.99) as i64,
                }),
            )?;
        }
        Ok(())
    }

    fn times(&self, to: SocketAddr, rate: u64) -> anyhow::Result<(Histogram<u64>, u64)> {
        let mut threads = Vec::new();
        let (connections, each) = (self.connections, self.requests / self.connections);
        for n in 0..connections {
            let mut stream = TcpStream::connect(to)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            let gap = Duration::from_secs_f64(connections as f64 / rate as f64);
            let began = Instant::now() + gap.mul_f64(n as f64 / connections as f64);
            threads.push(std::thread::spawn(move || -> anyhow::Result<(Histogram<u64>, u64)> {
                let (mut times, mut served, mut chunk) = (Histogram::new(3)?, 0, [0; 4096]);
                for k in 0..each {
                    let due = began + gap * k as u32;
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let good = ask(&mut stream, &call(n as usize, &format!("c{n}x{k}")), &mut chunk)?;
                    served += u64::from(good);
                    times.record(due.elapsed().as_micros() as u64)?;
                }
                Ok((times, served))
            }));
        }
        let (mut all, mut served) = (Histogram::new(3)?, 0);
        for thread in threads {
            let (times, good) = thread.join().map_err(|_| anyhow::anyhow!("a client panicked"))??;
            all.add(&times)?;
            served += good;
        }
        Ok((all, served))
    }
}
