//! One connection to a backend: its state, and single reads and writes.

use super::{AttemptId, CommandState, StatedTimeout};
use crate::socket_error::is_not_ready;
use ingress::{BackendId, Duration, Instant, Outcome};
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// A connection to a backend.
pub struct BackendConnection {
    /// The socket.
    pub stream: TcpStream,
    /// Distinguishes connections that have the same key one after another.
    pub serial: u64,
    /// The backend it was opened for.
    pub backend: BackendId,
    /// The address it was opened to; the backend may have another one by now.
    pub address: SocketAddr,
    /// Whether it is established.
    pub is_connected: bool,
    /// The attempt that it carries; none while it is idle.
    pub attempt: Option<AttemptId>,
    /// When its latest attempt was assigned; before the first one, when it was opened.
    pub assigned_at: Instant,
    /// When it became idle after its latest attempt; before the first one has ended, when it was opened.
    pub idle_since: Instant,
    /// How long it was idle before its attempt; none for the first attempt on it.
    pub idle_time_before_attempt: Option<Duration>,
    /// When the first byte of the reply arrived.
    pub reply_started_at: Instant,
    /// The command of the attempt.
    pub command: Vec<u8>,
    /// The timeout that the command states.
    pub stated_timeout: StatedTimeout,
    /// The bytes of the command that are written.
    pub written: usize,
    /// The received bytes of the reply.
    pub received: Vec<u8>,
}

/// The result of a single read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Bytes were received, and more may be waiting, even after a short read.
    Received,
    /// A signal interrupted the call.
    Interrupted,
    /// No bytes are waiting.
    Blocked,
    /// The connection has ended.
    Ended,
}

impl BackendConnection {
    /// A connection that is being established, without an attempt.
    pub fn new(
        stream: TcpStream,
        serial: u64,
        backend: BackendId,
        address: SocketAddr,
        now: Instant,
    ) -> Self {
        BackendConnection {
            stream,
            serial,
            backend,
            address,
            is_connected: false,
            attempt: None,
            assigned_at: now,
            idle_since: now,
            idle_time_before_attempt: None,
            reply_started_at: Instant::ZERO,
            command: Vec::new(),
            stated_timeout: StatedTimeout::default(),
            written: 0,
            received: Vec::new(),
        }
    }

    /// How much of the command is written.
    pub fn command_state(&self) -> CommandState {
        if self.written == self.command.len() {
            CommandState::Sent
        } else {
            CommandState::Incomplete
        }
    }

    /// Whether it has an attempt of whose command nothing is written.
    pub fn has_unwritten_command(&self) -> bool {
        self.written == 0 && self.attempt.is_some()
    }

    /// The outcome of its attempt if the connection ends now.
    pub fn failure_outcome(&self) -> Outcome {
        match self.command_state() {
            CommandState::Sent => Outcome::Reset,
            CommandState::Incomplete => Outcome::ConnectFailed,
        }
    }

    /// Writes as much of the command as the socket takes.
    pub fn write_command(&mut self) -> io::Result<()> {
        while self.written < self.command.len() {
            match self.stream.write(&self.command[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.written += count;
                    self.is_connected = true;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // A readiness event follows.
                Err(error) if is_not_ready(&error) => break,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads once, by way of `buffer`.
    pub fn read_once(&mut self, buffer: &mut [u8], now: Instant) -> ReadStep {
        match self.stream.read(buffer) {
            Ok(0) => ReadStep::Ended,
            Ok(count) => {
                if self.received.is_empty() {
                    self.reply_started_at = now;
                }
                self.received.extend_from_slice(&buffer[..count]);
                ReadStep::Received
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => ReadStep::Interrupted,
            Err(error) if is_not_ready(&error) => ReadStep::Blocked,
            Err(_) => ReadStep::Ended,
        }
    }

    /// Reads from an idle connection, and returns whether it is open and had no unread bytes. A byte that was
    /// read is lost, so a connection that is not quiet has to be closed.
    ///
    /// A duplicate reply would be taken for the reply to the next command, since replies carry no id, and a
    /// command on a connection that the backend has closed would fail. The read detects both right before the
    /// connection is used.
    pub fn probe_is_usable(&mut self) -> bool {
        let read = self.stream.read(&mut [0]);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}
