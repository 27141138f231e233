//! The processes of the ingresses: started with the system call faults of the plan, signalled, and ended.

use crate::context::RunContext;
use crate::record::{ProcessEvent, ProcessRecord};
use crate::settings::{config_json, Addresses};
use anyhow::Context;
use fault_plan::PLAN_VARIABLE;
use rustix::process::{kill_process, Pid, Signal};
use stand_ins::process::set_config_file;
use stand_ins::resp::ping;
use std::fs::{self, File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long an ingress may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an ingress may take to exit after SIGTERM: the longest deadline and 0.7 s more.
const EXIT_TIMEOUT: Duration = Duration::from_millis(2700);
/// How long a PING may take.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the state of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The programs of a run, and where their files go.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The ingress.
    pub ingress: PathBuf,
    /// The library that makes system calls fail; none to run without.
    pub shim: Option<PathBuf>,
    /// Where configurations and logs go.
    pub folder: PathBuf,
    /// The level of the logs.
    pub log_level: String,
    /// This process got SIGINT or SIGTERM: a run ends early, and leaves no ingress behind.
    pub interrupted: Arc<AtomicBool>,
}

/// An ingress, whose process is started and ended several times in a run.
pub struct Ingress {
    /// Its number in the fleet.
    number: usize,
    /// The programs.
    programs: Programs,
    /// The run that it belongs to.
    context: Arc<RunContext>,
    /// Where clients connect to it.
    listen: SocketAddr,
    /// Its process, while it runs.
    child: Option<Child>,
}

impl Ingress {
    /// An ingress that does not run yet.
    pub fn new(number: usize, programs: Programs, context: Arc<RunContext>, listen: SocketAddr) -> Ingress {
        Ingress { number, programs, context, listen, child: None }
    }

    /// The file of its configuration.
    fn config_file(&self) -> PathBuf {
        self.programs.folder.join(format!("ingress-{}.json", self.number))
    }

    /// The file of its log.
    pub fn log_file(folder: &Path, number: usize) -> PathBuf {
        folder.join(format!("ingress-{number}.log"))
    }

    /// Writes its configuration.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write_config(
        &self,
        addresses: &Addresses,
        discovery: SocketAddr,
        known_endpoints: &str,
    ) -> anyhow::Result<()> {
        let text = config_json(&self.context.plan, self.number, addresses, discovery, known_endpoints);
        fs::write(self.config_file(), text).context("cannot write a configuration")
    }

    /// Writes half of a configuration.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or written.
    pub fn write_truncated_config(&self) -> anyhow::Result<()> {
        let text = fs::read_to_string(self.config_file())?;
        fs::write(self.config_file(), &text[..text.len() / 2]).context("cannot write a configuration")
    }

    /// Records what happened to the process.
    fn record(&self, event: ProcessEvent) {
        let record = ProcessRecord { ingress: self.number, event, at: self.context.recorder.now() };
        tracing::debug!(ingress = self.number, ?event, "ingress process event");
        self.context.recorder.observations().processes.push(record);
    }

    /// Starts the process, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// If the log file cannot be opened, or the program cannot be started. An ingress that does not become
    /// ready is recorded, and is no error.
    pub fn start(&mut self) -> anyhow::Result<()> {
        self.child = Some(self.command()?.spawn().context("cannot start the ingress")?);
        self.record(ProcessEvent::Started);
        let started = Instant::now();
        while !self.answers_ping() {
            if self.has_exited() || started.elapsed() > READY_TIMEOUT {
                self.record(ProcessEvent::NotReady);
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.record(ProcessEvent::Ready);
        Ok(())
    }

    /// The command that starts the process now, with its log and its system call faults.
    fn command(&self) -> anyhow::Result<Command> {
        let log_file = Ingress::log_file(&self.programs.folder, self.number);
        let log: File = OpenOptions::new().create(true).append(true).open(log_file)?;
        let mut command = Command::new(&self.programs.ingress);
        set_config_file(&mut command, &self.config_file());
        command.env("LB_LOG", &self.programs.log_level);
        if let Some(shim) = &self.programs.shim {
            let faults = self.context.plan.shim_plan(self.number, self.context.recorder.now_ms());
            command.env("LD_PRELOAD", shim).env(PLAN_VARIABLE, faults.to_json());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Ok(command)
    }

    /// Whether the process answers a PING.
    fn answers_ping(&self) -> bool {
        ping(self.listen, PING_TIMEOUT).unwrap_or(false)
    }

    /// Whether no process runs.
    fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends the process a signal.
    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(id) = id {
            let _ = kill_process(id, signal);
        }
    }

    /// Records an exit that nobody requested.
    pub fn record_unexpected_exit(&mut self) {
        if self.child.is_some() && self.has_exited() {
            self.record(ProcessEvent::Crashed);
            self.child = None;
        }
    }

    /// Sends the process SIGTERM, and waits until it has exited.
    pub fn terminate(&mut self) {
        self.record(ProcessEvent::Terminated);
        self.signal(Signal::TERM);
        let signalled_at = Instant::now();
        while !self.has_exited() {
            if signalled_at.elapsed() > EXIT_TIMEOUT {
                self.record(ProcessEvent::Overdue);
                return self.end();
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.record(ProcessEvent::Exited);
        self.child = None;
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.record(ProcessEvent::Killed);
        self.end();
    }

    /// Ends the process at once.
    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Has the process reload its configuration.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Has the process log its counters.
    pub fn log_counters(&self) {
        self.signal(Signal::USR1);
    }

    /// Stops the process for a while.
    pub fn pause(&self, time: Duration) {
        self.record(ProcessEvent::Paused);
        self.signal(Signal::STOP);
        thread::sleep(time);
        self.signal(Signal::CONT);
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        self.end();
    }
}
