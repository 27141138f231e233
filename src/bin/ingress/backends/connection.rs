//! One connection to a backend: its state, and single reads and writes.

use super::{AttemptId, CommandState, StatedTimeout};
use crate::socket_error::is_not_ready;
use ingress::{BackendId, Duration, Instant, Outcome};
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// A connection to a backend.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// Tells connections apart that have the same key one after another.
    pub serial: u64,
    /// The backend it was opened for.
    pub backend: BackendId,
    /// The address it was opened to, which the backend may have left.
    pub address: SocketAddr,
    /// Whether it is established.
    pub is_connected: bool,
    /// The attempt that it carries; none while it is idle.
    pub attempt: Option<AttemptId>,
    /// When it was given its attempt, or when it fell idle.
    pub state_since: Instant,
    /// How long it was idle before its attempt; none at its first one.
    pub idle_before: Option<Duration>,
    /// When the first byte of the reply came.
    pub reply_started_at: Instant,
    /// The command of the attempt.
    pub command: Vec<u8>,
    /// The timeout that the command states.
    pub stated_timeout: StatedTimeout,
    /// How many bytes of the command are written.
    pub written: usize,
    /// What has come of the reply.
    pub received: Vec<u8>,
}

/// What a single read came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Bytes came, and more may be waiting, however few they were.
    Received,
    /// A signal came in between.
    Interrupted,
    /// Nothing is there yet.
    Blocked,
    /// The connection has ended.
    Ended,
}

impl Connection {
    /// A connection that is being established, with no attempt.
    pub fn new(
        stream: TcpStream,
        serial: u64,
        backend: BackendId,
        address: SocketAddr,
        now: Instant,
    ) -> Self {
        Connection {
            stream,
            serial,
            backend,
            address,
            is_connected: false,
            attempt: None,
            state_since: now,
            idle_before: None,
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
            CommandState::Unsent
        }
    }

    /// Whether it has an attempt of whose command nothing is written.
    pub fn is_not_yet_written(&self) -> bool {
        self.written == 0 && self.attempt.is_some()
    }

    /// What the end of the connection means for its attempt.
    pub fn failure_outcome(&self) -> Outcome {
        match self.command_state() {
            CommandState::Sent => Outcome::Reset,
            CommandState::Unsent => Outcome::ConnectFailed,
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
                // The socket will show as writable.
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

    /// Whether an idle connection is open with nothing unread: bytes that nobody asked for, or its end, may have come.
    pub fn is_quiet(&mut self) -> bool {
        let read = self.stream.read(&mut [0]);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}
