//! Sends attempts to the backends that the load balancer chooses, and records them.

use crate::policy::permissions::KeyExpired;
use crate::policy::{attempt_expiry, ChoiceContext, ExpiryContext, NoBackend, RetryPolicy};
use crate::state::RequestState;
use crate::{Action, BackendId, Gateway, Instant, RequestId};

impl Gateway {
    /// Sends a request's next attempt. Returns `false` if no backend is available now.
    pub(crate) fn send_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let seed = self.next_seed();
        let Some(state) = self.requests.get(id) else { return false };
        let backend = match self.choose_backend(state, seed) {
            Ok(backend) => backend,
            Err(reason) => {
                tracing::debug!(target: "policy", request = id.0, ?reason, "no backend chosen");
                return false;
            }
        };
        let objective = self.class_of(&state.request).latency_objective;
        let check_at = RetryPolicy::first_check_at(self.now, state.latency_budget(objective));
        let expires_at = self.attempt_expiry(state);
        if state.attempts.is_empty() {
            self.retry_policy.record_first_attempt();
        }
        self.requests.schedule_check(check_at, id);
        self.load_balancer.record_send(self.now);
        self.begin_attempt(id, backend);
        actions.push(Action::Send { id, backend, expires_at });
        true
    }

    /// Chooses a backend for a request's next attempt.
    ///
    /// # Errors
    ///
    /// Returns the reason why no backend is available.
    fn choose_backend(&self, state: &RequestState, seed: u64) -> Result<BackendId, NoBackend> {
        let scope = self.retry_scope(state).map_err(|KeyExpired| NoBackend::KeyExpired)?;
        self.load_balancer.choose(&ChoiceContext {
            now: self.now,
            seed,
            class: state.request.class.into(),
            attempts: &state.attempts,
            scope: &scope,
            backends: &self.backends,
            outlier_detector: &self.outlier_detector,
        })
    }

    /// Returns the time at which an attempt that is sent now expires; `None` for the client's deadline.
    fn attempt_expiry(&self, state: &RequestState) -> Option<Instant> {
        attempt_expiry(&ExpiryContext {
            now: self.now,
            arrived_at: state.arrived_at,
            class: self.class_of(&state.request),
            has_concurrency_quota: self.plan_of(&state.request).concurrency_quota > 0,
            expires_attempts_at_latency_objective: self
                .quota
                .ownership()
                .expires_attempts_at_latency_objective(),
            tick: self.settings.tick,
        })
    }
}
