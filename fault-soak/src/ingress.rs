//! The processes of the ingresses: started with their share of the plan, signalled, and ended with their handles.

use crate::plan::SoakPlan;
use crate::record::{ProcessEvent, ProcessRecord, Recorder};
use crate::settings::{config_json, Addresses};
use anyhow::Context;
use fault_plan::PLAN_VARIABLE;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long an ingress may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long it may take to end after SIGTERM: the longest deadline and 0.7 s more.
const EXIT_TIMEOUT: Duration = Duration::from_millis(2700);
/// How often that is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What runs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The ingress.
    pub ingress: PathBuf,
    /// The library that has system calls fail; none to run without.
    pub shim: Option<PathBuf>,
    /// Where configurations and logs go.
    pub folder: PathBuf,
    /// The level of the logs.
    pub log_level: String,
    /// This process was told to end: a run ends early, and leaves no ingress behind.
    pub interrupted: Arc<AtomicBool>,
}

/// An ingress, whose process may come and go.
pub struct Ingress {
    /// Its number in the fleet.
    number: usize,
    /// What it runs.
    programs: Programs,
    /// What goes wrong.
    plan: Arc<SoakPlan>,
    /// Where its ends and starts are noted.
    recorder: Arc<Recorder>,
    /// Where clients connect to it.
    listen: SocketAddr,
    /// Its process, while it has one.
    child: Option<Child>,
}

impl Ingress {
    /// An ingress that does not run yet.
    pub fn new(
        number: usize,
        programs: Programs,
        plan: Arc<SoakPlan>,
        recorder: Arc<Recorder>,
        addresses: &Addresses,
    ) -> Ingress {
        Ingress { number, programs, plan, recorder, listen: addresses.listen[number], child: None }
    }

    /// Where its configuration is.
    fn config_file(&self) -> PathBuf {
        self.programs.folder.join(format!("ingress-{}.json", self.number))
    }

    /// Where its log is.
    pub fn log_file(folder: &Path, number: usize) -> PathBuf {
        folder.join(format!("ingress-{number}.log"))
    }

    /// Writes its configuration.
    pub fn write_config(
        &self,
        addresses: &Addresses,
        discovery: SocketAddr,
        known: &str,
    ) -> anyhow::Result<()> {
        let text = config_json(&self.plan, self.number, addresses, discovery, known);
        fs::write(self.config_file(), text).context("cannot write a configuration")
    }

    /// Writes half of a configuration.
    pub fn write_half_a_config(&self) -> anyhow::Result<()> {
        let text = fs::read_to_string(self.config_file())?;
        fs::write(self.config_file(), &text[..text.len() / 2]).context("cannot write a configuration")
    }

    /// Notes what happened to the process.
    fn note(&self, event: ProcessEvent) {
        let record = ProcessRecord { ingress: self.number, event, at: self.recorder.now() };
        tracing::debug!(ingress = self.number, ?event, "process");
        self.recorder.observations().processes.push(record);
    }

    /// Starts its process, and waits until it answers.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(Ingress::log_file(&self.programs.folder, self.number))?;
        let mut command = Command::new(&self.programs.ingress);
        command.env("LB_CONFIG", self.config_file()).env("LB_LOG", &self.programs.log_level);
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        if let Some(shim) = &self.programs.shim {
            let plan = self.plan.shim_plan(self.number, self.recorder.now_ms());
            command.env("LD_PRELOAD", shim).env(PLAN_VARIABLE, plan.to_json());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.child = Some(command.spawn().context("cannot start the ingress")?);
        self.note(ProcessEvent::Started);
        let started = Instant::now();
        while !self.answers_ping() {
            if self.has_exited() || started.elapsed() > READY_TIMEOUT {
                self.note(ProcessEvent::NotReady);
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.note(ProcessEvent::Ready);
        Ok(())
    }

    /// Whether it answers a PING.
    fn answers_ping(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut reply = [0; 7];
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
            && stream.read_exact(&mut reply).is_ok()
            && &reply == b"+PONG\r\n"
    }

    /// Whether there is no process, or none any more.
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

    /// Notes an end that nobody asked for.
    pub fn check(&mut self) {
        if self.child.is_some() && self.has_exited() {
            self.note(ProcessEvent::Crashed);
            self.child = None;
        }
    }

    /// Tells it to end, and waits for that.
    pub fn terminate(&mut self) {
        self.note(ProcessEvent::Terminated);
        self.signal(Signal::TERM);
        let signalled_at = Instant::now();
        while !self.has_exited() {
            if signalled_at.elapsed() > EXIT_TIMEOUT {
                self.note(ProcessEvent::Overdue);
                return self.end();
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.note(ProcessEvent::Exited);
        self.child = None;
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.note(ProcessEvent::Killed);
        self.end();
    }

    /// Ends the process at once.
    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Has it read its configuration again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Has it log its counters.
    pub fn log_counters(&self) {
        self.signal(Signal::USR1);
    }

    /// Has it stand still for a while.
    pub fn pause(&self, time: Duration) {
        self.note(ProcessEvent::Paused);
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
