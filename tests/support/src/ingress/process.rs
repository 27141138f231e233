//! A running ingress.

use crate::client::Client;
use crate::wait::wait_until;
use stand_ins::process::{set_config_file, ConfigFile};
use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};

/// The field of `/proc/PID/stat` after the name in parentheses that has the state.
const STATE_FIELD: usize = 0;
/// The field that has the processor time in user mode, in ticks.
const USER_TIME_FIELD: usize = 11;
/// The field that has the processor time in the kernel, in ticks.
const SYSTEM_TIME_FIELD: usize = 12;

/// A running ingress; dropping it kills the process.
pub struct IngressProcess {
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub child: Child,
    /// Its configuration.
    config_file: ConfigFile,
}

impl IngressProcess {
    /// Starts an ingress by a shell command, without waiting for it.
    pub fn spawn(config: &str, address: SocketAddr, program: &str) -> IngressProcess {
        IngressProcess::spawn_logging_to(config, address, program, Stdio::piped())
    }

    /// Starts an ingress by a shell command with a log of the test, without waiting for it.
    ///
    /// # Panics
    ///
    /// If the configuration cannot be written, or the shell cannot be started.
    pub fn spawn_logging_to(config: &str, address: SocketAddr, program: &str, log: Stdio) -> IngressProcess {
        let file = std::env::temp_dir().join(format!("ingress-{}-{address}.json", std::process::id()));
        let config_file = ConfigFile::create(&file, config).unwrap();
        let mut command = Command::new("/bin/sh");
        command.args(["-c", program]);
        set_config_file(&mut command, config_file.path());
        let child = command.stdin(Stdio::null()).stderr(log).spawn().unwrap();
        IngressProcess { address, child, config_file }
    }

    /// Connects a client.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Waits until the ingress has read all that was sent to it before: it answers a later PING.
    ///
    /// # Panics
    ///
    /// If the ingress does not answer the PING.
    pub fn wait_until_input_is_processed(&self) {
        assert_eq!(self.client().ping(), "+PONG");
    }

    /// Replaces the file of the configuration.
    ///
    /// # Panics
    ///
    /// If the file cannot be written.
    pub fn write_config(&self, config: &str) {
        self.config_file.replace(config).unwrap();
    }

    /// Sends the process a signal.
    ///
    /// # Panics
    ///
    /// If the process has ended, or there is no signal of this name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status()
            .unwrap()
            .success());
    }

    /// Whether the process was stopped by a signal.
    pub fn is_stopped(&self) -> bool {
        self.stat_fields()[STATE_FIELD] == "T"
    }

    /// Processor time used so far, in hundredths of a second.
    ///
    /// # Panics
    ///
    /// If the process has ended and was waited for.
    pub fn cpu_centiseconds(&self) -> u64 {
        let fields = self.stat_fields();
        let ticks = |field: usize| fields[field].parse::<u64>().unwrap();
        ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)
    }

    /// The fields of `/proc/PID/stat` after the name in parentheses.
    fn stat_fields(&self) -> Vec<String> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let after_name = stat.rsplit(')').next().unwrap();
        after_name.split_whitespace().map(String::from).collect()
    }

    /// Waits until the process has ended.
    ///
    /// # Panics
    ///
    /// If the process does not end within [`WAIT_LIMIT`](crate::wait::WAIT_LIMIT).
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the ingress ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Stops the process by SIGTERM, and waits until it has ended.
    ///
    /// # Panics
    ///
    /// If it exits with an error, or not within [`WAIT_LIMIT`](crate::wait::WAIT_LIMIT).
    #[track_caller]
    pub fn stop(&mut self) {
        self.signal("TERM");
        assert_eq!(self.wait_for_exit().code(), Some(0));
    }

    /// Its log, once it has ended.
    ///
    /// # Panics
    ///
    /// If the log was read before or is not piped, or is not UTF-8.
    pub fn log(&mut self) -> String {
        let mut text = String::new();
        self.child.stderr.take().unwrap().read_to_string(&mut text).unwrap();
        text
    }
}

impl Drop for IngressProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
