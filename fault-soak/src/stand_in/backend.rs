//! Backends that inject the faults of the plan and record each complete command.

use super::customer::value_of;
use crate::context::RunContext;
use crate::record::{ArrivalRecord, Micros, MICROS_PER_MILLI};
use crate::scenario::FaultScenario;
use stand_ins::resp::{encode_served, parse_command};
use stand_ins::server::{is_timeout, listen, serve};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Service time of a backend without faults.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// Service time of a slow backend.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(900);
/// Delay between a reply and its duplicate.
const DUPLICATE_DELAY: Duration = Duration::from_millis(3);
/// Number of bytes that a trickling backend sends at a time.
const TRICKLE_SIZE: usize = 5;
/// Pause between two pieces of a trickled reply.
const TRICKLE_PAUSE: Duration = Duration::from_micros(300);
/// Interval at which a connection with an open command checks whether the ingress has closed it.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Interval at which an idle connection checks whether it should close.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a hanging backend checks whether the fault is still active.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Prefix of the command option with the timeout stated by the ingress, in milliseconds.
const TIME_BUDGET_OPTION: &str = "d=";
/// Maximum number of bytes per read.
const CHUNK_SIZE: usize = 4096;

/// A backend that replies to every request as the active faults require.
pub struct Backend {
    /// Listening address.
    pub address: SocketAddr,
    /// Incremented by a restart, which closes the connections of earlier generations.
    generation: Arc<AtomicU64>,
}

/// State that the connections of a backend share.
#[derive(Clone)]
struct Shared {
    /// Number of the backend.
    number: usize,
    context: Arc<RunContext>,
    /// Current generation of the backend.
    generation: Arc<AtomicU64>,
}

/// The connection has ended or should be closed.
struct Closed;

