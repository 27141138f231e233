//! Attempts: their begin on a connection to a backend, and their end.

use super::client_events::Answer;
use super::request_table::Attempt;
use super::timer_queue::Timer;
use super::EventLoop;
use crate::backends::{AttemptId, CommandState, Completion, StatedTimeout};
use ingress::permissions::{may_begin_writing, WriteFacts, WriteRefusal};
use ingress::{AttemptEnded, BackendId, Duration, Event, Instant, Outcome, RequestId};

/// An attempt, as reported to the policy.
#[derive(Clone, Copy)]
struct AttemptRecord {
    /// The request.
    id: RequestId,
    /// The number of the attempt, from 0.
    number: u16,
    /// Where it went.
    backend: BackendId,
    /// How long it was in flight.
    elapsed: Duration,
}

impl AttemptRecord {
    /// The event of its end; `answered` says that the request has its final reply.
    fn ended(self, outcome: Outcome, answered: bool, reported_queue_depth: Option<f64>) -> Event {
        Event::AttemptEnded(AttemptEnded {
            id: self.id,
            attempt: self.number,
            backend: self.backend,
            outcome,
            answered,
            elapsed: self.elapsed,
            charged_units: None,
            reported_queue_depth,
        })
    }
}

/// What it means that no reply came in time: only a backend that has the whole command may have executed it.
fn timeout_outcome(command: CommandState) -> Outcome {
    match command {
        CommandState::Sent => Outcome::TimedOut,
        CommandState::Unsent => Outcome::ConnectFailed,
    }
}

impl EventLoop {
    /// Begins an attempt, if the request still wants one and there is time and a connection for it.
    pub(super) fn send(&mut self, id: RequestId, backend: BackendId, expires_at: Option<Instant>) {
        let mut record = AttemptRecord { id, number: 0, backend, elapsed: Duration::ZERO };
        let Some(request) = self.requests.get_mut(id) else {
            // It has ended and been removed: there is no attempt to count.
            return self.pending_events.push_back(record.ended(Outcome::NotSent, true, None));
        };
        let index = request.attempts.len();
        record.number = u16::try_from(index).unwrap_or(u16::MAX);
        let expires_at = expires_at.map_or(request.deadline, |expires_at| expires_at.min(request.deadline));
        let refusal = request.may_send(self.auditor.rules()).err();
        let begins_by = self.now + self.connect_timeout;
        let started_at = self.now;
        request.attempts.push(Attempt { backend, started_at, expires_at, begins_by, connection: None });
        // The exact clock: if the loop was held up since it read its own, the client may have given up meanwhile.
        let has_expired = expires_at <= self.clock.now().max(self.now);
        if refusal.is_some() || has_expired {
            let answered = request.closed;
            tracing::debug!(target: "attempt", request = id.0, attempt = index, ?refusal, has_expired, "not sent");
            return self.end_attempt(record, Outcome::NotSent, answered, None);
        }
        if !self.reserve_descriptor(backend) {
            return self.end_attempt(record, Outcome::NotSent, false, None);
        }
        self.assign_last_attempt(id, record.number);
    }

