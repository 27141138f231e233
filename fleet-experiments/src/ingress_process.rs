//! Real ingresses on loopback: started with a configuration each, ended with the handle, and nothing else touched.

use crate::stand_in;
use anyhow::{bail, Context};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The most processes, and what each is reckoned to take when there is to be room for all of them.
const MOST_PROCESSES: u64 = 400;
const MEMORY_EACH: u64 = 16 << 20;

/// Checks that so many ingresses may be started here: a few hundred, in half of the machine's memory.
pub fn check_room(processes: u64) -> anyhow::Result<()> {
    if processes > MOST_PROCESSES {
        bail!("{processes} processes are more than {MOST_PROCESSES}");
    }
    let text = std::fs::read_to_string("/proc/meminfo").context("cannot read /proc/meminfo")?;
    let kb = |key: &str| {
        let line = text.lines().find(|l| l.starts_with(key));
        line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0)
    };
    let (wanted, room) =
        (processes * MEMORY_EACH, (kb("MemTotal:") * 1024 / 2).min(kb("MemAvailable:") * 1024));
    if wanted > room {
        bail!("{processes} processes want {} MB, and {} MB are free for them", wanted >> 20, room >> 20);
    }
    Ok(())
}

/// How an ingress is configured.
#[derive(Clone)]
pub struct Setup {
    /// Its number, and how many ingresses the fleet has by its settings.
    pub number: u64,
    /// The size of the fleet, as the settings tell it.
    pub fleet: u64,
    /// Discovery.
    pub discovery: SocketAddr,
    /// `push` or `ask`.
    pub mode: &'static str,
    /// The version and the lines of the list that it starts with.
    pub known: (u64, Vec<String>),
    /// Its limit on memory, in MB.
    pub memory_mb: u64,
}

impl Setup {
    fn config(&self, listen: SocketAddr) -> String {
        let Setup { number, fleet, discovery, mode, memory_mb, .. } = self;
        let known = stand_in::list(self.known.0, true, &self.known.1);
        let zones: Vec<String> = (0..crate::simulation::ZONES).map(|z| format!("\"z{z}\"")).collect();
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{:016x}",
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},"known":{known},
 "settings":{{"n_instances":{fleet},"slot_no":{number},"zone":0,"tick_us":4000,"zones":[{}],"skus":["m"],
 "grades":[{{"name":"quote","effect":"repeatable","group":"all","window_us":0,"objective_us":1000000,
  "give_up_us":3000000,"worth":1.0,"late_worth":0.0,"stream":false}}],
 "contracts":[{{"name":"starter","quota_rate":1000000.0,"burst":1000000.0,"max_out":0,"never_over_rate":0.0,
  "ceiling_burst":0.0,"ceiling_slack":0.0,"worth_factor":1.0,"over_worth":0.0,"beyond_costs":1.0}}],
 "limits":{{"most_tries":3,"second_copies":true,"cancelling":true,"may_probe":false,"peers":false,"retry_after":true,
  "max_retry_after_us":2000000,"max_open":20000,"connect_timeout_us":250000,"keepalive_us":15000000}},
 "family_info":{{"peer_in_per_s":40.0,"has_counter":false,"meter_period_us":0,"post_paid":false}},
 "rules":{{"answer_slack_us":16000,"drain_grace_us":250000,"cold_from":0.28,"cold_us":16000000,
  "overload_factor":4.0,"fall_us":1000000,"must_ask_in_us":10000000}},
 "membership_mode":"{mode}","weights":"nominal","reporting":{{"how":"none","fields":[]}}}}}}"#,
            number + 7,
            zones.join(",")
        )
    }
}

/// An ingress that runs; it is ended with this.
pub struct Ingress {
    /// Where it listens.
    pub at: SocketAddr,
    /// When it was started.
    pub began: Instant,
    child: Child,
    file: PathBuf,
    program: PathBuf,
}

impl Ingress {
    /// Starts one.
    pub fn start(program: &Path, setup: &Setup) -> anyhow::Result<Ingress> {
        let at = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let file =
            std::env::temp_dir().join(format!("fleet-experiments-{}-{}.json", std::process::id(), at.port()));
        std::fs::write(&file, setup.config(at))
            .with_context(|| format!("cannot write {}", file.display()))?;
        let child = Self::spawn(program, &file)?;
        Ok(Ingress { at, began: Instant::now(), child, file, program: program.to_path_buf() })
    }

    fn spawn(program: &Path, file: &Path) -> anyhow::Result<Child> {
        let mut command = Command::new(program);
        command.env("LB_CONFIG", file).stdin(Stdio::null()).stderr(Stdio::piped());
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        command.spawn().with_context(|| format!("cannot start {}", program.display()))
    }

    /// Kills it and starts it anew, at the same address.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = Self::spawn(&self.program, &self.file)?;
        self.began = Instant::now();
        Ok(())
    }

    /// Gives it another configuration and tells it so.
    pub fn configure(&self, setup: &Setup) -> anyhow::Result<()> {
        let new = self.file.with_extension("new");
        std::fs::write(&new, setup.config(self.at))?;
        std::fs::rename(&new, &self.file)?;
        let told = Command::new("kill").args(["-HUP", &self.child.id().to_string()]).status()?;
        if !told.success() {
            bail!("cannot signal process {}", self.child.id());
        }
        Ok(())
    }

    /// Waits until it answers PING; the time since its start.
    pub fn ready(&self, most: Duration) -> anyhow::Result<Duration> {
        while self.began.elapsed() < most {
            if self.answers() {
                return Ok(self.began.elapsed());
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        bail!("the ingress at {} was not ready in {most:?}", self.at)
    }

    /// Whether it answers PING.
    pub fn answers(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect(self.at)?;
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
            let mut answer = [0; 7];
            stream.read_exact(&mut answer)?;
            Ok(&answer == b"+PONG\r\n")
        };
        ask().unwrap_or(false)
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Resident memory now and at its most, in bytes.
    pub fn memory(&self) -> (u64, u64) {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let kb = |key: &str| {
            let line = text.lines().find(|l| l.starts_with(key));
            line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0)
        };
        (kb("VmRSS:") * 1024, kb("VmHWM:") * 1024)
    }

    /// Processor time used so far, in seconds; the system counts in hundredths.
    pub fn cpu(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }

    /// Ends it; what it wrote to its log.
    pub fn end(mut self) -> String {
        let _ = self.child.kill();
        let mut log = String::new();
        if let Some(mut err) = self.child.stderr.take() {
            let _ = err.read_to_string(&mut log);
        }
        log
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