impl Backend {
    /// Starts a backend, which serves until the run ends.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(number: usize, context: &Arc<RunContext>) -> std::io::Result<Backend> {
        let generation = Arc::new(AtomicU64::new(0));
        let shared = Shared { number, context: context.clone(), generation: generation.clone() };
        let address = serve(listen()?, move |stream| {
            let shared = shared.clone();
            move || Connection::new(shared, stream).serve()
        })?;
        Ok(Backend { address, generation })
    }

    /// Restarts the backend, which closes all connections.
    pub fn restart(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

/// A connection from an ingress.
struct Connection {
    shared: Shared,
    stream: TcpStream,
    /// Received bytes that are not parsed yet.
    received: Vec<u8>,
    /// Generation of the backend that accepted the connection.
    generation: u64,
}

impl Connection {
    /// Creates a connection of the current generation.
    fn new(shared: Shared, stream: TcpStream) -> Connection {
        let generation = shared.generation.load(Ordering::SeqCst);
        let _ = stream.set_nodelay(true);
        Connection { shared, stream, received: Vec::new(), generation }
    }

    /// Replies to commands until either side closes the connection.
    fn serve(mut self) {
        while let Ok(words) = self.read_command() {
            if self.answer(&words).is_err() {
                return;
            }
        }
    }

    /// Returns whether a scenario currently affects this backend.
    fn is_affected_by(&self, scenario: FaultScenario) -> bool {
        let Shared { number, context, .. } = &self.shared;
        context.affects(scenario, *number, context.plan.shape.backends)
    }

    /// Returns whether the run has ended or the backend was restarted.
    fn should_close(&self) -> bool {
        self.shared.context.has_run_ended()
            || self.shared.generation.load(Ordering::SeqCst) != self.generation
    }

    /// Waits for the next command and returns its words.
    fn read_command(&mut self) -> Result<Vec<String>, Closed> {
        self.stream.set_read_timeout(Some(IDLE_POLL_INTERVAL)).map_err(|_| Closed)?;
        let mut chunk = [0; CHUNK_SIZE];
        loop {
            if let Some(command) = parse_command(&self.received) {
                self.received.drain(..command.length);
                return Ok(command.words);
            }
            self.wait_while_partitioned()?;
            let closes_idle =
                self.received.is_empty() && self.is_affected_by(FaultScenario::IdleClosingBackend);
            if self.should_close() || closes_idle || self.should_reset_early() {
                return Err(Closed);
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(Closed),
                Ok(length) => self.received.extend_from_slice(&chunk[..length]),
                Err(error) if is_timeout(&error) => {}
                Err(_) => return Err(Closed),
            }
        }
    }

    /// Returns whether the connection should be reset because a command has begun to arrive. Closing a socket
    /// with unread bytes sends a reset.
    fn should_reset_early(&self) -> bool {
        self.is_affected_by(FaultScenario::EarlyResettingBackend)
            && matches!(self.stream.peek(&mut [0]), Ok(1..))
    }

    /// Waits while the backend is partitioned from the network, and then closes the connection, which sends a
    /// reset if input is unread. Closes it early if the ingress has closed it.
    fn wait_while_partitioned(&self) -> Result<(), Closed> {
        if !self.is_affected_by(FaultScenario::PartitionedBackend) {
            return Ok(());
        }
        while self.is_affected_by(FaultScenario::PartitionedBackend) {
            self.wait(IDLE_POLL_INTERVAL)?;
        }
        Err(Closed)
    }

    /// Waits for `time`. Returns an error early if the ingress closes the connection, the run ends or the
    /// backend is restarted.
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
            if self.should_close() {
                return Err(Closed);
            }
        }
        Ok(())
    }

    /// Replies to a command, and records its arrival and its end.
    fn answer(&mut self, words: &[String]) -> Result<(), Closed> {
        let [_, _, id, options, ..] = words else { return Err(Closed) };
        let rejected = self.is_affected_by(FaultScenario::RejectingBackend);
        let index = self.record_arrival(id, options, rejected);
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

    /// Records the arrival of a command and returns the index of the record.
    fn record_arrival(&self, id: &str, options: &str, rejected: bool) -> usize {
        let budget = options.split(',').find_map(|option| option.strip_prefix(TIME_BUDGET_OPTION));
        let budget_ms = budget.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let at: Micros = self.shared.context.recorder.now();
        let arrivals = &mut self.shared.context.recorder.observations().arrivals;
        arrivals.push(ArrivalRecord {
            id: id.to_string(),
            backend: self.shared.number,
            at,
            time_budget: budget_ms * MICROS_PER_MILLI,
            rejected,
            ended_at: None,
        });
        arrivals.len() - 1
    }

    /// Replies as the active faults require.
    fn reply(&mut self, id: &str, rejected: bool) -> Result<(), Closed> {
        if rejected {
            return self.write(b"-BUSY\r\n");
        }
        while self.is_affected_by(FaultScenario::HangingBackend) {
            self.wait(HANG_POLL_INTERVAL)?;
        }
        let is_slow = self.is_affected_by(FaultScenario::SlowBackend);
        self.wait(if is_slow { SLOW_SERVICE_TIME } else { SERVICE_TIME })?;
        self.wait_while_partitioned()?;
        if self.is_affected_by(FaultScenario::FailingBackend) {
            return self.write(b"-ERR failed\r\n");
        }
        let reply = served(id);
        if self.is_affected_by(FaultScenario::ResettingBackend) {
            return self.close_during_reply(&reply);
        }
        if self.is_affected_by(FaultScenario::TricklingBackend) {
            return self.trickle(&reply);
        }
        self.write(&reply)
    }

    /// Closes the connection in the middle of a reply if its length is even, and before the reply otherwise.
    fn close_during_reply(&mut self, reply: &[u8]) -> Result<(), Closed> {
        let length = if reply.len() % 2 == 0 { reply.len() / 2 } else { 0 };
        let _ = self.write(&reply[..length]);
        Err(Closed)
    }

    /// Sends a reply in pieces of [`TRICKLE_SIZE`] bytes.
    fn trickle(&mut self, reply: &[u8]) -> Result<(), Closed> {
        for piece in reply.chunks(TRICKLE_SIZE) {
            self.write(piece)?;
            thread::sleep(TRICKLE_PAUSE);
        }
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), Closed> {
        self.stream.write_all(bytes).map_err(|_| Closed)
    }
}

/// Encodes the reply to a served request.
fn served(id: &str) -> Vec<u8> {
    encode_served(&value_of(id), None)
}
