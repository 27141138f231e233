//! Clients that send requests to random ingresses over reused connections and record the outcomes.

mod connection;

use super::customer::{metered, unmetered};
use crate::context::RunContext;
use crate::record::{
    to_millis, InvalidInputRecord, Micros, Outcome, RequestClass, RequestRecord, MICROS_PER_MILLI,
};
use crate::rotation::Rotation;
use crate::scenario::FaultScenario;
use crate::settings::{ANSWER_SLACK, MAX_TIMEOUT_MS, METERED_SET_SIZE};
use connection::Connection;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use stand_ins::request::{encode_request, Customer};
use stand_ins::server::is_timeout;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Number of groups of clients. A scenario of clients affects one group.
const CLIENT_GROUP_COUNT: usize = 4;
/// Probability that a request is sent on a new connection.
const NEW_CONNECTION_SHARE: f64 = 0.1;
/// Maximum delay of the first command on a new connection, in milliseconds.
const MAX_FIRST_COMMAND_DELAY_MS: u64 = 30;
/// Maximum pause between two requests of a client, in milliseconds.
const MAX_THINK_TIME_MS: u64 = 15;
/// Maximum time from a request until a client disconnects, in milliseconds.
const MAX_TIME_TO_DISCONNECT_MS: u64 = 60;
/// Time for which a client waits for an error or a close after invalid input, in microseconds.
const INVALID_INPUT_RESPONSE_TIMEOUT: Micros = 4_500_000;
/// Number of bytes that a trickling client writes at a time.
const TRICKLE_SIZE: usize = 7;
/// Pause between two pieces of a trickled command.
const TRICKLE_PAUSE: Duration = Duration::from_micros(400);
/// Probability that a request is sent for a metered customer.
const METERED_SHARE: f64 = 0.15;
/// Range of the timeouts of requests, in milliseconds.
const TIMEOUTS_MS: RangeInclusive<u64> = 300..=MAX_TIMEOUT_MS;
/// Number of requests that a pipelining client sends at once.
const PIPELINE_LENGTHS: RangeInclusive<usize> = 2..=12;
/// Malformed input: a command with a negative length, followed by an HTTP request.
const MALFORMED_COMMAND: &[u8] = b"*1\r\n$-5\r\nGET / HTTP/1.1\r\n\r\n";
/// Timeout stated in an incomplete command, in milliseconds.
const INCOMPLETE_TIMEOUT_MS: u64 = 500;
/// Maximum number of bytes per read of a response to invalid input.
const RESPONSE_CHUNK_SIZE: usize = 256;

/// A request in flight.
struct PendingRequest {
    id: String,
    class: RequestClass,
    /// Time at which the last byte was written.
    sent_at: Micros,
    timeout: Micros,
    /// The customer, if it has the metered plan.
    metered: Option<Customer>,
}

/// The result of a pending request.
#[derive(Clone, Copy)]
struct Completion {
    /// Number of the ingress that the request was sent to.
    ingress: usize,
    outcome: Outcome,
    ended_at: Micros,
    /// Whether the connection may have carried earlier requests, so that the ingress may close it while this
    /// request is in transit.
    may_cross_close: bool,
    /// Number of requests in flight on the connection ahead of this one.
    pipelined_behind: usize,
}

/// A client that sends requests until the load ends.
pub struct Client {
    number: usize,
    context: Arc<RunContext>,
    /// Addresses of the ingresses, indexed by number.
    addresses: Vec<SocketAddr>,
    rotation: Arc<Rotation>,
    random: StdRng,
    /// Open connections by ingress.
    connections: HashMap<usize, Connection>,
    /// Number of requests drawn so far.
    requests: u64,
}

impl Client {
    /// Creates a client of the ingresses at these addresses.
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

    /// Sends requests or invalid input, one after another, until the load ends.
    pub fn run(mut self) {
        while !self.context.has_load_ended() {
            let ingress = self.random.random_range(0..self.addresses.len());
            if self.is_affected_by(FaultScenario::StalledClients)
                || self.is_affected_by(FaultScenario::MalformedCommands)
            {
                self.send_invalid_input(ingress);
            } else {
                self.send_requests(ingress);
            }
            thread::sleep(Duration::from_millis(self.random.random_range(0..=MAX_THINK_TIME_MS)));
        }
    }

