//! Real ingress processes on loopback, each with its own configuration.

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

/// Maximum number of ingress processes.
const MAX_PROCESSES: u64 = 400;
/// Estimated memory of an ingress process, in bytes.
const MEMORY_PER_PROCESS: u64 = 16 << 20;
/// Maximum time for the answer to a PING.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two PINGs of an ingress that is not ready.
const PING_INTERVAL: Duration = Duration::from_millis(2);

/// Checks that this machine can run a number of ingresses: at most `MAX_PROCESSES`, which need at most half
/// of its memory and no more than is available.
///
/// # Errors
///
/// If there are too many processes, too little memory is available, or `/proc/meminfo` cannot be read.
pub fn check_capacity(processes: u64) -> anyhow::Result<()> {
    if processes > MAX_PROCESSES {
        bail!("cannot run {processes} ingresses: the maximum is {MAX_PROCESSES}");
    }
    let meminfo = std::fs::read_to_string("/proc/meminfo").context("cannot read /proc/meminfo")?;
    let needed = processes * MEMORY_PER_PROCESS;
    let total = procfs::bytes(&meminfo, "MemTotal");
    let free = procfs::bytes(&meminfo, "MemAvailable");
    let available = (total / 2).min(free);
    if needed > available {
        bail!(
            "{processes} ingresses need {} MB of memory, but only {} MB are available",
            needed >> 20,
            available >> 20
        );
    }
    Ok(())
}

/// A running ingress process, which is killed when the handle is dropped.
pub struct IngressProcess {
    /// Address that the ingress listens at.
    pub address: SocketAddr,
    /// Time of the last start.
    pub started_at: Instant,
    child: Child,
    config_file: ConfigFile,
    program: PathBuf,
}

impl IngressProcess {
    /// Starts an ingress at a free port.
    ///
    /// # Errors
    ///
    /// If no port is free, the configuration cannot be written, or the program cannot be started.
    pub fn start(program: &Path, config: &IngressConfig) -> anyhow::Result<IngressProcess> {
        let address = listen()?.local_addr()?;
        let file_name = format!("fleet-experiments-{}-{}.json", std::process::id(), address.port());
        let file = std::env::temp_dir().join(file_name);
        let config_file = ConfigFile::create(&file, &config.to_json(address))
            .with_context(|| format!("cannot write the configuration file {}", file.display()))?;
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

    /// Kills the process and restarts it at the same address.
    ///
    /// # Errors
    ///
    /// If the process cannot be killed or started again.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = Self::spawn(&self.program, self.config_file.path())?;
        self.started_at = Instant::now();
        Ok(())
    }

    /// Replaces the configuration file and makes the ingress reload it.
    ///
    /// # Errors
    ///
    /// If the configuration cannot be written, or the signal cannot be sent.
    pub fn reconfigure(&self, config: &IngressConfig) -> anyhow::Result<()> {
        self.config_file.replace(&config.to_json(self.address))?;
        let process = self.child.id();
        if !Command::new("kill").args(["-HUP", &process.to_string()]).status()?.success() {
            bail!("cannot send SIGHUP to process {process}");
        }
        Ok(())
    }

    /// Waits until the ingress answers a PING, and returns the time since its start.
    ///
    /// # Errors
    ///
    /// If the ingress does not answer within `timeout` from its start.
    pub fn wait_until_ready(&self, timeout: Duration) -> anyhow::Result<Duration> {
        while self.started_at.elapsed() < timeout {
            if self.answers_ping() {
                return Ok(self.started_at.elapsed());
            }
            std::thread::sleep(PING_INTERVAL);
        }
        bail!("the ingress at {} was not ready within {timeout:?}", self.address)
    }

    /// Returns whether the ingress answers a PING on a new connection.
    pub fn answers_ping(&self) -> bool {
        ping(self.address, PING_TIMEOUT).unwrap_or(false)
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the current and the peak resident memory of the process.
    pub fn memory(&self) -> ProcessMemory {
        procfs::memory(self.child.id())
    }

    /// Returns the processor time that the process has used, in seconds, with a resolution of 10 ms.
    pub fn cpu_seconds(&self) -> f64 {
        procfs::cpu_seconds(self.child.id())
    }

    /// Kills the process and returns what it has written to standard error.
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
