//! Clients: each keeps a connection to each ingress, sends one request after another, and notes how each ended.

use super::resp::{encode_request, parse_reply, value_of, Customer, Reply};
use crate::context::RunContext;
use crate::record::{InvalidInputRecord, Micros, Outcome, Recorder, RequestClass, RequestRecord};
use crate::rotation::Rotation;
use crate::scenario::FaultScenario;
use crate::settings::{ANSWER_SLACK, MAX_TIMEOUT_MS, METERED_SET_SIZE};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The part of the requests that are sent on a new connection.
const NEW_CONNECTION_SHARE: f64 = 0.1;
/// How long the first command of a new connection may take to come, in milliseconds.
const MAX_FIRST_COMMAND_DELAY_MS: u64 = 30;
/// How long clients rest between two requests at the most, in milliseconds.
const MAX_REST_MS: u64 = 15;
/// How long a client that leaves waits before, at the most, in milliseconds.
const MAX_STAY_MS: u64 = 60;
/// How long a client with an incomplete or malformed command waits for an error or a close, in microseconds.
const INVALID_INPUT_PATIENCE: Micros = 4_500_000;
/// How long a read waits before the time is looked at.
const READ_TIMEOUT: Duration = Duration::from_millis(2);
/// How many bytes a client that trickles writes at once, and how long it rests then.
const TRICKLE_PIECE: usize = 7;
/// See [`TRICKLE_PIECE`].
const TRICKLE_PAUSE: Duration = Duration::from_micros(400);
/// The part of the requests that are of customers with a quota.
const METERED_SHARE: f64 = 0.15;
/// The least and the most that a client waits for an answer, in milliseconds.
const TIMEOUTS_MS: std::ops::RangeInclusive<u64> = 300..=MAX_TIMEOUT_MS;

/// A connection to an ingress.
struct Connection {
    /// The socket.
    stream: TcpStream,
    /// What has come and was not taken yet.
    received: Vec<u8>,
    /// Requests that were answered on it.
    answered: usize,
}

/// What a wait for a reply came to.
enum Wait {
    /// A whole reply.
    Reply(Reply),
    /// The connection has ended.
    Closed,
    /// The time is over.
    TimedOut,
}

/// A request that is out.
struct Pending {
    /// Its id.
    id: String,
    /// Its class.
    class: RequestClass,
    /// When its last byte was written.
    sent_at: Micros,
    /// How long the client waits.
    timeout: Micros,
    /// Its customer, if that has a quota.
    metered: Option<Customer>,
}

/// A client.
pub struct Client {
    /// Its number.
    number: usize,
    /// The run that it belongs to.
    context: Arc<RunContext>,
    /// Where the ingresses are.
    addresses: Vec<SocketAddr>,
    /// Which of them get new connections.
    rotation: Arc<Rotation>,
    /// Draws what it does.
    random: StdRng,
    /// The connections that it keeps, by ingress.
    connections: HashMap<usize, Connection>,
    /// How many requests it has drawn.
    requests: u64,
}

impl Client {
    /// A client of these ingresses.
    pub fn new(
        number: usize,
        context: Arc<RunContext>,
        addresses: Vec<SocketAddr>,
        rotation: Arc<Rotation>,
    ) -> Client {
        let random = StdRng::seed_from_u64(context.plan.seed ^ (number as u64) << 32);
        let connections = HashMap::new();
        Client { number, context, addresses, rotation, random, connections, requests: 0 }
    }

    /// Sends requests until the run is over.
    pub fn run(mut self) {
        while !self.context.has_load_ended() {
            let ingress = self.random.random_range(0..self.addresses.len());
            if self.is_affected_by(FaultScenario::StalledClients)
                || self.is_affected_by(FaultScenario::MalformedCommands)
            {
                self.misbehave(ingress);
            } else {
                self.send_requests(ingress);
            }
            thread::sleep(Duration::from_millis(self.random.random_range(0..=MAX_REST_MS)));
        }
    }

    /// Whether a scenario of clients affects this one now; each affects a quarter of all clients.
    fn is_affected_by(&self, kind: FaultScenario) -> bool {
        self.context.affects(kind, self.number % 4, 4)
    }

