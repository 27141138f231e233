//! Real ingresses on loopback, each with a configuration of its own, that are killed when their handles are
//! dropped.

mod config;

pub use config::{DiscoveryMode, IngressConfig, InitialList};

use crate::procfs::{self, ProcessMemory};
use anyhow::{bail, Context};
use stand_ins::process::{set_config_file, ConfigFile};
use stand_ins::resp::ping;
use stand_ins::server::listen;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The most ingresses that may be started.
const MAX_PROCESSES: u64 = 400;
/// The memory that is estimated for each.
const MEMORY_PER_PROCESS: u64 = 16 << 20;
/// How long an ingress may take to answer a PING.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// The time between two pings of an ingress that is not ready yet.
const PING_INTERVAL: Duration = Duration::from_millis(2);

/// Checks that so many ingresses may be started here: a few hundred, in half of the machine's memory.
///
/// # Errors
///
/// If there are too many processes, too little memory for them, or `/proc/meminfo` cannot be read.
pub fn check_capacity(processes: u64) -> anyhow::Result<()> {
    if processes > MAX_PROCESSES {
        bail!("{processes} processes are more than {MAX_PROCESSES}");
    }
    let meminfo = std::fs::read_to_string("/proc/meminfo").context("cannot read /proc/meminfo")?;
    let needed = processes * MEMORY_PER_PROCESS;
    let total = procfs::bytes(&meminfo, "MemTotal");
    let free = procfs::bytes(&meminfo, "MemAvailable");
    let available = (total / 2).min(free);
    if needed > available {
        bail!("{processes} processes want {} MB, and {} MB are free for them", needed >> 20, available >> 20);
    }
    Ok(())
}

/// A running ingress; it is killed when the handle is dropped.
pub struct IngressProcess {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it was started.
    pub started_at: Instant,
    /// The process.
    child: Child,
    /// Its configuration.
    config_file: ConfigFile,
    /// The program that it runs.
    program: PathBuf,
}

impl IngressProcess {
    /// Starts an ingress at a port of its own.
    ///
    /// # Errors
    ///
    /// If no port is free, the configuration cannot be written, or the program cannot be started.
    pub fn start(program: &Path, config: &IngressConfig) -> anyhow::Result<IngressProcess> {
        let address = listen()?.local_addr()?;
        let file_name = format!("fleet-experiments-{}-{}.json", std::process::id(), address.port());
        let file = std::env::temp_dir().join(file_name);
        let config_file = ConfigFile::create(&file, &config.to_json(address))
            .with_context(|| format!("cannot write {}", file.display()))?;
        let child = Self::spawn(program, config_file.path())?;
        let program = program.to_path_buf();
        Ok(IngressProcess { address, started_at: Instant::now(), child, config_file, program })
    }

    /// Starts the program with a configuration file.
    fn spawn(program: &Path, config_file: &Path) -> anyhow::Result<Child> {
        let mut command = Command::new(program);
        set_config_file(&mut command, config_file);
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        command.spawn().with_context(|| format!("cannot start {}", program.display()))
    }

    /// Kills it and restarts it, at the same address.
    ///
    /// # Errors
    ///
    /// If the process cannot be killed, or the program cannot be started.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = Self::spawn(&self.program, self.config_file.path())?;
        self.started_at = Instant::now();
        Ok(())
    }

    /// Writes another configuration and has the ingress reload it.
    ///
    /// # Errors
    ///
    /// If the configuration cannot be written, or the process cannot be signalled.
    pub fn reconfigure(&self, config: &IngressConfig) -> anyhow::Result<()> {
        self.config_file.replace(&config.to_json(self.address))?;
        let process = self.child.id();
        if !Command::new("kill").args(["-HUP", &process.to_string()]).status()?.success() {
            bail!("cannot signal process {process}");
        }
        Ok(())
    }

    /// Waits until it answers a ping; the time since its start.
    ///
    /// # Errors
    ///
    /// If the ingress does not answer before the timeout.
    pub fn wait_until_ready(&self, timeout: Duration) -> anyhow::Result<Duration> {
        while self.started_at.elapsed() < timeout {
            if self.answers_ping() {
                return Ok(self.started_at.elapsed());
            }
            std::thread::sleep(PING_INTERVAL);
        }
        bail!("the ingress at {} was not ready in {timeout:?}", self.address)
    }

    /// Whether it answers a PING on a connection of its own.
    pub fn answers_ping(&self) -> bool {
        ping(self.address, PING_TIMEOUT).unwrap_or(false)
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// The memory that it takes.
    pub fn memory(&self) -> ProcessMemory {
        procfs::memory(self.child.id())
    }

    /// The processor time that it has used, in seconds; the system counts in hundredths.
    pub fn cpu_seconds(&self) -> f64 {
        procfs::cpu_seconds(self.child.id())
    }

    /// Kills it; returns its log.
    pub fn kill_and_read_log(mut self) -> String {
        let _ = self.child.kill();
        let mut log = String::new();
        if let Some(mut stderr) = self.child.stderr.take() {
            let _ = stderr.read_to_string(&mut log);
        }
        log
    }
}

impl Drop for IngressProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
