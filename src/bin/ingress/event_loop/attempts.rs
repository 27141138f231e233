//! Attempts: how they begin on a connection to a backend, and how they end.

use super::client_events::Answer;
use super::request_entries::AttemptEntry;
use super::timer_queue::Timer;
use super::EventLoop;
use crate::backends::{AttemptId, BackendCloseReason, CommandState, ExchangeCompletion, StatedTimeout};
use ingress::permissions::{may_begin_writing, WriteContext, WriteRefusal};
use ingress::{AttemptEnded, BackendId, Duration, Event, Instant, Outcome, RequestId};

/// The end of an attempt, as it is logged, counted, audited and reported to the gateway.
struct AttemptEndReport {
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

impl AttemptEndReport {
    /// An attempt of an open request that was not sent.
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

/// The outcome of an attempt that timed out: only a backend that has the complete command may have executed
/// it.
fn timeout_outcome(command: CommandState) -> Outcome {
    match command {
        CommandState::Sent => Outcome::TimedOut,
        CommandState::Incomplete => Outcome::ConnectFailed,
    }
}

impl EventLoop {
    /// Begins an attempt if the request may have one, and there are time and a connection for it.
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
        // The exact time: the loop may have been delayed since it read its clock, and the client have given
        // up.
        let has_expired = expires_at <= self.clock.now().max(self.now);
        if refusal.is_some() || has_expired {
            let refusal = refusal.map(tracing::field::debug);
            tracing::debug!(
                target: "attempt", request = id.0, attempt = number, backend = backend.0, refusal, has_expired,
                "not permitted"
            );
            return self.end_attempt(AttemptEndReport {
                request_closed,
                ..AttemptEndReport::not_sent(attempt, backend)
            });
        }
        if !self.reserve_descriptor(backend) {
            tracing::debug!(
                target: "attempt", request = id.0, attempt = number, backend = backend.0, "no descriptor"
            );
            return self.end_attempt(AttemptEndReport::not_sent(attempt, backend));
        }
        self.assign_last_attempt(attempt);
    }

    /// Ends an attempt of a request that has ended and been removed: there is nothing to log, count or audit.
    ///
    /// This occurs where several requests are closed before the gateway handles the first of these events, as
    /// at the shutdown's reply deadline, and it sends another of them meanwhile. One from its queue has had no
    /// attempt, so that 0 is its number. For a hedged one 0 is the attempt that has just ended: the gateway
    /// ignores this end and takes the hedge for in flight from then on, which matters little since the process
    /// ends within `EXIT_MARGIN`.
    fn end_attempt_of_removed_request(&mut self, id: RequestId, backend: BackendId) {
        let attempt = AttemptId { request: id, number: 0 };
        let end = AttemptEndReport { request_closed: true, ..AttemptEndReport::not_sent(attempt, backend) };
        self.pending_events.push_back(end.into());
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
                "started"
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

    /// Whether there is a descriptor for an attempt at a backend, if need be after closing an idle
    /// connection.
    fn reserve_descriptor(&mut self, backend: BackendId) -> bool {
        !self.backend_connections.needs_connection(backend, self.clock.now())
            || self.descriptors.reserve_for_backend(
                &mut self.clients,
                &mut self.backend_connections,
                self.now,
            )
    }

    /// Records how an attempt has ended, and replies to the request if the attempt was served.
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
            self.reply(id, &value, Answer::Served); // Only the first one becomes the final reply.
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

    /// Ends an attempt that is in flight and closes its connection for `reason`; its outcome may depend on
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
            "ended"
        );
        self.counters.record_outcome(end.outcome);
        self.record_attempt_end(end.attempt, end.outcome);
        self.pending_events.push_back(end.into());
    }

    /// Ends the attempts of a closed request whose commands are not completely written. This is done even
    /// where the settings allow no cancellation: a backend that never received the complete command has
    /// nothing to cancel.
    pub(super) fn cancel_incomplete(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.closed) else { return };
        let mut ended = Vec::new();
        for (number, attempt) in (0u16..).zip(&mut request.attempts) {
            let incomplete =
                attempt.connection.filter(|connection| self.backend_connections.is_incomplete(*connection));
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

    /// Encodes the command on a connection anew if nothing of it is written yet, or ends its attempt if it
    /// may not begin any more.
    ///
    /// Without this a backend would work for a client that has given up. The timeout in the command was true
    /// when the connection was begun, up to a connect timeout ago, and a loop that was delayed writes before
    /// it runs the timers that would have ended the attempt. So the exact clock decides here, before the
    /// first byte.
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

    /// Ends an attempt whose first byte may not be written any more.
    fn refuse_to_write(&mut self, attempt: AttemptId, refusal: WriteRefusal) {
        let (request, number) = (attempt.request.0, attempt.number);
        tracing::debug!(target: "attempt", request, attempt = number, ?refusal, "not begun");
        let outcome = match refusal {
            // That the request is closed is no failure of the backend's.
            WriteRefusal::Closed => Outcome::NotSent,
            WriteRefusal::Expired | WriteRefusal::ConnectedTooLate => Outcome::ConnectFailed,
        };
        self.cancel_attempt(attempt, BackendCloseReason::WriteRefused, |_| outcome);
    }
}
