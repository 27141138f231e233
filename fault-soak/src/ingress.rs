//! Ingress processes: starts them with the system call faults of the plan, sends signals and terminates them.

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

/// Maximum time from the start of an ingress until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time from SIGTERM until an ingress exits: the longest deadline plus 0.7 s.
const EXIT_TIMEOUT: Duration = Duration::from_millis(2700);
/// Maximum time for the reply to a PING.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two polls of the state of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The programs of a run and the folder of their files.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of the executable under test.
    pub ingress: PathBuf,
    /// Path of the library that injects system call faults; `None` to inject no such faults.
    pub shim: Option<PathBuf>,
    /// Folder of the configurations and logs.
    pub folder: PathBuf,
    /// Log level of the ingresses.
    pub log_level: String,
    /// Set once this process receives SIGINT or SIGTERM. A run then ends early and terminates its ingresses.
    pub interrupted: Arc<AtomicBool>,
}

/// An ingress. Its process may be started several times in a run.
pub struct Ingress {
    /// Number of the ingress in the fleet.
    number: usize,
    programs: Programs,
    context: Arc<RunContext>,
    /// Address for clients.
    listen: SocketAddr,
    /// The process, while it runs.
    child: Option<Child>,
}

impl Ingress {
    /// Creates an ingress without starting its process.
    pub fn new(number: usize, programs: Programs, context: Arc<RunContext>, listen: SocketAddr) -> Ingress {
        Ingress { number, programs, context, listen, child: None }
    }

    fn config_file(&self) -> PathBuf {
        self.programs.folder.join(format!("ingress-{}.json", self.number))
    }

    /// Returns the path to which the ingress with this number appends its log in `folder`.
    pub fn log_file(folder: &Path, number: usize) -> PathBuf {
        folder.join(format!("ingress-{number}.log"))
    }

    /// Writes the configuration with the given discovery address and initial endpoint list.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_config(
        &self,
        addresses: &Addresses,
        discovery: SocketAddr,
        known_endpoints: &str,
    ) -> anyhow::Result<()> {
        let text = config_json(&self.context.plan, self.number, addresses, discovery, known_endpoints);
        fs::write(self.config_file(), text).context("cannot write the configuration")
    }

    /// Truncates the configuration to its first half.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or written.
    pub fn write_truncated_config(&self) -> anyhow::Result<()> {
        let text = fs::read_to_string(self.config_file())?;
        fs::write(self.config_file(), &text[..text.len() / 2])
            .context("cannot write the truncated configuration")
    }

    /// Records an event of the process with the current time.
    fn record(&self, event: ProcessEvent) {
        let record = ProcessRecord { ingress: self.number, event, at: self.context.recorder.now() };
        tracing::debug!(ingress = self.number, ?event, "ingress process event");
        self.context.recorder.observations().processes.push(record);
    }

    /// Starts the process and waits until it is ready. A process that does not become ready in time is
    /// recorded and is not an error.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be opened, or the program cannot be started.
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

    /// Builds the command that starts the process, with its log file and the system call faults of the plan
    /// relative to the current time.
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

    /// Returns whether the process answers a PING.
    fn answers_ping(&self) -> bool {
        ping(self.listen, PING_TIMEOUT).unwrap_or(false)
    }

    /// Returns whether no process is running.
    fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process, if it runs.
    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(id) = id {
            let _ = kill_process(id, signal);
        }
    }

    /// Records a crash if the process has exited without a signal from the soak.
    pub fn record_unexpected_exit(&mut self) {
        if self.child.is_some() && self.has_exited() {
            self.record(ProcessEvent::Crashed);
            self.child = None;
        }
    }

    /// Sends SIGTERM and waits until the process has exited. Kills the process if it does not exit in time.
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

    /// Kills the process and records it as killed by the plan.
    pub fn kill(&mut self) {
        self.record(ProcessEvent::Killed);
        self.end();
    }

    /// Kills the process without a record.
    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Makes the process reload its configuration (SIGHUP).
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Makes the process log its counters (SIGUSR1).
    pub fn log_counters(&self) {
        self.signal(Signal::USR1);
    }

    /// Stops the process (SIGSTOP) and continues it after `time`.
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
