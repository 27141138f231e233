//! A running ingress process.

use crate::client::Client;
use crate::wait::wait_until;
use stand_ins::process::{set_config_file, ConfigFile};
use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};

/// Index of the state among the fields of `/proc/PID/stat` after the name in parentheses.
const STATE_FIELD: usize = 0;
/// Index of the processor time in user mode, in ticks.
const USER_TIME_FIELD: usize = 11;
/// Index of the processor time in kernel mode, in ticks.
const SYSTEM_TIME_FIELD: usize = 12;

/// A running ingress process, which is killed when the handle is dropped.
pub struct IngressProcess {
    /// Listening address.
    pub address: SocketAddr,
    /// Handle of the operating system's process.
    pub child: Child,
    config_file: ConfigFile,
}

impl IngressProcess {
    /// Starts an ingress with a shell command, without waiting until it is ready.
    pub fn spawn(config: &str, address: SocketAddr, program: &str) -> IngressProcess {
        IngressProcess::spawn_logging_to(config, address, program, Stdio::piped())
    }

    /// Starts an ingress with a shell command that logs to `log`, without waiting until it is ready.
    ///
    /// # Panics
    ///
    /// Panics if the configuration cannot be written, or the shell cannot be started.
    pub fn spawn_logging_to(config: &str, address: SocketAddr, program: &str, log: Stdio) -> IngressProcess {
        let file = std::env::temp_dir().join(format!("ingress-{}-{address}.json", std::process::id()));
        let config_file = ConfigFile::create(&file, config).unwrap();
        let mut command = Command::new("/bin/sh");
        command.args(["-c", program]);
        set_config_file(&mut command, config_file.path());
        let child = command.stdin(Stdio::null()).stderr(log).spawn().unwrap();
        IngressProcess { address, child, config_file }
    }

    /// Connects a client to the ingress.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Waits until the ingress has processed all input sent before, by sending a PING on a new connection.
    ///
    /// # Panics
    ///
    /// Panics if the ingress does not answer the PING.
    pub fn wait_until_input_is_processed(&self) {
        assert_eq!(self.client().ping(), "+PONG");
    }

    /// Replaces the configuration file.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written.
    pub fn write_config(&self, config: &str) {
        self.config_file.replace(config).unwrap();
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited, or there is no signal with this name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status()
            .unwrap()
            .success());
    }

    /// Returns whether the process is stopped by a signal.
    pub fn is_stopped(&self) -> bool {
        self.stat_fields()[STATE_FIELD] == "T"
    }

    /// Returns the processor time used so far, in hundredths of a second.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited and was waited for.
    pub fn cpu_centiseconds(&self) -> u64 {
        let fields = self.stat_fields();
        let ticks = |field: usize| fields[field].parse::<u64>().unwrap();
        ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)
    }

    /// Returns the fields of `/proc/PID/stat` after the name in parentheses.
    fn stat_fields(&self) -> Vec<String> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let after_name = stat.rsplit(')').next().unwrap();
        after_name.split_whitespace().map(String::from).collect()
    }

    /// Waits until the process has exited.
    ///
    /// # Panics
    ///
    /// Panics if the process does not exit within [`WAIT_LIMIT`](crate::wait::WAIT_LIMIT).
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the ingress exits", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Terminates the process with SIGTERM and waits until it has exited.
    ///
    /// # Panics
    ///
    /// Panics if the process exits with an error, or not within [`WAIT_LIMIT`](crate::wait::WAIT_LIMIT).
    #[track_caller]
    pub fn stop(&mut self) {
        self.signal("TERM");
        assert_eq!(self.wait_for_exit().code(), Some(0));
    }

    /// Reads the log until the process has exited.
    ///
    /// # Panics
    ///
    /// Panics if the log was read before, is not piped, or is not UTF-8.
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
