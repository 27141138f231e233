//! State of one connection to a backend, and its reads and writes.

use super::{AttemptId, CommandState, StatedTimeout};
use crate::buffer::extend_in_steps;
use crate::socket_error::is_not_ready;
use ingress::{BackendId, Duration, Instant, Outcome, UnixTime};
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// Maximum capacity that each buffer of an idle connection keeps, in bytes.
const IDLE_BUFFER_BYTES: usize = 512;

/// A connection to a backend, either idle or with one attempt.
pub struct BackendConnection {
    pub stream: TcpStream,
    /// Distinguishes this connection from earlier and later ones with the same key.
    pub serial: u64,
    pub backend: BackendId,
    /// Address at which the connection was opened; the backend's address may have changed since.
    pub address: SocketAddr,
    /// Start time of the backend's process, as listed when the connection was opened.
    pub process_started_at: UnixTime,
    pub is_connected: bool,
    /// The current attempt; `None` while the connection is idle.
    pub attempt: Option<AttemptId>,
    /// Time at which the latest attempt was assigned; initially the time of opening.
    pub assigned_at: Instant,
    /// Time at which the connection became idle after its latest attempt; initially the time of opening.
    pub idle_since: Instant,
    /// Idle time before the current attempt; `None` for the first attempt on the connection.
    pub idle_time_before_attempt: Option<Duration>,
    /// Arrival time of the first byte of the reply.
    pub reply_started_at: Instant,
    pub command: Vec<u8>,
    pub stated_timeout: StatedTimeout,
    /// Number of bytes of the command that are written.
    pub written: usize,
    /// Bytes of the reply received so far.
    pub received: Vec<u8>,
    /// The connection's part of [`BackendConnections::memory_used`](super::BackendConnections::memory_used),
    /// in bytes.
    pub accounted_memory: usize,
}

/// Result of a single read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Bytes were received. More may be waiting, even after a short read.
    Received,
    /// A signal interrupted the call.
    Interrupted,
    /// No bytes are waiting.
    Blocked,
    /// The backend closed the connection, or the read failed.
    Ended,
}

impl BackendConnection {
    /// Creates an idle connection from a stream that is still connecting.
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
            process_started_at: UnixTime::default(),
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
            accounted_memory: 0,
        }
    }

    /// Returns the progress of writing the command.
    pub fn command_state(&self) -> CommandState {
        if self.written == self.command.len() {
            CommandState::Sent
        } else {
            CommandState::Incomplete
        }
    }

    /// Returns whether the connection has an attempt and no byte of its command is written.
    pub fn has_unwritten_command(&self) -> bool {
        self.written == 0 && self.attempt.is_some()
    }

    /// Returns the outcome of the current attempt if the connection ends now.
    pub fn failure_outcome(&self) -> Outcome {
        match self.command_state() {
            CommandState::Sent => Outcome::Reset,
            CommandState::Incomplete => Outcome::ConnectFailed,
        }
    }

    /// Writes as much of the command as the socket accepts without blocking.
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

    /// Reads once into `buffer` and appends the bytes to the reply.
    pub fn read_once(&mut self, buffer: &mut [u8], now: Instant) -> ReadStep {
        match self.stream.read(buffer) {
            Ok(0) => ReadStep::Ended,
            Ok(count) => {
                if self.received.is_empty() {
                    self.reply_started_at = now;
                }
                extend_in_steps(&mut self.received, &buffer[..count]);
                ReadStep::Received
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => ReadStep::Interrupted,
            Err(error) if is_not_ready(&error) => ReadStep::Blocked,
            Err(_) => ReadStep::Ended,
        }
    }

    /// Returns the memory that the buffers use, in bytes.
    pub fn memory_size(&self) -> usize {
        self.command.capacity() + self.received.capacity()
    }

    /// Empties the buffers, and frees most of their memory.
    pub fn clear_buffers(&mut self) {
        for buffer in [&mut self.command, &mut self.received] {
            buffer.clear();
            buffer.shrink_to(IDLE_BUFFER_BYTES);
        }
        self.written = 0;
    }

    /// Reads from an idle connection and returns whether it is open without unread bytes. Otherwise it has to
    /// be closed, since the byte that was read is lost.
    ///
    /// Called right before reuse, to detect a connection that the backend has closed, on which the command
    /// would fail, and a duplicate reply, which would be taken for the reply to the next command because
    /// replies carry no id.
    pub fn probe_is_usable(&mut self) -> bool {
        let read = self.stream.read(&mut [0]);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}
