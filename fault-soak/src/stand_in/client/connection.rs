//! A client's connection to an ingress.

use super::super::customer::value_of;
use crate::record::{Micros, Outcome, Recorder};
use stand_ins::resp::{parse_reply, Reply};
use stand_ins::server::is_timeout;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Read timeout, after which a waiting client checks whether its time limit has passed.
const READ_TIMEOUT: Duration = Duration::from_millis(2);
/// Maximum number of bytes per read.
const CHUNK_SIZE: usize = 4096;
/// Prefix of an answer that rejects a request.
const REJECTION: &str = "-BUSY";

/// Connects to an ingress and sets the socket options.
pub fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(stream)
}

/// A connection with the input received on it.
pub struct Connection {
    stream: TcpStream,
    /// Received bytes that are not parsed yet.
    received: Vec<u8>,
    /// Number of requests answered on the connection.
    answered: usize,
}

/// The result of waiting for a reply.
enum WaitResult {
    /// A complete reply was received.
    Reply(Reply),
    /// The connection ended.
    Closed,
    /// The time limit was reached.
    TimedOut,
}

impl Connection {
    /// Creates a connection without answered requests.
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, received: Vec::new(), answered: 0 }
    }

    /// Returns whether a request was answered on the connection.
    pub fn is_reused(&self) -> bool {
        self.answered > 0
    }

    /// Counts a request as answered on the connection.
    pub fn count_answer(&mut self) {
        self.answered += 1;
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Returns whether the connection cannot be reused, because it has ended or has unexpected bytes. Such
    /// bytes are recorded.
    pub fn is_unusable(&mut self, recorder: &Recorder) -> bool {
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

    /// Waits until `limit` for the answer to a request and returns the outcome.
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

    /// Waits until `limit` for a reply.
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
