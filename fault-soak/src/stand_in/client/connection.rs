//! A connection of a client to an ingress.

use super::super::customer::value_of;
use crate::record::{Micros, Outcome, Recorder};
use stand_ins::resp::{parse_reply, Reply};
use stand_ins::server::is_timeout;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a read waits before the time is looked at.
const READ_TIMEOUT: Duration = Duration::from_millis(2);
/// The bytes that are read at once.
const CHUNK_SIZE: usize = 4096;
/// What an answer begins with that rejects a request.
const REJECTION: &str = "-BUSY";

/// Connects to an ingress.
pub fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(stream)
}

/// A connection to an ingress.
pub struct Connection {
    /// The socket.
    stream: TcpStream,
    /// Bytes that were received and not parsed yet.
    received: Vec<u8>,
    /// Requests that were answered on it.
    answered: usize,
}

/// How the wait for a reply ended.
enum WaitResult {
    /// With a complete reply.
    Reply(Reply),
    /// With the end of the connection.
    Closed,
    /// With the end of the time.
    TimedOut,
}

impl Connection {
    /// A new connection.
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, received: Vec::new(), answered: 0 }
    }

    /// Whether a request was answered on it.
    pub fn is_reused(&self) -> bool {
        self.answered > 0
    }

    /// Counts a request that was answered on it.
    pub fn count_answer(&mut self) {
        self.answered += 1;
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether it cannot be used for another request: it has ended, or unexpected bytes have come, which are
    /// recorded.
    pub fn has_stray_bytes(&mut self, recorder: &Recorder) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let result = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        let is_stray = matches!(result, Ok(1..)) || !self.received.is_empty();
        if is_stray && self.is_reused() {
            let bytes = String::from_utf8_lossy(&self.received).into_owned();
            recorder.observations().stray_bytes.push(bytes);
        }
        is_stray || !result.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Waits for the answer to a request until a time.
    pub fn wait_for_outcome(&mut self, recorder: &Recorder, id: &str, limit: Micros) -> Outcome {
        match self.wait_for_reply(recorder, limit) {
            WaitResult::Reply(Reply::Value(value)) if value == value_of(id) => Outcome::Served,
            WaitResult::Reply(Reply::Value(_)) => Outcome::WrongValue,
            WaitResult::Reply(Reply::Line(line)) if line.starts_with(REJECTION) => Outcome::Rejected,
            WaitResult::Reply(Reply::Line(_)) => Outcome::Failed,
            WaitResult::Closed => Outcome::Closed,
            WaitResult::TimedOut => Outcome::Unanswered,
        }
    }

    /// Waits for a reply until a time.
    fn wait_for_reply(&mut self, recorder: &Recorder, limit: Micros) -> WaitResult {
        let mut chunk = [0; CHUNK_SIZE];
        loop {
            if let Some(received) = parse_reply(&self.received) {
                self.received.drain(..received.length);
                return WaitResult::Reply(received.reply);
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return WaitResult::Closed,
                Ok(length) => self.received.extend_from_slice(&chunk[..length]),
                Err(error) if is_timeout(&error) && recorder.now() >= limit => return WaitResult::TimedOut,
                Err(error) if is_timeout(&error) => {}
                Err(_) => return WaitResult::Closed,
            }
        }
    }
}
