//! Further attempts: the retry budget, idempotency, and hedged requests.

use super::outlier_detection::SilenceVerdict;
use super::permissions::{may_repeat_key, may_start_attempt, AttemptFacts};
use crate::state::{RequestState, RetryBudget, RetryScope};
use crate::{Action, Gateway, Idempotency, RequestId};

/// Share of the useful duration after which an attempt at a silent backend is retried elsewhere.
pub(crate) const SILENCE_SHARE: f64 = 0.35;
/// The same at a backend that answers others.
const HEDGE_SHARE: f64 = 0.6;
/// Further attempts per first attempt: retries cannot feed an overload.
const RETRY_RATIO: f64 = 0.1;
/// Retries that may be saved up, over all gateways.
const FLEET_RETRY_BURST: f64 = 40.0;
/// The least of them at one gateway.
const MIN_RETRY_BURST: f64 = 2.0;
/// The most of them at one gateway.
const MAX_RETRY_BURST: f64 = 10.0;

/// Retries that one gateway may save up: what all save up comes at once when backends slow down.
pub(crate) fn retry_budget(fleet_size: u64) -> RetryBudget {
    let burst = (FLEET_RETRY_BURST / fleet_size as f64).clamp(MIN_RETRY_BURST, MAX_RETRY_BURST);
    RetryBudget::new(burst, RETRY_RATIO)
}

impl Gateway {
    /// Sends a further attempt, where the class, the time and the budget allow one.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let allowed = self.may_retry(id) && self.retry_budget.allows_retry();
        let sent = allowed && self.send_attempt(id, actions);
        if sent {
            self.retry_budget.withdraw();
        }
        sent
    }

    /// Whether a further attempt is safe, could still be in time, and is within the limits.
    fn may_retry(&self, id: RequestId) -> bool {
        let Some(state) = self.requests.get(id) else { return false };
        let class = self.class_of(&state.request);
        let objective_ends_at = state.arrived_at + class.latency_objective;
        let useful = self.now + self.settings.tick < objective_ends_at.min(state.request.deadline);
        let permission = may_start_attempt(&self.attempt_facts(state));
        tracing::debug!(target: "policy", request = id.0, useful, ?permission, "retry considered");
        useful && permission.is_ok()
    }

    /// What permissions are asked by for a request.
    fn attempt_facts(&self, state: &RequestState) -> AttemptFacts {
        AttemptFacts {
            idempotency: self.class_of(&state.request).idempotency,
            hedging: self.settings.limits.hedging,
            max_attempts: self.settings.limits.max_attempts as usize,
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

    /// Retries where an attempt's backend is silent, or hedges where an answer is late.
    fn check_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        let limits = &self.settings.limits;
        let Some(state) = self.requests.get_mut(id) else { return };
        if state.answered || state.streaming {
            return;
        }
        let class_index = usize::from(state.request.class);
        let class = &self.settings.classes[class_index];
        let useful_duration = state.useful_duration(class.latency_objective);
        let Some(attempt) = state.latest_attempt_in_flight() else { return };
        let (backend_id, sent_at) = (attempt.endpoint.backend, attempt.sent_at);
        let Some(backend) = self.backends.get_mut(backend_id) else { return };
        let silence = backend.health.check_silence(class_index, sent_at, now);
        let silent = silence.is_silent();
        let hedge_at = sent_at + useful_duration.mul_f64(HEDGE_SHARE);
        if !silent && now < hedge_at {
            return self.requests.check_at(hedge_at, id);
        }
        let may_repeat = class.idempotency != Idempotency::NonIdempotent;
        let resend = may_repeat && (silent || self.load_shedder.is_idle());
        let instead = silent && !limits.hedging && limits.cancellation && self.retry_budget.allows_retry();
        if resend && instead {
            state.cancel_attempts(None, true, actions);
        }
        if let SilenceVerdict::Silent { ejection: Some(ejection) } = silence {
            self.on_silence_ejection(backend_id, class_index, ejection);
        }
        if resend && self.settings.limits.hedging {
            self.retry(id, actions);
        }
    }

    /// Where the next attempt of a request may go; none if an idempotency key may be forgotten by then.
    pub(crate) fn retry_scope(&self, state: &RequestState) -> Option<RetryScope> {
        let Idempotency::Keyed { scope, window } = self.class_of(&state.request).idempotency else {
            return Some(RetryScope::Anywhere);
        };
        let Some(first) = state.first_possibly_executed() else { return Some(RetryScope::Anywhere) };
        // An attempt begins once its connection is up: by then, too, the window has to be open.
        let latest = self.now + self.settings.tick + self.settings.limits.connect_timeout;
        may_repeat_key(window, first.sent_at, latest).ok()?;
        Some(RetryScope::Within(scope, first.endpoint))
    }
}
