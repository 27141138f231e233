//! Attempts and health checks: their begin on a connection to a backend, and their end.

use super::client_events::Answer;
use super::request_table::Attempt;
use super::timer_queue::Timer;
use super::EventLoop;
use crate::backends::{Assignment, CommandState, Completion, ConnectionId, TimeTold};
use crate::resp;
use ingress::permissions::{may_begin_writing, WriteFacts, WriteRefusal};
use ingress::{AttemptEnded, BackendId, Duration, Event, Instant, LoadReport, Outcome, RequestId};

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
    fn ended(self, outcome: Outcome, answered: bool, load_report: Option<LoadReport>) -> Event {
        Event::AttemptEnded(AttemptEnded {
            id: self.id,
            attempt: self.number,
            backend: self.backend,
            outcome,
            answered,
            elapsed: self.elapsed,
            metered: None,
            charged_units: None,
            load_report,
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
            let answered = request.answered;
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
        let assignment = Assignment::Attempt { id, attempt: number };
        let time_told = TimeTold { at: started_at, time_left };
        let assigned = self.backends.assign(self.poll.registry(), backend, assignment, time_told, |buffer| {
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
        self.timers.schedule(expires_at, Timer::AttemptTimeout(id, number));
        if assigned.command == CommandState::Unsent {
            self.timers.schedule(begins_by, Timer::ConnectTimeout(assigned.connection, assignment));
        }
        self.audit_begun_attempts();
    }

    /// Whether there is a descriptor for work at a backend, if need be after closing an idle connection.
    fn reserve_descriptor(&mut self, backend: BackendId) -> bool {
        !self.backends.needs_connection(backend, self.clock.now())
            || self.descriptors.reserve_for_backend(&mut self.clients, &mut self.backends, self.now)
    }

    /// Begins a health check.
    pub(super) fn check_health(&mut self, backend: BackendId) {
        if !self.reserve_descriptor(backend) {
            return self.report_health_check(backend, Outcome::ConnectFailed, Duration::ZERO, None);
        }
        let (registry, now) = (self.poll.registry(), self.now);
        let time_told = TimeTold { at: now, time_left: self.connect_timeout };
        let assigned =
            self.backends.assign(registry, backend, Assignment::HealthCheck, time_told, |buffer| {
                resp::write_array_header(buffer, 2);
                resp::write_bulk_string(buffer, &[b"INFO"]);
                resp::write_bulk_string(buffer, &[b"load"]);
            });
        if let Some(assigned) = assigned {
            let connection = assigned.connection;
            let timer = Timer::HealthCheckTimeout { connection, backend, started_at: now };
            self.timers.schedule(now + self.connect_timeout, timer);
        }
    }

    /// Reports the end of a health check to the policy.
    fn report_health_check(
        &mut self,
        backend: BackendId,
        outcome: Outcome,
        elapsed: Duration,
        load_report: Option<LoadReport>,
    ) {
        self.pending_events.push_back(Event::HealthCheckEnded { backend, outcome, elapsed, load_report });
    }

    /// Takes in how an attempt or a health check has ended.
    pub(super) fn complete(&mut self, completion: Completion) {
        let Completion { assignment, backend, outcome, started_at, load_report, value } = completion;
        let elapsed = self.clock.now().duration_since(started_at);
        let (id, number) = match assignment {
            Assignment::Attempt { id, attempt } => (id, attempt),
            Assignment::HealthCheck => {
                return self.report_health_check(backend, outcome, elapsed, load_report);
            }
        };
        let Some(request) = self.requests.get_mut(id) else { return };
        if let Some(attempt) = request.attempts.get_mut(usize::from(number)) {
            attempt.connection = None;
        }
        if outcome == Outcome::Ok {
            self.reply(id, &value, Answer::Served); // the first one is the final reply
        }
        let answered = !self.requests.is_unanswered(id);
        let record = AttemptRecord { id, number, backend, elapsed };
        self.end_attempt(record, outcome, answered, load_report);
        self.requests.remove_if_finished(id, self.now);
    }

    /// Gives up an attempt that has taken too long.
    pub(super) fn time_out_attempt(&mut self, id: RequestId, number: u16) {
        self.cancel_attempt(id, number, timeout_outcome);
    }

    /// Gives up a health check that has taken too long.
    pub(super) fn time_out_health_check(
        &mut self,
        connection: ConnectionId,
        backend: BackendId,
        started_at: Instant,
    ) {
        if let Some(command) = self.backends.cancel(connection, Assignment::HealthCheck) {
            self.report_health_check(
                backend,
                timeout_outcome(command),
                self.now.duration_since(started_at),
                None,
            );
        }
    }

    /// Ends an attempt that is in flight; its outcome may depend on how much of the command was sent.
    pub(super) fn cancel_attempt(
        &mut self,
        id: RequestId,
        number: u16,
        outcome: impl Fn(CommandState) -> Outcome,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.get_mut(usize::from(number)) else { return };
        let assignment = Assignment::Attempt { id, attempt: number };
        let cancelled =
            attempt.connection.and_then(|connection| self.backends.cancel(connection, assignment));
        let Some(command) = cancelled else { return };
        attempt.connection = None;
        let elapsed = self.clock.now().duration_since(attempt.started_at);
        let record = AttemptRecord { id, number, backend: attempt.backend, elapsed };
        let answered = request.answered;
        self.end_attempt(record, outcome(command), answered, None);
        self.requests.remove_if_finished(id, self.now);
    }

    /// Records the end of an attempt, and reports it to the policy.
    fn end_attempt(
        &mut self,
        record: AttemptRecord,
        outcome: Outcome,
        answered: bool,
        load_report: Option<LoadReport>,
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
        self.pending_events.push_back(record.ended(outcome, answered, load_report));
    }

    /// Ends the attempts of an answered request whose commands are not sent yet, even where the settings allow no
    /// cancellation: a backend that never got the command has nothing to cancel.
    pub(super) fn cancel_unsent(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.answered) else { return };
        let mut ended = Vec::new();
        for (number, attempt) in (0u16..).zip(&mut request.attempts) {
            let unsent = attempt.connection.filter(|connection| self.backends.is_unsent(*connection));
            let Some(connection) = unsent else { continue };
            self.backends.cancel(connection, Assignment::Attempt { id, attempt: number });
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
        let Some(Assignment::Attempt { id, attempt: number }) = self.backends.not_yet_written(key) else {
            return;
        };
        let Some(request) = self.requests.get(id) else { return };
        let Some(attempt) = request.attempts.get(usize::from(number)) else { return };
        let at = self.clock.now().max(self.now);
        let Attempt { expires_at, begins_by, .. } = *attempt;
        let facts = WriteFacts { now: at, expires_at, begins_by, answered: request.answered };
        if let Err(refusal) = may_begin_writing(&facts) {
            tracing::debug!(target: "attempt", request = id.0, attempt = number, ?refusal, "not begun");
            // That nobody waits any more says nothing of the backend.
            let outcome = match refusal {
                WriteRefusal::Answered => Outcome::NotSent,
                WriteRefusal::Expired | WriteRefusal::ConnectedTooLate => Outcome::ConnectFailed,
            };
            return self.cancel_attempt(id, number, |_| outcome);
        }
        let time_left = expires_at.duration_since(at);
        let time_told = TimeTold { at, time_left };
        self.backends.rewrite_command(key, time_told, |buffer| request.command.encode(time_left, buffer));
    }
}