    /// Returns whether a scenario of clients currently affects this client.
    fn is_affected_by(&self, scenario: FaultScenario) -> bool {
        self.context.affects(scenario, self.number % CLIENT_GROUP_COUNT, CLIENT_GROUP_COUNT)
    }

    /// Connects to an ingress if it is in rotation.
    fn connect(&self, ingress: usize) -> Option<TcpStream> {
        if !self.rotation.contains(ingress) {
            return None;
        }
        connection::connect(self.addresses[ingress]).ok()
    }

    /// Takes the open connection to an ingress, or opens a new one and delays its first command.
    fn take_connection(&mut self, ingress: usize) -> Option<Connection> {
        let opens_new = self.random.random_bool(NEW_CONNECTION_SHARE);
        if let Some(connection) = self.connections.remove(&ingress).filter(|_| !opens_new) {
            return Some(connection);
        }
        let stream = self.connect(ingress)?;
        thread::sleep(Duration::from_millis(self.random.random_range(0..=MAX_FIRST_COMMAND_DELAY_MS)));
        Some(Connection::new(stream))
    }

    /// Sends one or several pipelined requests and waits for the answers.
    fn send_requests(&mut self, ingress: usize) {
        let Some(mut connection) = self.take_connection(ingress) else { return };
        // An ingress must not close a new connection before its first command, so that command is always
        // sent.
        if connection.is_reused() && connection.is_unusable(&self.context.recorder) {
            return; // The connection was closed between two requests, or has unexpected bytes.
        }
        let mut pending = self.draw_requests(ingress);
        let bytes: Vec<u8> = pending.iter().flat_map(|request| self.encode(request)).collect();
        if self.write(&mut connection, &bytes).is_err() {
            return; // The connection was closed before all bytes were written.
        }
        let sent_at = self.context.recorder.now();
        for request in &mut pending {
            request.sent_at = sent_at;
        }
        if self.is_affected_by(FaultScenario::DisconnectingClients) {
            return self.disconnect(ingress, connection, pending);
        }
        if self.wait_for_answers(ingress, &mut connection, pending) {
            self.connections.insert(ingress, connection);
        }
    }

    /// Draws one request, or several to be pipelined.
    fn draw_requests(&mut self, ingress: usize) -> Vec<PendingRequest> {
        let count = if self.is_affected_by(FaultScenario::PipeliningClients) {
            self.random.random_range(PIPELINE_LENGTHS)
        } else {
            1
        };
        (0..count).map(|_| self.draw_request(ingress)).collect()
    }

    /// Draws the next request for an ingress.
    fn draw_request(&mut self, ingress: usize) -> PendingRequest {
        self.requests += 1;
        let class = match self.random.random_range(0..3) {
            0 => RequestClass::Idempotent,
            1 => RequestClass::Keyed,
            _ => RequestClass::NonIdempotent,
        };
        let id = format!("i{ingress}-c{}-{}", self.number, self.requests);
        let timeout = self.random.random_range(TIMEOUTS_MS) * MICROS_PER_MILLI;
        let is_metered = self.random.random_bool(METERED_SHARE);
        let metered = is_metered.then(|| self.draw_metered_customer(ingress));
        PendingRequest { id, class, sent_at: 0, timeout, metered }
    }

    /// Draws a metered customer that an ingress serves.
    fn draw_metered_customer(&mut self, ingress: usize) -> Customer {
        let ingresses = self.addresses.len();
        let offset = self.random.random_range(0..METERED_SET_SIZE).min(ingresses - 1);
        metered((ingress + ingresses - offset) % ingresses, ingresses)
    }

    /// Encodes the command of a request.
    fn encode(&self, request: &PendingRequest) -> Vec<u8> {
        let customer = request.metered.unwrap_or_else(|| unmetered(self.number as u64 + 1));
        encode_request(request.class, &request.id, customer, to_millis(request.timeout))
    }

