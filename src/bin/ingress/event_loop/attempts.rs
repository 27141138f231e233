//! Starts attempts on connections to backends, and ends them.

use super::client_events::Answer;
use super::request_entries::AttemptEntry;
use super::timer_queue::Timer;
use super::EventLoop;
use crate::backends::{AttemptId, BackendCloseReason, CommandState, ExchangeCompletion, StatedTimeout};
use ingress::permissions::{may_begin_writing, WriteContext, WriteRefusal};
use ingress::{AttemptEnded, BackendId, Duration, Event, Instant, Outcome, RequestId};

/// The end of an attempt, as it is logged, counted, audited and reported to the gateway.
struct AttemptEndReport {
    attempt: AttemptId,
    backend: BackendId,
    outcome: Outcome,
    /// The time that the attempt was in flight.
    elapsed: Duration,
    /// Whether the request no longer needs a reply.
    request_closed: bool,
    /// The number of requests queued at the backend, if it reported one.
    reported_queue_depth: Option<f64>,
}

impl AttemptEndReport {
    /// Returns the report of an attempt that was not sent, for an open request.
    fn not_sent(attempt: AttemptId, backend: BackendId) -> AttemptEndReport {
        AttemptEndReport {
            attempt,
            backend,
            outcome: Outcome::NotSent,
            elapsed: Duration::ZERO,
            request_closed: false,
            reported_queue_depth: None,
        }
    }
}