    /// Connects to an ingress, unless it is out of rotation.
    fn connect(&self, ingress: usize) -> Option<TcpStream> {
        if !self.rotation.contains(ingress) {
            return None;
        }
        let stream = TcpStream::connect(self.addresses[ingress]).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(stream)
    }

    /// Takes the connection to an ingress, or makes one, whose first command may be on its way for a while.
    fn take_connection(&mut self, ingress: usize) -> Option<Connection> {
        let starts_anew = self.random.random_bool(NEW_CONNECTION_SHARE);
        if let Some(connection) = self.connections.remove(&ingress).filter(|_| !starts_anew) {
            return Some(connection);
        }
        let stream = self.connect(ingress)?;
        thread::sleep(Duration::from_millis(self.random.random_range(0..=MAX_FIRST_COMMAND_DELAY_MS)));
        Some(Connection { stream, received: Vec::new(), answered: 0 })
    }

    /// Sends a request, or several at once, and waits for the answers.
    fn send_requests(&mut self, ingress: usize) {
        let Some(mut connection) = self.take_connection(ingress) else { return };
        // A first command counts as sent with the connection, and only comes later: nobody may have closed that by now.
        let is_first = connection.answered == 0;
        if !is_first && connection.has_stray_bytes(&self.context.recorder) {
            return; // the connection was closed between two requests, or is of no use
        }
        let count = if self.is_affected_by(FaultScenario::PipeliningClients) {
            self.random.random_range(2..=12)
        } else {
            1
        };
        let mut pending = Vec::new();
        let mut bytes = Vec::new();
        for _ in 0..count {
            let request = self.draw_request(ingress);
            let customer = request.metered.unwrap_or(Customer::unmetered(self.number as u64 + 1));
            bytes.extend(encode_request(request.class, &request.id, customer, request.timeout / 1000));
            pending.push(request);
        }
        if self.write(&mut connection, &bytes).is_err() {
            return; // not all of it was taken, or the connection had been closed before
        }
        let sent_at = self.context.recorder.now();
        pending.iter_mut().for_each(|request| request.sent_at = sent_at);
        if self.is_affected_by(FaultScenario::DisconnectingClients) {
            return self.leave(ingress, connection, pending);
        }
        if self.await_answers(ingress, &mut connection, pending) {
            self.connections.insert(ingress, connection);
        }
    }

    /// Writes commands, at once or a few bytes at a time.
    fn write(&self, connection: &mut Connection, bytes: &[u8]) -> std::io::Result<()> {
        if !self.is_affected_by(FaultScenario::TricklingClients) {
            return connection.stream.write_all(bytes);
        }
        for piece in bytes.chunks(TRICKLE_PIECE) {
            connection.stream.write_all(piece)?;
            thread::sleep(TRICKLE_PAUSE);
        }
        Ok(())
    }

    /// Draws the next request.
    fn draw_request(&mut self, ingress: usize) -> Pending {
        self.requests += 1;
        let class = match self.random.random_range(0..3) {
            0 => RequestClass::Idempotent,
            1 => RequestClass::Keyed,
            _ => RequestClass::NonIdempotent,
        };
        let id = format!("i{ingress}-c{}-{}", self.number, self.requests);
        let timeout = self.random.random_range(TIMEOUTS_MS) * 1000;
        let metered = self.random.random_bool(METERED_SHARE).then(|| {
            let (count, place) = (self.addresses.len(), self.random.random_range(0..METERED_SET_SIZE));
            Customer::metered((ingress + count - place.min(count - 1)) % count, count)
        });
        Pending { id, class, sent_at: 0, timeout, metered }
    }

    /// Waits for the answers to all requests; whether the connection can be used again.
    fn await_answers(&mut self, ingress: usize, connection: &mut Connection, pending: Vec<Pending>) -> bool {
        let was_used = connection.answered > 0;
        let mut waiting_since = 0;
        let mut is_open = true;
        for (position, request) in pending.into_iter().enumerate() {
            let limit = request.sent_at.max(waiting_since) + request.timeout + ANSWER_SLACK;
            let outcome = if is_open {
                connection.await_outcome(&self.context.recorder, &request.id, limit)
            } else {
                Outcome::Closed
            };
            is_open &= !matches!(outcome, Outcome::Closed | Outcome::Unanswered | Outcome::WrongValue);
            connection.answered += usize::from(is_open);
            waiting_since = self.context.recorder.now();
            self.note(ingress, request, outcome, waiting_since, was_used || position > 0, position);
        }
        is_open
    }