    /// Writes commands, in pieces of [`TRICKLE_SIZE`] bytes if the client is to trickle them.
    fn write(&self, connection: &mut Connection, bytes: &[u8]) -> std::io::Result<()> {
        if !self.is_affected_by(FaultScenario::TricklingClients) {
            return connection.write(bytes);
        }
        for piece in bytes.chunks(TRICKLE_SIZE) {
            connection.write(piece)?;
            thread::sleep(TRICKLE_PAUSE);
        }
        Ok(())
    }

    /// Waits for the answers to all requests. Returns whether the connection can be reused.
    fn wait_for_answers(
        &mut self,
        ingress: usize,
        connection: &mut Connection,
        pending: Vec<PendingRequest>,
    ) -> bool {
        let was_reused = connection.is_reused();
        let mut ended_at = 0;
        let mut is_open = true;
        for (position, request) in pending.into_iter().enumerate() {
            let limit = request.sent_at.max(ended_at) + request.timeout + ANSWER_SLACK;
            let outcome = if is_open {
                connection.wait_for_outcome(&self.context.recorder, &request.id, limit)
            } else {
                Outcome::Closed
            };
            is_open &= !matches!(outcome, Outcome::Closed | Outcome::Unanswered | Outcome::WrongValue);
            if is_open {
                connection.count_answer();
            }
            ended_at = self.context.recorder.now();
            let may_cross_close = was_reused || position > 0;
            let completion =
                Completion { ingress, outcome, ended_at, may_cross_close, pipelined_behind: position };
            self.record(request, completion);
        }
        is_open
    }

    /// Waits for the first answer until a random time, disconnects and records the outcomes.
    fn disconnect(&mut self, ingress: usize, mut connection: Connection, pending: Vec<PendingRequest>) {
        let time_ms = self.random.random_range(0..=MAX_TIME_TO_DISCONNECT_MS);
        let disconnects_at = self.context.recorder.now() + time_ms * MICROS_PER_MILLI;
        let Some(first) = pending.first() else { return };
        let first_outcome = connection.wait_for_outcome(&self.context.recorder, &first.id, disconnects_at);
        drop(connection);
        let ended_at = self.context.recorder.now();
        for (position, request) in pending.into_iter().enumerate() {
            let has_ended = position == 0 && first_outcome != Outcome::Unanswered;
            let outcome = if has_ended { first_outcome } else { Outcome::Disconnected };
            let completion =
                Completion { ingress, outcome, ended_at, may_cross_close: true, pipelined_behind: position };
            self.record(request, completion);
        }
    }

    /// Records a request with its result.
    fn record(&self, request: PendingRequest, completion: Completion) {
        let PendingRequest { id, class, sent_at, timeout, metered } = request;
        let Completion { ingress, outcome, ended_at, may_cross_close, pipelined_behind } = completion;
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

    /// Sends a malformed or incomplete command and stays connected until the ingress responds.
    fn send_invalid_input(&mut self, ingress: usize) {
        let Some(mut stream) = self.connect(ingress) else { return };
        if stream.write_all(&self.draw_invalid_input()).is_err() {
            return;
        }
        let at = self.context.recorder.now();
        let mut responded_at = None;
        while responded_at.is_none() && self.context.recorder.now() < at + INVALID_INPUT_RESPONSE_TIMEOUT {
            match stream.read(&mut [0; RESPONSE_CHUNK_SIZE]) {
                Err(error) if is_timeout(&error) => {}
                _ => responded_at = Some(self.context.recorder.now()),
            }
        }
        let record = InvalidInputRecord { ingress, at, responded_at };
        self.context.recorder.observations().invalid_inputs.push(record);
    }

    /// Returns a malformed command, or draws a prefix of a well-formed one.
    fn draw_invalid_input(&mut self) -> Vec<u8> {
        if self.is_affected_by(FaultScenario::MalformedCommands) {
            return MALFORMED_COMMAND.to_vec();
        }
        let mut command =
            encode_request(RequestClass::Idempotent, "half", unmetered(1), INCOMPLETE_TIMEOUT_MS);
        command.truncate(self.random.random_range(0..command.len()));
        command
    }
}
