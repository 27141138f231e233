//! Tracks attempts from start to end, and carries out the decisions of the retry policy on late and failed
//! attempts.

use crate::policy::permissions::KeyExpired;
use crate::policy::quota::ReportPurpose;
use crate::policy::{
    AttemptCheck, AttemptCheckContext, ExecutedAttempt, RejectReason, RetryContext, RetryScope, SilenceCheck,
};
use crate::state::RequestState;
use crate::{Action, AttemptEnded, BackendId, CustomerId, Gateway, Outcome, RequestId};

/// Effects of an attempt's end on its request, backend and customer.
struct AttemptEndEffects {
    backend: BackendId,
    customer: CustomerId,
    /// Whether the request has its final answer or its client has disconnected.
    request_closed: bool,
    /// Whether no other attempt of the request is in flight.
    was_last_in_flight: bool,
    /// Whether the customer's usage has to be reported to the owners of its quota.
    usage_changed: bool,
}

impl Gateway {
    /// Records the end of an attempt, and retries or answers its request if no other attempt is in flight.
    pub(crate) fn on_attempt_ended(&mut self, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        if let Some(class) = self.requests.get(ended.id).map(|state| usize::from(state.request.class)) {
            self.record_outcome(ended, class);
        }
        self.record_queue_depth(ended);
        let Some(effects) = self.end_attempt(ended) else { return };
        if effects.request_closed {
            self.close_request(ended.id, actions);
        } else if effects.was_last_in_flight && !self.retry(ended.id, actions) {
            self.reject_or_fail(ended.id, RejectReason::AttemptsExhausted, actions);
        }
        self.backends.remove_if_drained(effects.backend);
        if effects.usage_changed {
            self.queue_usage_report(effects.customer, ReportPurpose::Usage, actions);
        }
        self.send_queued_requests(actions);
    }

    /// Handles the first byte of a streamed answer: cancels the other attempts of the request, since this one
    /// serves the client.
    pub(crate) fn on_first_byte(&mut self, id: RequestId, attempt: u16, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get_mut(id) else { return };
        if self.settings.limits.cancellation {
            state.cancel_attempts(Some(attempt), actions);
        }
        state.streaming = true;
    }

    /// Records that an attempt of a request is sent to a backend.
    pub(crate) fn begin_attempt(&mut self, id: RequestId, backend: BackendId) {
        let Some(state) = self.requests.get_mut(id) else { return };
        let Some(backend) = self.backends.get_mut(backend) else { return };
        state.begin_attempt(backend.endpoint, self.now);
        backend.begin_attempt(self.now, self.settings.rules.overload_window);
        self.quota.begin_attempt(state.request.customer);
        self.requests.in_flight += 1;
    }

    /// Records the queue depth that a backend reported with the end of an attempt.
    fn record_queue_depth(&mut self, ended: &AttemptEnded) {
        let Some(depth) = ended.reported_queue_depth else { return };
        let Some(backend) = self.backends.get_mut(ended.backend) else { return };
        backend.reported_queue.report(depth, self.now);
    }

    /// Updates the records of the request, backend and customer at the end of an attempt. Returns `None` if
    /// the attempt was not in flight.
    fn end_attempt(&mut self, ended: &AttemptEnded) -> Option<AttemptEndEffects> {
        let state = self.requests.get_mut(ended.id)?;
        let endpoint = state.end_attempt(ended.attempt, ended.outcome)?;
        state.closed |= ended.request_closed || ended.outcome == Outcome::Ok;
        let (request, request_closed) = (state.request, state.closed);
        let was_last_in_flight = state.attempts_in_flight() == 0;
        self.requests.in_flight = self.requests.in_flight.saturating_sub(1);
        if let Some(backend) = self.backends.get_mut(endpoint.backend) {
            backend.end_attempt();
        }
        let charged_units = ended.charged_units.filter(|_| self.settings.postpaid);
        let correction_units = charged_units.map_or(0.0, |units| units - request.units);
        let usage_changed = self.quota.end_attempt(request.customer, correction_units);
        Some(AttemptEndEffects {
            backend: endpoint.backend,
            customer: request.customer,
            request_closed,
            was_last_in_flight,
            usage_changed,
        })
    }

