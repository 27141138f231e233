//! The conductor's part in further attempts: it gathers the facts for the retry policy, and carries out its
//! decisions.

use crate::gateway::Gateway;
use crate::policy::{
    AttemptCheck, AttemptCheckFacts, ExecutedAttempt, FinalAnswer, RejectReason, RetryFacts, RetryPolicy,
    RetryScope, SilenceVerdict, NOT_SERVED_RETRY_AFTER,
};
use crate::state::RequestState;
use crate::{Action, RequestId};

impl Gateway {
    /// Sends a further attempt of a request, if the retry policy allows one and a backend may take it;
    /// returns whether one was sent.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(state) = self.requests.get(id) else { return false };
        let permission = self.retry_policy.may_retry(&self.retry_facts(state));
        tracing::debug!(target: "policy", request = id.0, ?permission, "retry considered");
        let is_sent = permission.is_ok() && self.send_attempt(id, actions);
        if is_sent {
            self.retry_policy.record_retry();
        }
        is_sent
    }

    /// What the retry policy is asked by for a request.
    fn retry_facts(&self, state: &RequestState) -> RetryFacts {
        let class = self.class_of(&state.request);
        RetryFacts {
            now: self.now,
            in_time_until: (state.arrived_at + class.latency_objective).min(state.request.deadline),
            idempotency: class.idempotency,
            attempts: state.attempts.len(),
            in_flight: state.attempts_in_flight(),
            may_have_executed: state.first_possibly_executed().is_some(),
            answered: state.answered,
        }
    }

    /// Looks again at a request that awaits a grant, or whose attempt may be silent or late.
    pub(crate) fn check_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(id).is_some_and(|state| state.awaiting_grant) {
            self.check_awaited_grant(id, actions);
        } else {
            self.check_attempt(id, actions);
        }
    }

    /// Hedges or cancels an attempt that is late, and ejects a backend that is silent.
    fn check_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(state) = self.requests.get_mut(id).filter(|state| !state.answered && !state.streaming)
        else {
            return;
        };
        let class_index = usize::from(state.request.class);
        let class = &self.settings.classes[class_index];
        let Some(attempt) = state.latest_attempt_in_flight() else { return };
        let (backend_id, sent_at) = (attempt.endpoint.backend, attempt.sent_at);
        let Some(backend) = self.backends.get_mut(backend_id) else { return };
        let silence = backend.health.check_silence(class_index, sent_at, now);
        let check = self.retry_policy.check_attempt(&AttemptCheckFacts {
            now,
            sent_at,
            latency_budget: state.useful_duration(class.latency_objective),
            is_silent: silence.is_silent(),
            is_shedding: !self.load_shedder.is_idle(),
            idempotency: class.idempotency,
        });
        match check {
            AttemptCheck::CheckAt(check_at) => return self.requests.check_at(check_at, id),
            AttemptCheck::CancelAndRetry => state.cancel_attempts(None, true, actions),
            AttemptCheck::Hedge | AttemptCheck::KeepWaiting => {}
        }
        if let SilenceVerdict::Silent { ejection: Some(ejection) } = silence {
            self.on_silence_ejection(backend_id, class_index, ejection);
        }
        if check == AttemptCheck::Hedge {
            self.retry(id, actions);
        }
    }

    /// Where the next attempt of a request may go; none if an idempotency key may be forgotten by then.
    pub(crate) fn retry_scope(&self, state: &RequestState) -> Option<RetryScope> {
        let executed = state
            .first_possibly_executed()
            .map(|attempt| ExecutedAttempt { sent_at: attempt.sent_at, endpoint: attempt.endpoint });
        self.retry_policy.scope(self.now, self.class_of(&state.request).idempotency, executed).ok()
    }

    /// Gives a request that is not served its final answer, by whether it may have been executed.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(id) else { return };
        let idempotency = self.class_of(&state.request).idempotency;
        match RetryPolicy::final_answer(idempotency, state.first_possibly_executed().is_some()) {
            FinalAnswer::Rejected => {
                self.reject(id, RejectReason::NotServed, NOT_SERVED_RETRY_AFTER, actions);
            }
            FinalAnswer::Failed => {
                tracing::debug!(target: "policy", request = id.0, "failed");
                actions.push(Action::Fail(id));
            }
        }
        self.close_request(id, actions);
    }
}
