//! Writes the commands of attempts to connections, reads the replies and records the results.

use super::closing::BackendCloseReason;
use super::connection::{BackendConnection, ReadStep};
use super::idle_reuse::ReuseOutcome;
use super::reply::{self, ExchangeResult};
use super::{
    AssignedConnection, AttemptId, BackendConnections, CommandState, ExchangeCompletion, FirstByteWritten,
};
use super::{ConnectionId, StatedTimeout};
use crate::readiness::Readiness;
use crate::resp::{self, ParsedReply};
use ingress::{BackendId, Duration, Instant, Outcome};
use mio::Registry;

/// Maximum size of a reply, in bytes. The parser's own limits are far lower; this one bounds the bytes read
/// per iteration of the event loop independently of the parser.
const MAX_REPLY_BYTES: usize = 256 * 1024;
/// A reused connection that fails within this time after an attempt is assigned counts as stale.
const IMMEDIATE_FAILURE_THRESHOLD: Duration = Duration::from_millis(10);

/// Result of processing received bytes or releasing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usability {
    /// The connection stays open.
    Usable,
    /// The connection has to be closed.
    Unusable,
}

impl BackendConnections {
    /// Assigns an attempt to a connection and starts writing the command that `encode` appends.
    ///
    /// Returns `None` if this fails; the completions then contain the attempt's result.
    pub fn assign(
        &mut self,
        registry: &Registry,
        backend: BackendId,
        attempt: AttemptId,
        stated_timeout: StatedTimeout,
        encode: impl FnOnce(&mut Vec<u8>),
    ) -> Option<AssignedConnection> {
        let now = stated_timeout.stated_at;
        let key = match self.connection_for(registry, backend, attempt, now) {
            Ok(key) => key,
            Err(outcome) => {
                self.push_completion(attempt, backend, now, ExchangeResult::without_reply(outcome));
                return None;
            }
        };
        let connection = &mut self.connections[key];
        connection.attempt = Some(attempt);
        connection.assigned_at = now;
        connection.written = 0;
        connection.stated_timeout = stated_timeout;
        connection.command.clear();
        encode(&mut connection.command);
        let id = ConnectionId { key, serial: connection.serial };
        self.account(key);
        self.write(key);
        let command = self.connections.get(key)?.command_state();
        Some(AssignedConnection { connection: id, command })
    }

    /// Returns the key of a connection for an attempt, or the outcome of the attempt if there is none.
    fn connection_for(
        &mut self,
        registry: &Registry,
        backend: BackendId,
        attempt: AttemptId,
        now: Instant,
    ) -> Result<usize, Outcome> {
        if let Err(refusal) = self.may_assign(backend) {
            tracing::debug!(
                target: "attempt",
                request = attempt.request.0,
                attempt = attempt.number,
                backend = backend.0,
                ?refusal,
                "attempt not sent: backend unavailable"
            );
            return Err(Outcome::NotSent);
        }
        self.acquire(registry, backend, now)
    }

    /// Returns the attempt on a connection if no byte of its command is written yet.
    pub fn unwritten_attempt(&self, key: usize) -> Option<AttemptId> {
        self.connections
            .get(key)
            .filter(|connection| connection.written == 0)
            .and_then(|connection| connection.attempt)
    }

    /// Replaces the command on a connection with the one that `encode` appends, unless a byte of it is
    /// written.
    pub fn rewrite_command(
        &mut self,
        key: usize,
        stated_timeout: StatedTimeout,
        encode: impl FnOnce(&mut Vec<u8>),
    ) {
        let connection = self.connections.get_mut(key);
        if let Some(connection) = connection.filter(|connection| connection.has_unwritten_command()) {
            connection.stated_timeout = stated_timeout;
            connection.command.clear();
            encode(&mut connection.command);
            self.account(key);
        }
    }

    /// Returns the connection with this id if it is still open.
    fn connection(&self, id: ConnectionId) -> Option<&BackendConnection> {
        self.connections.get(id.key).filter(|connection| connection.serial == id.serial)
    }

    /// Returns whether a connection is open with an incompletely written command, which the backend cannot
    /// have started to execute.
    pub fn has_incomplete_command(&self, id: ConnectionId) -> bool {
        self.connection(id).is_some_and(|connection| connection.command_state() == CommandState::Incomplete)
    }

    /// Closes a connection if it is still open and carries this attempt, and returns the command's progress.
    ///
    /// Adds no completion: the caller records the end of the attempt.
    pub fn cancel(
        &mut self,
        id: ConnectionId,
        attempt: AttemptId,
        reason: BackendCloseReason,
    ) -> Option<CommandState> {
        let connection = self.connection(id)?;
        if connection.attempt != Some(attempt) {
            return None;
        }
        let command = connection.command_state();
        self.remove(id.key, reason);
        Some(command)
    }

    /// Ends an attempt whose command is not completely written when the connect timeout expires, whether or
    /// not its connection is established.
    ///
    /// A command written later could reach the backend after the window of its idempotency key and be
    /// executed twice. The gateway relies on this timeout when it checks whether the window is still open.
    pub fn on_connect_timeout(&mut self, id: ConnectionId, attempt: AttemptId) {
        let carries_attempt =
            self.connection(id).is_some_and(|connection| connection.attempt == Some(attempt));
        if carries_attempt && self.has_incomplete_command(id) {
            self.complete(id.key, ExchangeResult::without_reply(Outcome::ConnectFailed), None);
            self.remove(id.key, BackendCloseReason::ConnectTimeout);
        }
    }

