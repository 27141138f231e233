//! Attempts: how they begin on a connection to a backend, and how they end.

use super::client_events::Answer;
use super::request_table::Attempt;
use super::timer_queue::Timer;
use super::EventLoop;
use crate::backends::{AttemptId, CommandState, Completion, StatedTimeout};
use ingress::permissions::{may_begin_writing, WriteFacts, WriteRefusal};
use ingress::{AttemptEnded, BackendId, Duration, Event, Instant, Outcome, RequestId};

/// The end of an attempt, as it is logged, counted, audited and reported to the policy.
struct AttemptEnd {
    /// The attempt.
    attempt: AttemptId,
    /// The backend that it was sent to.
    backend: BackendId,
    /// How it ended.
    outcome: Outcome,
    /// How long it was in flight.
    elapsed: Duration,
    /// No reply to the request is owed any more.
    request_closed: bool,
    /// The requests that wait at the backend, where it reported them.
    reported_queue_depth: Option<f64>,
}

impl AttemptEnd {
    /// An attempt of an open request that was not sent.
    fn not_sent(attempt: AttemptId, backend: BackendId) -> AttemptEnd {
        AttemptEnd {
            attempt,
            backend,
            outcome: Outcome::NotSent,
            elapsed: Duration::ZERO,
            request_closed: false,
            reported_queue_depth: None,
        }
    }
}

impl From<AttemptEnd> for Event {
    fn from(end: AttemptEnd) -> Event {
        Event::AttemptEnded(AttemptEnded {
            id: end.attempt.request,
            attempt: end.attempt.number,
            backend: end.backend,
            outcome: end.outcome,
            request_closed: end.request_closed,
            elapsed: end.elapsed,
            charged_units: None,
            reported_queue_depth: end.reported_queue_depth,
        })
    }
}

/// The outcome of an attempt that timed out: only a backend that has the complete command may have executed
/// it.
fn timeout_outcome(command: CommandState) -> Outcome {
    match command {
        CommandState::Sent => Outcome::TimedOut,
        CommandState::Unsent => Outcome::ConnectFailed,
    }
}

impl EventLoop {
    /// Begins an attempt if the request may have one, and there are time and a connection for it.
    pub(super) fn send(&mut self, id: RequestId, backend: BackendId, expires_at: Option<Instant>) {
        let Some(request) = self.requests.get_mut(id) else {
            // The request has ended and been removed: there is no attempt to log, count or audit.
            let attempt = AttemptId { request: id, number: 0 };
            let end = AttemptEnd { request_closed: true, ..AttemptEnd::not_sent(attempt, backend) };
            return self.pending_events.push_back(end.into());
        };
        let request_closed = request.closed;
        let number = u16::try_from(request.attempts.len()).unwrap_or(u16::MAX);
        let attempt = AttemptId { request: id, number };
        let expires_at = expires_at.map_or(request.deadline, |expires_at| expires_at.min(request.deadline));
        let refusal = request.may_send(self.auditor.rules()).err();
        request.attempts.push(Attempt {
            backend,
            started_at: self.now,
            expires_at,
            begins_by: self.now + self.connect_timeout,
            connection: None,
        });
        // The exact time: the loop may have been delayed since it read its clock, and the client have given
        // up.
        let has_expired = expires_at <= self.clock.now().max(self.now);
        if refusal.is_some() || has_expired {
            tracing::debug!(
                target: "attempt",
                request = id.0,
                attempt = number,
                ?refusal,
                has_expired,
                "not sent"
            );
            return self.end_attempt(AttemptEnd { request_closed, ..AttemptEnd::not_sent(attempt, backend) });
        }
        if !self.reserve_descriptor(backend) {
            tracing::debug!(
                target: "attempt",
                request = id.0,
                attempt = number,
                backend = backend.0,
                "no descriptor"
            );
            return self.end_attempt(AttemptEnd::not_sent(attempt, backend));
        }
        self.assign_last_attempt(attempt);
    }

    /// Writes the command of a request's last attempt to a connection.
    fn assign_last_attempt(&mut self, attempt_id: AttemptId) {
        let Some(request) = self.requests.get_mut(attempt_id.request) else { return };
        let (command, Some(attempt)) = (&request.command, request.attempts.last_mut()) else { return };
        // Measured by the exact clock: a reply within a tick would otherwise have taken no time at all.
        attempt.started_at = self.clock.now();
        let timeout = attempt.expires_at.duration_since(attempt.started_at);
        let stated = StatedTimeout { stated_at: attempt.started_at, timeout };
        let encode = |buffer: &mut Vec<u8>| command.encode(timeout, buffer);
        let assigned =
            self.backends.assign(self.poll.registry(), attempt.backend, attempt_id, stated, encode);
        tracing::debug!(
            target: "attempt",
            request = attempt_id.request.0,
            attempt = attempt_id.number,
            backend = attempt.backend.0,
            connection = assigned.map(|assigned| assigned.connection.serial()),
            command = ?assigned.map(|assigned| assigned.command),
            time_left_ms = timeout.as_millis(),
            "started"
        );
        if let Some(assigned) = assigned {
            attempt.connection = Some(assigned.connection);
            self.timers.schedule(attempt.expires_at, Timer::AttemptTimeout(attempt_id));
            if assigned.command == CommandState::Unsent {
                let timer = Timer::ConnectTimeout(assigned.connection, attempt_id);
                self.timers.schedule(attempt.begins_by, timer);
            }
        }
        self.audit_begun_attempts();
    }