    /// Sends a further attempt of a request, a retry or hedge, if the retry policy permits one and a backend
    /// is available. Returns whether one was sent.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(state) = self.requests.get(id) else { return false };
        let permission = self.retry_policy.may_retry(&self.retry_context(state));
        tracing::debug!(target: "policy", request = id.0, ?permission, "retry considered");
        let is_sent = permission.is_ok() && self.send_attempt(id, actions);
        if is_sent {
            self.retry_policy.record_retry();
        }
        is_sent
    }

    /// Collects the inputs of the retry policy for a request.
    fn retry_context(&self, state: &RequestState) -> RetryContext {
        let class = self.class_of(&state.request);
        RetryContext {
            now: self.now,
            answer_due_at: (state.arrived_at + class.latency_objective).min(state.request.deadline),
            idempotency: class.idempotency,
            attempts: state.attempts.len(),
            in_flight: state.attempts_in_flight(),
            may_have_executed: state.first_possibly_executed().is_some(),
            closed: state.closed,
        }
    }

    /// Checks all requests whose scheduled check is due.
    pub(crate) fn check_due_requests(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.requests.pop_due(self.now) {
            self.check_request(id, actions);
        }
    }

    /// Checks a request that awaits a grant, or whose attempt may be silent or late.
    fn check_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(id).is_some_and(|state| state.awaiting_grant) {
            self.check_awaited_grant(id, actions);
        } else {
            self.check_attempt(id, actions);
        }
    }

    /// Hedges a late attempt or cancels it, so that its end causes a retry, and ejects a silent backend.
    fn check_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(state) = self.requests.get_mut(id).filter(|state| !state.closed && !state.streaming) else {
            return;
        };
        let class_index = usize::from(state.request.class);
        let class = &self.settings.classes[class_index];
        let Some((number, attempt)) = state.latest_attempt_in_flight() else { return };
        let (backend_id, sent_at) = (attempt.endpoint.backend, attempt.sent_at);
        let Some(backend) = self.backends.get_mut(backend_id) else { return };
        let silence = backend.health.eject_if_silent(class_index, sent_at, now);
        let check = self.retry_policy.check_attempt(&AttemptCheckContext {
            now,
            sent_at,
            latency_budget: state.latency_budget(class.latency_objective),
            is_silent: silence.is_silent(),
            is_shedding: !self.load_shedder.is_idle(),
            idempotency: class.idempotency,
        });
        match check {
            AttemptCheck::CheckAt(check_at) => return self.requests.schedule_check(check_at, id),
            AttemptCheck::CancelAndRetry => state.cancel_attempts(None, actions),
            AttemptCheck::Hedge | AttemptCheck::KeepWaiting => {}
        }
        tracing::debug!(
            target: "policy", request = id.0, attempt = number, backend = backend_id.0, class = class_index,
            age_ms = now.duration_since(sent_at).as_millis(), is_silent = silence.is_silent(),
            decision = ?check, "unanswered attempt checked"
        );
        if let SilenceCheck::Silent { ejection: Some(ejection) } = silence {
            self.on_silence_ejection(backend_id, class_index, ejection);
        }
        if check == AttemptCheck::Hedge {
            self.retry(id, actions);
        }
    }

    /// Returns the backends that the next attempt of a request may use.
    ///
    /// # Errors
    ///
    /// Returns [`KeyExpired`] if the idempotency key of an attempt that may have been executed has expired.
    pub(crate) fn retry_scope(&self, state: &RequestState) -> Result<RetryScope, KeyExpired> {
        let executed = state
            .first_possibly_executed()
            .map(|attempt| ExecutedAttempt { sent_at: attempt.sent_at, endpoint: attempt.endpoint });
        self.retry_policy.scope(self.now, self.class_of(&state.request).idempotency, executed)
    }
}