    /// Writes to a connection if it is writable, and reads from it. A connection that becomes idle is marked
    /// as idle since `now`.
    pub fn on_ready(&mut self, key: usize, now: Instant, readiness: Readiness) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if readiness == Readiness::Writable {
            connection.is_connected = connection.is_connected || connection.stream.peer_addr().is_ok();
            if connection.command_state() == CommandState::Incomplete {
                self.write(key);
            }
        }
        if self.connections.contains(key) {
            self.read(key, now);
            self.account(key);
        }
    }

    /// Writes as much of the command as possible, and records when its first byte is written.
    fn write(&mut self, key: usize) {
        let connection = &mut self.connections[key];
        let was_unwritten = connection.has_unwritten_command();
        let result = connection.write_command();
        if was_unwritten && connection.written > 0 {
            let BackendConnection { backend, stated_timeout, .. } = *connection;
            let first_byte =
                connection.attempt.map(|attempt| FirstByteWritten { attempt, backend, stated_timeout });
            self.first_bytes_written.extend(first_byte);
        }
        if result.is_ok() {
            return;
        }
        // A backend at its connection limit sends a rejection before it closes the connection, so read first.
        let id = ConnectionId { key, serial: connection.serial };
        let assigned_at = connection.assigned_at;
        self.read(key, assigned_at);
        if self.connection(id).is_some() {
            let result = ExchangeResult::without_reply(Outcome::ConnectFailed);
            self.complete(key, result, Some(assigned_at));
            self.remove(key, BackendCloseReason::Broken);
        }
    }

    /// Reads until a read would block or the connection has ended, since readiness is edge-triggered.
    fn read(&mut self, key: usize, now: Instant) {
        while self.connections[key].received.len() <= MAX_REPLY_BYTES {
            let step = self.connections[key].read_once(&mut self.read_buffer, now);
            match step {
                ReadStep::Interrupted => {}
                ReadStep::Blocked => return,
                ReadStep::Ended => return self.fail(key, now, BackendCloseReason::Broken),
                ReadStep::Received => {
                    if self.process_received(key, now) == Usability::Unusable {
                        return self.remove(key, BackendCloseReason::Unusable);
                    }
                }
            }
        }
        // No valid reply exceeds the limit.
        self.fail(key, now, BackendCloseReason::Unusable);
    }

    /// Completes the exchange if the reply is complete or malformed, and returns whether the connection can
    /// still be used.
    fn process_received(&mut self, key: usize, now: Instant) -> Usability {
        let connection = &mut self.connections[key];
        // Bytes on an idle connection belong to no command.
        if connection.attempt.is_none() {
            return Usability::Unusable;
        }
        let parsed = match resp::parse_reply(&connection.received) {
            Ok(None) => return Usability::Usable,
            Ok(Some(parsed)) => Some(parsed),
            Err(_) => None,
        };
        let is_sent = connection.command_state() == CommandState::Sent;
        let received_length = connection.received.len();
        let result = parsed
            .as_ref()
            .and_then(|parsed| reply::interpret(&mut connection.received, &parsed.reply))
            // The only valid reply to an incomplete command is a rejection.
            .filter(|result| is_sent || result.outcome == Outcome::Rejected);
        let has_no_trailing_bytes =
            parsed.is_some_and(|ParsedReply { length, .. }| length == received_length);
        let is_reusable = result.is_some() && is_sent && has_no_trailing_bytes;
        let failure = connection.failure_outcome();
        let result = result.unwrap_or_else(|| ExchangeResult::without_reply(failure));
        self.complete(key, result, Some(now));
        if is_reusable {
            self.release(key, now)
        } else {
            Usability::Unusable
        }
    }

    /// Closes a connection that has failed, and ends the attempt on it.
    pub(super) fn fail(&mut self, key: usize, now: Instant, reason: BackendCloseReason) {
        let outcome = self.connections[key].failure_outcome();
        self.complete(key, ExchangeResult::without_reply(outcome), Some(now));
        self.remove(key, reason);
    }

    /// Records the end of the attempt on a connection, if it carries one.
    ///
    /// A failure without `ended_at` is not recorded as a stale reuse.
    pub(super) fn complete(&mut self, key: usize, result: ExchangeResult, ended_at: Option<Instant>) {
        let connection = &self.connections[key];
        let Some(attempt) = connection.attempt else { return };
        let (backend, started_at) = (connection.backend, connection.assigned_at);
        if let Some(idle_time) = connection.idle_time_before_attempt {
            let reuse = reuse_outcome(connection, result.outcome, ended_at);
            if let Some(reuse) = reuse {
                self.idle_reuse.record(idle_time, reuse);
            }
        }
        self.push_completion(attempt, backend, started_at, result);
    }

    fn push_completion(
        &mut self,
        attempt: AttemptId,
        backend: BackendId,
        started_at: Instant,
        result: ExchangeResult,
    ) {
        let ExchangeResult { outcome, value, reported_queue_depth } = result;
        self.completions.push(ExchangeCompletion {
            attempt,
            backend,
            outcome,
            started_at,
            reported_queue_depth,
            value,
        });
    }
}

/// Returns the outcome of reusing a connection whose attempt ended with `outcome`; `None` if the failure is
/// not evidence that the connection was stale.
fn reuse_outcome(
    connection: &BackendConnection,
    outcome: Outcome,
    ended_at: Option<Instant>,
) -> Option<ReuseOutcome> {
    if !matches!(outcome, Outcome::Reset | Outcome::ConnectFailed) {
        return Some(ReuseOutcome::Alive);
    }
    let was_immediate = ended_at.is_some_and(|at| at <= connection.assigned_at + IMMEDIATE_FAILURE_THRESHOLD);
    (connection.received.is_empty() && was_immediate).then_some(ReuseOutcome::Stale)
}