    /// Whether there is a descriptor for an attempt at a backend, if need be after closing an idle
    /// connection.
    fn reserve_descriptor(&mut self, backend: BackendId) -> bool {
        !self.backends.needs_connection(backend, self.clock.now())
            || self.descriptors.reserve_for_backend(&mut self.clients, &mut self.backends, self.now)
    }

    /// Records how an attempt has ended, and replies to the request if the attempt was served.
    pub(super) fn complete(&mut self, completion: Completion) {
        let Completion { attempt, backend, outcome, started_at, reported_queue_depth, value } = completion;
        let elapsed = self.clock.now().duration_since(started_at);
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(id) else { return };
        if let Some(ended) = request.attempts.get_mut(usize::from(attempt.number)) {
            ended.connection = None;
        }
        if outcome == Outcome::Ok {
            self.reply(id, &value, Answer::Served); // Only the first one becomes the final reply.
        }
        let request_closed = !self.requests.is_open(id);
        self.end_attempt(AttemptEnd {
            attempt,
            backend,
            outcome,
            elapsed,
            request_closed,
            reported_queue_depth,
        });
        self.requests.remove_if_finished(id, self.now);
    }

    /// Ends an attempt that has timed out.
    pub(super) fn time_out_attempt(&mut self, attempt: AttemptId) {
        self.cancel_attempt(attempt, timeout_outcome);
    }

    /// Ends an attempt that is in flight; its outcome may depend on how much of the command was sent.
    pub(super) fn cancel_attempt(
        &mut self,
        attempt_id: AttemptId,
        outcome: impl Fn(CommandState) -> Outcome,
    ) {
        let Some(request) = self.requests.get_mut(attempt_id.request) else { return };
        let request_closed = request.closed;
        let Some(attempt) = request.attempts.get_mut(usize::from(attempt_id.number)) else { return };
        let Some(connection) = attempt.connection else { return };
        let Some(command) = self.backends.cancel(connection, attempt_id) else { return };
        attempt.connection = None;
        let end = AttemptEnd {
            attempt: attempt_id,
            backend: attempt.backend,
            outcome: outcome(command),
            elapsed: self.clock.now().duration_since(attempt.started_at),
            request_closed,
            reported_queue_depth: None,
        };
        self.end_attempt(end);
        self.requests.remove_if_finished(attempt_id.request, self.now);
    }

    /// Logs, counts and audits the end of an attempt, and reports it to the policy.
    fn end_attempt(&mut self, end: AttemptEnd) {
        tracing::debug!(
            target: "attempt",
            request = end.attempt.request.0,
            attempt = end.attempt.number,
            backend = end.backend.0,
            outcome = ?end.outcome,
            elapsed_us = end.elapsed.as_micros(),
            "ended"
        );
        self.counters.record_outcome(end.outcome);
        self.audit_attempt_end(end.attempt, end.outcome);
        self.pending_events.push_back(end.into());
    }

    /// Ends the attempts of a closed request whose commands are not sent yet. This is done even where the
    /// settings allow no cancellation: a backend that never received the command has nothing to cancel.
    pub(super) fn cancel_unsent(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.closed) else { return };
        let mut ended = Vec::new();
        for (number, attempt) in (0u16..).zip(&mut request.attempts) {
            let unsent = attempt.connection.filter(|connection| self.backends.is_unsent(*connection));
            let Some(connection) = unsent else { continue };
            let attempt_id = AttemptId { request: id, number };
            self.backends.cancel(connection, attempt_id);
            attempt.connection = None;
            let elapsed = self.clock.now().duration_since(attempt.started_at);
            let not_sent = AttemptEnd::not_sent(attempt_id, attempt.backend);
            ended.push(AttemptEnd { elapsed, request_closed: true, ..not_sent });
        }
        for end in ended {
            self.end_attempt(end);
        }
    }

    /// Encodes the command on a connection anew if nothing of it is written yet, or ends its attempt if it
    /// may not begin any more.
    ///
    /// Without this a backend would work for a client that has given up. The timeout in the command was true
    /// when the connection was begun, up to a connect timeout ago, and a loop that was delayed writes before
    /// it runs the timers that would have ended the attempt. So the exact clock decides here, before the
    /// first byte.
    pub(super) fn prepare_to_write(&mut self, key: usize) {
        let Some(attempt_id) = self.backends.not_yet_written(key) else { return };
        let Some(request) = self.requests.get(attempt_id.request) else { return };
        let Some(attempt) = request.attempts.get(usize::from(attempt_id.number)) else { return };
        let now = self.clock.now().max(self.now);
        let Attempt { expires_at, begins_by, .. } = *attempt;
        let facts = WriteFacts { now, expires_at, begins_by, closed: request.closed };
        if let Err(refusal) = may_begin_writing(&facts) {
            return self.refuse_to_write(attempt_id, refusal);
        }
        let timeout = expires_at.duration_since(now);
        let stated = StatedTimeout { stated_at: now, timeout };
        self.backends.rewrite_command(key, stated, |buffer| request.command.encode(timeout, buffer));
    }

    /// Ends an attempt whose first byte may not be written any more.
    fn refuse_to_write(&mut self, attempt: AttemptId, refusal: WriteRefusal) {
        let (request, number) = (attempt.request.0, attempt.number);
        tracing::debug!(target: "attempt", request, attempt = number, ?refusal, "not begun");
        let outcome = match refusal {
            // That the request is closed is no failure of the backend's.
            WriteRefusal::Closed => Outcome::NotSent,
            WriteRefusal::Expired | WriteRefusal::ConnectedTooLate => Outcome::ConnectFailed,
        };
        self.cancel_attempt(attempt, |_| outcome);
    }
}
