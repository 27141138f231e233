//! Closes requests: sends the final answer, cancels attempts in flight, and removes the record.

use crate::policy::quota::ReportPurpose;
use crate::policy::{FinalAnswer, RejectReason, RetryAdvice, RetryPolicy, NOT_SERVED_RETRY_AFTER};
use crate::{Action, Duration, Gateway, Request, RequestId};

impl Gateway {
    /// Rejects a request that is not served, or fails it if it may have been executed and a retry by the
    /// client is not safe.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, reason: RejectReason, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(id) else { return };
        let idempotency = self.class_of(&state.request).idempotency;
        match RetryPolicy::final_answer(idempotency, state.first_possibly_executed().is_some()) {
            FinalAnswer::Rejected => {
                self.push_rejection(id, reason, RetryAdvice::After(NOT_SERVED_RETRY_AFTER), actions);
            }
            FinalAnswer::Failed => {
                tracing::debug!(
                    target: "policy", request = id.0, attempts = state.attempts.len(),
                    "request failed: it may have been executed"
                );
                actions.push(Action::Fail(id));
            }
        }
        self.close_request(id, actions);
    }

    /// Appends the action that rejects a request, without closing its record. The advised retry time is at
    /// most `limits.max_retry_after`, and zero if `limits.retry_after` is not set.
    pub(crate) fn push_rejection(
        &self,
        id: RequestId,
        reason: RejectReason,
        advice: RetryAdvice,
        actions: &mut Vec<Action>,
    ) {
        let limits = &self.settings.limits;
        let max_retry_after = if limits.retry_after { limits.max_retry_after } else { Duration::ZERO };
        let retry_after = advice.retry_after(max_retry_after);
        let retry_after_ms = retry_after.as_millis_ceil();
        let state = self.requests.get(id);
        let attempts = state.map(|state| state.attempts.len());
        let age_ms = state.map(|state| self.now.duration_since(state.arrived_at).as_millis());
        tracing::debug!(
            target: "policy", request = id.0, ?reason, retry_after_ms, attempts, age_ms, "request rejected"
        );
        actions.push(Action::Reject { id, retry_after });
    }

    /// Closes a request that has its final answer, or whose client has disconnected. Its record is removed
    /// once none of its attempts is in flight.
    pub(crate) fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get_mut(id) else { return };
        state.closed = true;
        // A streaming attempt is not cancelled, since it still serves the client.
        if self.settings.limits.cancellation && !state.streaming {
            state.cancel_attempts(None, actions);
        }
        if state.attempts_in_flight() > 0 {
            return;
        }
        let request = state.request;
        let (awaited_grant, had_attempt) = (state.awaiting_grant, !state.attempts.is_empty());
        self.requests.remove(id);
        if awaited_grant {
            self.quota.stop_awaiting_grant(request.customer, id);
        } else if !had_attempt {
            self.refund_unused(&request, actions);
        }
    }

    /// Refunds the units of an admitted request for which no [`Action::Send`] was issued, and reports the
    /// refund to the quota owners. A request stays charged if the host did not execute its `Send`.
    fn refund_unused(&mut self, request: &Request, actions: &mut Vec<Action>) {
        self.quota.charge(request.customer, -request.units);
        self.queue_usage_report(request.customer, ReportPurpose::Usage, actions);
    }
}