    /// Leaves before the answers, or with them.
    fn leave(&mut self, ingress: usize, mut connection: Connection, pending: Vec<Pending>) {
        let stays_until = self.context.recorder.now() + self.random.random_range(0..=MAX_STAY_MS) * 1000;
        let Some(first) = pending.first() else { return };
        let outcome = connection.await_outcome(&self.context.recorder, &first.id, stays_until);
        drop(connection);
        let now = self.context.recorder.now();
        for (position, request) in pending.into_iter().enumerate() {
            let outcome =
                if position == 0 && outcome != Outcome::Unanswered { outcome } else { Outcome::Disconnected };
            self.note(ingress, request, outcome, now, true, position);
        }
    }

    /// Notes how a request ended.
    fn note(
        &self,
        ingress: usize,
        request: Pending,
        outcome: Outcome,
        ended_at: Micros,
        may_cross_close: bool,
        pipelined_behind: usize,
    ) {
        let Pending { id, class, sent_at, timeout, metered } = request;
        self.context.recorder.observations().requests.push(RequestRecord {
            id,
            class,
            ingress,
            sent_at,
            timeout,
            outcome,
            ended_at,
            may_cross_close,
            pipelined_behind,
            metered_customer: metered.map(|customer| customer.number),
        });
    }

    /// Sends half a command or none, and stays; or sends what is no command.
    fn misbehave(&mut self, ingress: usize) {
        let Some(mut stream) = self.connect(ingress) else { return };
        let command = encode_request(RequestClass::Idempotent, "half", Customer::unmetered(1), 500);
        let bytes = if self.is_affected_by(FaultScenario::MalformedCommands) {
            b"*1\r\n$-5\r\nGET / HTTP/1.1\r\n\r\n".to_vec()
        } else {
            command[..self.random.random_range(0..command.len())].to_vec()
        };
        if stream.write_all(&bytes).is_err() {
            return;
        }
        let at = self.context.recorder.now();
        let mut responded_at = None;
        while responded_at.is_none() && self.context.recorder.now() < at + INVALID_INPUT_PATIENCE {
            match stream.read(&mut [0; 256]) {
                Err(error) if is_timeout(&error) => {}
                _ => responded_at = Some(self.context.recorder.now()),
            }
        }
        self.context.recorder.observations().invalid_inputs.push(InvalidInputRecord {
            ingress,
            at,
            responded_at,
        });
    }
}

impl Connection {
    /// Whether anything has come between two requests: its end, or bytes that nobody asked for, which are noted.
    fn has_stray_bytes(&mut self, recorder: &Recorder) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let result = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        let is_stray = matches!(result, Ok(1..)) || !self.received.is_empty();
        if is_stray && self.answered > 0 {
            recorder.observations().stray_bytes.push(String::from_utf8_lossy(&self.received).into_owned());
        }
        is_stray || !result.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Waits for a reply until a time.
    fn await_reply(&mut self, recorder: &Recorder, limit: Micros) -> Wait {
        let mut chunk = [0; 4096];
        loop {
            if let Some((reply, length)) = parse_reply(&self.received) {
                self.received.drain(..length);
                return Wait::Reply(reply);
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return Wait::Closed,
                Ok(length) => self.received.extend_from_slice(&chunk[..length]),
                Err(error) if is_timeout(&error) && recorder.now() >= limit => return Wait::TimedOut,
                Err(error) if is_timeout(&error) => {}
                Err(_) => return Wait::Closed,
            }
        }
    }

    /// Waits for the answer to a request until a time.
    fn await_outcome(&mut self, recorder: &Recorder, id: &str, limit: Micros) -> Outcome {
        match self.await_reply(recorder, limit) {
            Wait::Reply(Reply::Value(value)) if value == value_of(id) => Outcome::Served,
            Wait::Reply(Reply::Value(_)) => Outcome::WrongValue,
            Wait::Reply(Reply::Line(line)) if line.starts_with("-BUSY") => Outcome::Rejected,
            Wait::Reply(Reply::Line(_)) => Outcome::Failed,
            Wait::Closed => Outcome::Closed,
            Wait::TimedOut => Outcome::Unanswered,
        }
    }
}

/// Whether a read only took too long.
fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