impl From<AttemptEndReport> for Event {
    fn from(end: AttemptEndReport) -> Event {
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

/// Returns the outcome of an attempt that timed out. Only a backend that has received the complete command
/// may have executed it.
fn timeout_outcome(command: CommandState) -> Outcome {
    match command {
        CommandState::Sent => Outcome::TimedOut,
        CommandState::Incomplete => Outcome::ConnectFailed,
    }
}

impl EventLoop {
    /// Starts an attempt if the request may have one, its time has not expired and a descriptor is available.
    /// Otherwise the attempt ends at once as [`Outcome::NotSent`].
    pub(super) fn send(&mut self, id: RequestId, backend: BackendId, expires_at: Option<Instant>) {
        let Some(request) = self.requests.get_mut(id) else {
            return self.end_attempt_of_removed_request(id, backend);
        };
        let request_closed = request.closed;
        let number = u16::try_from(request.attempts.len()).unwrap_or(u16::MAX);
        let attempt = AttemptId { request: id, number };
        let expires_at = expires_at.map_or(request.deadline, |expires_at| expires_at.min(request.deadline));
        let refusal = request.may_send(&self.attempt_limits).err();
        let begins_by = self.now + self.connect_timeout;
        request.attempts.push(AttemptEntry::new(backend, self.now, expires_at, begins_by));
        // The exact time: the event loop may have been delayed since it read the clock, and the client's
        // timeout may have passed.
        let has_expired = expires_at <= self.clock.now().max(self.now);
        if refusal.is_some() || has_expired {
            let refusal = refusal.map(tracing::field::debug);
            tracing::debug!(
                target: "attempt", request = id.0, attempt = number, backend = backend.0, refusal, has_expired,
                "attempt not sent: refused or expired"
            );
            return self.end_attempt(AttemptEndReport {
                request_closed,
                ..AttemptEndReport::not_sent(attempt, backend)
            });
        }
        if !self.ensure_descriptor_available(backend) {
            tracing::debug!(
                target: "attempt", request = id.0, attempt = number, backend = backend.0,
                "attempt not sent: no file descriptor available"
            );
            return self.end_attempt(AttemptEndReport::not_sent(attempt, backend));
        }
        self.assign_last_attempt(attempt);
    }

    /// Ends an attempt of a request that was already removed. Only the gateway is notified, since no entry is
    /// left to log, count or audit.
    ///
    /// This occurs when several requests are closed at once, as at the reply deadline of the shutdown: when
    /// the gateway handles the first `RequestClosed` event, it may send an attempt of another request that is
    /// already closed. A request from the gateway's queue has had no attempt, so the number of this one is 0.
    /// For a hedged request, 0 is the number of the attempt that has just ended: the gateway ignores this end
    /// and counts the hedge as in flight. The wrong count is harmless, since the process exits within
    /// `EXIT_MARGIN` of `shutdown.rs`.
    fn end_attempt_of_removed_request(&mut self, id: RequestId, backend: BackendId) {
        let attempt = AttemptId { request: id, number: 0 };
        let end = AttemptEndReport { request_closed: true, ..AttemptEndReport::not_sent(attempt, backend) };
        self.pending_events.push_back(end.into());
    }

    /// Assigns a request's last attempt to a connection and writes as much of the command as the socket
    /// accepts.
    fn assign_last_attempt(&mut self, attempt_id: AttemptId) {
        let Some(request) = self.requests.get_mut(attempt_id.request) else { return };
        let (command, Some(attempt)) = (&request.command, request.attempts.last_mut()) else { return };
        // The exact time: by the gateway's time, a reply within the same tick would have taken no time.
        attempt.started_at = self.clock.now();
        let timeout = attempt.expires_at.duration_since(attempt.started_at);
        let stated = StatedTimeout { stated_at: attempt.started_at, timeout };
        let encode = |buffer: &mut Vec<u8>| command.encode(timeout, buffer);
        let assigned = self.backend_connections.assign(
            self.poll.registry(),
            attempt.backend,
            attempt_id,
            stated,
            encode,
        );
        if let Some(assigned) = assigned {
            tracing::debug!(
                target: "attempt",
                request = attempt_id.request.0,
                attempt = attempt_id.number,
                backend = attempt.backend.0,
                connection = assigned.connection.serial(),
                command = ?assigned.command,
                time_left_ms = timeout.as_millis(),
                "attempt started"
            );
            attempt.connection = Some(assigned.connection);
            self.timers.schedule(attempt.expires_at, Timer::AttemptTimeout(attempt_id));
            if assigned.command == CommandState::Incomplete {
                let timer = Timer::ConnectTimeout(assigned.connection, attempt_id);
                self.timers.schedule(attempt.begins_by, timer);
            }
        }
        self.record_begun_attempts();
    }

    /// Returns whether a descriptor is available for an attempt at a backend. Closes an idle connection if
    /// the limit is reached.
    fn ensure_descriptor_available(&mut self, backend: BackendId) -> bool {
        !self.backend_connections.needs_connection(backend, self.clock.now())
            || self.descriptors.ensure_capacity_for_backend(
                &mut self.clients,
                &mut self.backend_connections,
                self.now,
            )
    }

    /// Records the end of an attempt, and replies to the request if the attempt was served.
    pub(super) fn complete(&mut self, completion: ExchangeCompletion) {
        let ExchangeCompletion { attempt, backend, outcome, started_at, reported_queue_depth, value } =
            completion;
        let elapsed = self.clock.now().duration_since(started_at);
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(id) else { return };
        if let Some(ended) = request.attempts.get_mut(usize::from(attempt.number)) {
            ended.connection = None;
        }
        if outcome == Outcome::Ok {
            self.reply(id, value, Answer::Served); // Ignored if the request is closed.
        }
        let request_closed = !self.requests.is_open(id);
        self.end_attempt(AttemptEndReport {
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
        self.cancel_attempt(attempt, BackendCloseReason::TimedOut, timeout_outcome);
    }

    /// Ends an attempt that is in flight and closes its connection for `reason`. The outcome may depend on
    /// how much of the command was sent.
    pub(super) fn cancel_attempt(
        &mut self,
        attempt_id: AttemptId,
        reason: BackendCloseReason,
        outcome: impl Fn(CommandState) -> Outcome,
    ) {
        let Some(request) = self.requests.get_mut(attempt_id.request) else { return };
        let request_closed = request.closed;
        let Some(attempt) = request.attempts.get_mut(usize::from(attempt_id.number)) else { return };
        let Some(connection) = attempt.connection else { return };
        let Some(command) = self.backend_connections.cancel(connection, attempt_id, reason) else { return };
        attempt.connection = None;
        let end = AttemptEndReport {
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

    /// Logs, counts and audits the end of an attempt, and reports it to the gateway.
    fn end_attempt(&mut self, end: AttemptEndReport) {
        tracing::debug!(
            target: "attempt",
            request = end.attempt.request.0,
            attempt = end.attempt.number,
            backend = end.backend.0,
            outcome = ?end.outcome,
            elapsed_ms = end.elapsed.as_millis_f64(),
            "attempt ended"
        );
        self.counters.record_outcome(end.outcome);
        self.record_attempt_end(end.attempt, end.outcome);
        self.pending_events.push_back(end.into());
    }

    /// Ends the attempts of a closed request whose commands are not completely written, even where the
    /// settings forbid cancellation: a backend that did not receive the complete command does not execute it.
    pub(super) fn cancel_incomplete(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.closed) else { return };
        let mut ended = Vec::new();
        for (number, attempt) in (0u16..).zip(&mut request.attempts) {
            let incomplete = attempt
                .connection
                .filter(|connection| self.backend_connections.has_incomplete_command(*connection));
            let Some(connection) = incomplete else { continue };
            let attempt_id = AttemptId { request: id, number };
            self.backend_connections.cancel(connection, attempt_id, BackendCloseReason::RequestClosed);
            attempt.connection = None;
            let elapsed = self.clock.now().duration_since(attempt.started_at);
            let not_sent = AttemptEndReport::not_sent(attempt_id, attempt.backend);
            ended.push(AttemptEndReport { elapsed, request_closed: true, ..not_sent });
        }
        for end in ended {
            self.end_attempt(end);
        }
    }

    /// Encodes the command on a connection again if none of it is written yet, or ends its attempt if the
    /// first byte may no longer be written.
    ///
    /// The command's timeout was computed when connecting began, up to a connect timeout ago. A delayed event
    /// loop handles the writable socket before the timers that would end the attempt, and the backend would
    /// work on a request whose client has timed out. So the exact time is checked before the first byte.
    pub(super) fn prepare_to_write(&mut self, key: usize) {
        let Some(attempt_id) = self.backend_connections.unwritten_attempt(key) else { return };
        let Some(request) = self.requests.get(attempt_id.request) else { return };
        let Some(attempt) = request.attempts.get(usize::from(attempt_id.number)) else { return };
        let now = self.clock.now().max(self.now);
        let AttemptEntry { expires_at, begins_by, .. } = *attempt;
        let context = WriteContext { now, expires_at, begins_by, closed: request.closed };
        if let Err(refusal) = may_begin_writing(&context) {
            return self.refuse_to_write(attempt_id, refusal);
        }
        let timeout = expires_at.duration_since(now);
        let stated = StatedTimeout { stated_at: now, timeout };
        self.backend_connections
            .rewrite_command(key, stated, |buffer| request.command.encode(timeout, buffer));
    }

    /// Ends an attempt whose first byte may no longer be written.
    fn refuse_to_write(&mut self, attempt: AttemptId, refusal: WriteRefusal) {
        let (request, number) = (attempt.request.0, attempt.number);
        tracing::debug!(
            target: "attempt", request, attempt = number, ?refusal,
            "attempt not sent: command may no longer be written"
        );
        let outcome = match refusal {
            // A closed request is not a failure of the backend.
            WriteRefusal::Closed => Outcome::NotSent,
            WriteRefusal::Expired | WriteRefusal::ConnectedTooLate => Outcome::ConnectFailed,
        };
        self.cancel_attempt(attempt, BackendCloseReason::WriteRefused, |_| outcome);
    }
}