    /// Writes the command of a request's last attempt to a connection.
    fn assign_last_attempt(&mut self, id: RequestId, number: u16) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let (command, Some(attempt)) = (&request.command, request.attempts.last_mut()) else { return };
        let Attempt { backend, expires_at, begins_by, .. } = *attempt;
        // An attempt's time is measured by the exact clock: one that is answered within a tick would otherwise have
        // taken no time at all.
        let started_at = self.clock.now();
        let time_left = expires_at.duration_since(started_at);
        attempt.started_at = started_at;
        let attempt_id = AttemptId { request: id, number };
        let stated_timeout = StatedTimeout { stated_at: started_at, timeout: time_left };
        let assigned =
            self.backends.assign(self.poll.registry(), backend, attempt_id, stated_timeout, |buffer| {
                command.encode(time_left, buffer)
            });
        tracing::debug!(
            target: "attempt",
            request = id.0,
            attempt = number,
            backend = backend.0,
            connection = ?assigned.map(|assigned| assigned.connection),
            command = ?assigned.map(|assigned| assigned.command),
            time_left_ms = time_left.as_millis(),
            "started"
        );
        let Some(assigned) = assigned else { return self.audit_begun_attempts() };
        attempt.connection = Some(assigned.connection);
        self.timers.schedule(expires_at, Timer::AttemptTimeout(attempt_id));
        if assigned.command == CommandState::Unsent {
            self.timers.schedule(begins_by, Timer::ConnectTimeout(assigned.connection, attempt_id));
        }
        self.audit_begun_attempts();
    }

    /// Whether there is a descriptor for work at a backend, if need be after closing an idle connection.
    fn reserve_descriptor(&mut self, backend: BackendId) -> bool {
        !self.backends.needs_connection(backend, self.clock.now())
            || self.descriptors.reserve_for_backend(&mut self.clients, &mut self.backends, self.now)
    }

    /// Records how an attempt has ended, and replies if it was served.
    pub(super) fn complete(&mut self, completion: Completion) {
        let Completion { attempt, backend, outcome, started_at, reported_queue_depth, value } = completion;
        let elapsed = self.clock.now().duration_since(started_at);
        let AttemptId { request: id, number } = attempt;
        let Some(request) = self.requests.get_mut(id) else { return };
        if let Some(attempt) = request.attempts.get_mut(usize::from(number)) {
            attempt.connection = None;
        }
        if outcome == Outcome::Ok {
            self.reply(id, &value, Answer::Served); // the first one is the final reply
        }
        let answered = !self.requests.is_open(id);
        let record = AttemptRecord { id, number, backend, elapsed };
        self.end_attempt(record, outcome, answered, reported_queue_depth);
        self.requests.remove_if_finished(id, self.now);
    }

    /// Gives up an attempt that has taken too long.
    pub(super) fn time_out_attempt(&mut self, attempt: AttemptId) {
        self.cancel_attempt(attempt, timeout_outcome);
    }

    /// Ends an attempt that is in flight; its outcome may depend on how much of the command was sent.
    pub(super) fn cancel_attempt(
        &mut self,
        attempt_id: AttemptId,
        outcome: impl Fn(CommandState) -> Outcome,
    ) {
        let AttemptId { request: id, number } = attempt_id;
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.get_mut(usize::from(number)) else { return };
        let cancelled =
            attempt.connection.and_then(|connection| self.backends.cancel(connection, attempt_id));
        let Some(command) = cancelled else { return };
        attempt.connection = None;
        let elapsed = self.clock.now().duration_since(attempt.started_at);
        let record = AttemptRecord { id, number, backend: attempt.backend, elapsed };
        let answered = request.closed;
        self.end_attempt(record, outcome(command), answered, None);
        self.requests.remove_if_finished(id, self.now);
    }

    /// Records the end of an attempt, and reports it to the policy.
    fn end_attempt(
        &mut self,
        record: AttemptRecord,
        outcome: Outcome,
        answered: bool,
        reported_queue_depth: Option<f64>,
    ) {
        tracing::debug!(
            target: "attempt",
            request = record.id.0,
            attempt = record.number,
            backend = record.backend.0,
            ?outcome,
            elapsed_us = record.elapsed.as_micros(),
            "ended"
        );
        self.counters.record_outcome(outcome);
        self.audit_attempt_end(record.id, record.number, outcome);
        self.pending_events.push_back(record.ended(outcome, answered, reported_queue_depth));
    }

    /// Ends the attempts of an answered request whose commands are not sent yet, even where the settings allow no
    /// cancellation: a backend that never got the command has nothing to cancel.
    pub(super) fn cancel_unsent(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.closed) else { return };
        let mut ended = Vec::new();
        for (number, attempt) in (0u16..).zip(&mut request.attempts) {
            let unsent = attempt.connection.filter(|connection| self.backends.is_unsent(*connection));
            let Some(connection) = unsent else { continue };
            self.backends.cancel(connection, AttemptId { request: id, number });
            attempt.connection = None;
            let elapsed = self.clock.now().duration_since(attempt.started_at);
            ended.push(AttemptRecord { id, number, backend: attempt.backend, elapsed });
        }
        ended.into_iter().for_each(|record| self.end_attempt(record, Outcome::NotSent, true, None));
    }

    /// Writes the command on a connection anew, if nothing of it is sent yet: the remaining time that it states was true
    /// when the connection was begun, which may be as long ago as the connect timeout. Ends the attempt instead if it may
    /// not begin any more: the loop may have been held up, and its timer is due but was not looked at.
    pub(super) fn prepare_to_write(&mut self, key: usize) {
        let Some(attempt_id) = self.backends.not_yet_written(key) else { return };
        let AttemptId { request: id, number } = attempt_id;
        let Some(request) = self.requests.get(id) else { return };
        let Some(attempt) = request.attempts.get(usize::from(number)) else { return };
        let at = self.clock.now().max(self.now);
        let Attempt { expires_at, begins_by, .. } = *attempt;
        let facts = WriteFacts { now: at, expires_at, begins_by, closed: request.closed };
        if let Err(refusal) = may_begin_writing(&facts) {
            tracing::debug!(target: "attempt", request = id.0, attempt = number, ?refusal, "not begun");
            // That nobody waits any more says nothing of the backend.
            let outcome = match refusal {
                WriteRefusal::Closed => Outcome::NotSent,
                WriteRefusal::Expired | WriteRefusal::ConnectedTooLate => Outcome::ConnectFailed,
            };
            return self.cancel_attempt(attempt_id, |_| outcome);
        }
        let time_left = expires_at.duration_since(at);
        let stated_timeout = StatedTimeout { stated_at: at, timeout: time_left };
        self.backends
            .rewrite_command(key, stated_timeout, |buffer| request.command.encode(time_left, buffer));
    }
}
