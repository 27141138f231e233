//! Backends that misbehave as the plan says, and note each command that comes whole.

use super::resp::{parse_command, value_of};
use crate::context::RunContext;
use crate::record::{ArrivalRecord, Micros};
use crate::scenario::FaultScenario;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long an answer takes a backend that works.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// How long it takes a slow one.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(900);
/// How long after a reply its duplicate comes: some milliseconds.
const DUPLICATE_DELAY: Duration = Duration::from_millis(3);
/// The pause between the pieces of a reply that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_micros(300);
/// How often a connection that waits looks whether the other side has closed it.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// How often one with no command looks whether it is to be closed.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A backend.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// Counts its starts: connections of an earlier one are reset.
    generation: Arc<AtomicU64>,
}

/// What the connections of a backend share.
#[derive(Clone)]
struct Shared {
    /// The backend's number.
    number: usize,
    /// The run that it belongs to.
    context: Arc<RunContext>,
    /// Counts the backend's starts.
    generation: Arc<AtomicU64>,
}

/// Why a connection ends.
struct Closed;

impl Backend {
    /// Starts a backend, which runs until the run is over.
    pub fn start(number: usize, context: &Arc<RunContext>) -> std::io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let generation = Arc::new(AtomicU64::new(0));
        let shared = Shared { number, context: context.clone(), generation: generation.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || Connection::new(shared, stream).serve());
            }
        });
        Ok(Backend { address, generation })
    }

    /// Starts anew: all connections are reset.
    pub fn restart(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

/// A connection of an ingress.
struct Connection {
    /// What all connections of the backend have.
    shared: Shared,
    /// The socket.
    stream: TcpStream,
    /// What has come and was not taken yet.
    received: Vec<u8>,
    /// The start that it belongs to.
    generation: u64,
}

impl Connection {
    /// A connection that was just accepted.
    fn new(shared: Shared, stream: TcpStream) -> Connection {
        let generation = shared.generation.load(Ordering::SeqCst);
        let _ = stream.set_nodelay(true);
        Connection { shared, stream, received: Vec::new(), generation }
    }

    /// Answers commands until either side closes the connection.
    fn serve(mut self) {
        while let Ok(arguments) = self.read_command() {
            if self.answer(&arguments).is_err() {
                return;
            }
        }
    }

    /// Whether a scenario affects this backend now.
    fn is_affected_by(&self, kind: FaultScenario) -> bool {
        let Shared { number, context, .. } = &self.shared;
        context.affects(kind, *number, context.plan.shape.backends)
    }

    /// Whether it has to end: the run is over, or the backend has started anew.
    fn is_ended(&self) -> bool {
        self.shared.context.has_run_ended()
            || self.shared.generation.load(Ordering::SeqCst) != self.generation
    }

    /// Waits for the next command.
    fn read_command(&mut self) -> Result<Vec<String>, Closed> {
        self.stream.set_read_timeout(Some(IDLE_POLL_INTERVAL)).map_err(|_| Closed)?;
        let mut chunk = [0; 4096];
        loop {
            if let Some((arguments, length)) = parse_command(&self.received) {
                self.received.drain(..length);
                return Ok(arguments);
            }
            self.stay_silent()?;
            let closes_idle =
                self.received.is_empty() && self.is_affected_by(FaultScenario::IdleClosingBackend);
            if self.is_ended() || closes_idle {
                return Err(Closed);
            }
            if self.is_affected_by(FaultScenario::EarlyResettingBackend)
                && matches!(self.stream.peek(&mut chunk), Ok(1..))
            {
                return Err(Closed); // What is unread resets the connection.
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(Closed),
                Ok(length) => self.received.extend_from_slice(&chunk[..length]),
                Err(error) if is_timeout(&error) => {}
                Err(_) => return Err(Closed),
            }
        }
    }

    /// Does nothing for as long as the backend is cut off, but to note that the other side has given the connection up;
    /// behind that it is reset.
    fn stay_silent(&self) -> Result<(), Closed> {
        if !self.is_affected_by(FaultScenario::PartitionedBackend) {
            return Ok(());
        }
        while self.is_affected_by(FaultScenario::PartitionedBackend) {
            self.wait(IDLE_POLL_INTERVAL)?;
        }
        Err(Closed)
    }

    /// Waits, unless the other side closes the connection meanwhile.
    fn wait(&self, time: Duration) -> Result<(), Closed> {
        self.stream.set_read_timeout(Some(POLL_INTERVAL)).map_err(|_| Closed)?;
        let end = Instant::now() + time;
        while Instant::now() < end {
            match self.stream.peek(&mut [0]) {
                Ok(0) => return Err(Closed),
                Ok(_) => thread::sleep(POLL_INTERVAL),
                Err(error) if is_timeout(&error) => {}
                Err(_) => return Err(Closed),
            }
            if self.is_ended() {
                return Err(Closed);
            }
        }
        Ok(())
    }

    /// Answers a command, and notes when it came and when it was over.
    fn answer(&mut self, arguments: &[String]) -> Result<(), Closed> {
        let [_, _, id, options, ..] = arguments else { return Err(Closed) };
        let rejected = self.is_affected_by(FaultScenario::RejectingBackend);
        let index = self.note_arrival(id, options, rejected);
        let result = self.reply(id, rejected);
        let ended_at = self.shared.context.recorder.now();
        self.shared.context.recorder.observations().arrivals[index].ended_at = Some(ended_at);
        result?;
        if self.is_affected_by(FaultScenario::DuplicatingBackend) {
            thread::sleep(DUPLICATE_DELAY);
            self.write(&served(id))?;
        }
        Ok(())
    }

    /// Notes a command that has come whole; returns its place in the record.
    fn note_arrival(&self, id: &str, options: &str, rejected: bool) -> usize {
        let budget_ms = options.split(',').find_map(|option| option.strip_prefix("d="));
        let budget_ms = budget_ms.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let at: Micros = self.shared.context.recorder.now();
        let arrivals = &mut self.shared.context.recorder.observations().arrivals;
        arrivals.push(ArrivalRecord {
            id: id.to_string(),
            backend: self.shared.number,
            at,
            time_budget: budget_ms * 1000,
            rejected,
            ended_at: None,
        });
        arrivals.len() - 1
    }

    /// Replies as the faults that are active now require.
    fn reply(&mut self, id: &str, rejected: bool) -> Result<(), Closed> {
        if rejected {
            return self.write(b"-BUSY\r\n");
        }
        while self.is_affected_by(FaultScenario::HangingBackend) {
            self.wait(Duration::from_millis(20))?;
        }
        let slow = self.is_affected_by(FaultScenario::SlowBackend);
        self.wait(if slow { SLOW_SERVICE_TIME } else { SERVICE_TIME })?;
        self.stay_silent()?;
        let reply = served(id);
        if self.is_affected_by(FaultScenario::FailingBackend) {
            return self.write(b"-ERR failed\r\n");
        }
        if self.is_affected_by(FaultScenario::ResettingBackend) {
            // Half of the replies are cut in the middle, the others never begin.
            let length = if reply.len() % 2 == 0 { reply.len() / 2 } else { 0 };
            let _ = self.write(&reply[..length]);
            return Err(Closed);
        }
        if self.is_affected_by(FaultScenario::TricklingBackend) {
            for piece in reply.chunks(5) {
                self.write(piece)?;
                thread::sleep(TRICKLE_PAUSE);
            }
            return Ok(());
        }
        self.write(&reply)
    }

    /// Writes bytes.
    fn write(&mut self, bytes: &[u8]) -> Result<(), Closed> {
        self.stream.write_all(bytes).map_err(|_| Closed)
    }
}

/// The reply to a request that was served.
fn served(id: &str) -> Vec<u8> {
    let value = value_of(id);
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).into_bytes()
}

/// Whether a read only took too long.
fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
