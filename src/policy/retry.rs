//! Retry policy: decides whether a request is retried, hedged or cancelled, which backends its next attempt
//! may use, and whether a request that is not served is rejected or failed.
//!
//! [`permission`] decides which attempts are safe. This module decides which of them are useful and within
//! the retry budget.

mod budget;
pub(crate) mod permission;
mod scope;

pub(crate) use scope::RetryScope;

use super::load_shedding::MIN_STAGE_TIME_UP;
use crate::{Duration, Endpoint, Idempotency, IdempotencyScope, Instant, Limits, Settings};
use budget::RetryBudget;
use permission::{
    may_repeat_key, may_start_attempt, AttemptContext, AttemptKind, AttemptRefusal, KeyExpired,
};
use thiserror::Error;

/// Time after the send, as a share of the request's latency budget, at which an attempt at a silent backend
/// is hedged or cancelled.
const SILENCE_CHECK_SHARE: f64 = 0.35;
/// Time after the send, as a share of the request's latency budget, at which an attempt is late at a
/// backend that answers other attempts.
const LATE_ATTEMPT_SHARE: f64 = 0.6;

/// Time after which a client whose request was not served is advised to retry; the shedding stage may have
/// risen by then.
pub(crate) const NOT_SERVED_RETRY_AFTER: Duration = MIN_STAGE_TIME_UP;

/// Input of the decision on a further attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryContext {
    pub now: Instant,
    /// The earlier of the end of the latency objective and the client's deadline.
    pub answer_due_at: Instant,
    /// Whether and where the request may be executed again.
    pub idempotency: Idempotency,
    /// Number of attempts so far.
    pub attempts: usize,
    /// Attempts that are in flight.
    pub in_flight: usize,
    /// Whether an attempt was executed or may have been executed.
    pub may_have_executed: bool,
    /// Whether the request has its final answer or its client has disconnected.
    pub closed: bool,
}

/// Reason why a request is not attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum RetryRefusal {
    /// The answer would arrive after the latency objective or the deadline.
    #[error("the answer to a retry would be too late")]
    TooLate,
    /// Another attempt is unsafe or not allowed by the settings.
    #[error(transparent)]
    NotPermitted(#[from] AttemptRefusal),
    /// The retry budget of this gateway is exhausted.
    #[error("the retry budget is exhausted")]
    BudgetExhausted,
}

/// Input of the check of an attempt that is in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptCheckContext {
    pub now: Instant,
    pub sent_at: Instant,
    /// Time from the request's arrival within which an answer earns its full weight. The attempt is checked
    /// at shares of this time after its own send, even if it is a retry.
    pub latency_budget: Duration,
    /// Whether the backend has answered no attempt of the class since this one was sent.
    pub is_silent: bool,
    /// Whether load is shed; an attempt that is late but not silent is not repeated then.
    pub is_shedding: bool,
    /// Whether and where the request may be executed again.
    pub idempotency: Idempotency,
}

/// Decision on an attempt that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptCheck {
    /// The attempt is not late yet and is checked again at this time.
    CheckAt(Instant),
    /// Another attempt is sent while this one stays in flight, if [`RetryPolicy::may_retry`] allows it.
    Hedge,
    /// The attempt is cancelled; its end triggers a retry.
    CancelAndRetry,
    /// The attempt is not checked again and ends with its answer or its timeout.
    KeepWaiting,
}

/// Answer to a request that is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalAnswer {
    /// The request is rejected: the client may send it again without a second effect.
    Rejected,
    /// The request failed: it may have been executed.
    Failed,
}

/// The first attempt of a request that was executed or may have been executed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExecutedAttempt {
    pub sent_at: Instant,
    pub endpoint: Endpoint,
}

/// Decides on further attempts within the retry budget.
#[derive(Default)]
pub(crate) struct RetryPolicy {
    /// Limits from the settings.
    limits: Limits,
    /// Minimum time between two checks of a request.
    tick: Duration,
    budget: RetryBudget,
}

impl RetryPolicy {
    /// Creates the policy of one gateway in a fleet of `fleet_size`.
    pub(crate) fn new(settings: &Settings, fleet_size: u64) -> Self {
        RetryPolicy {
            limits: settings.limits.clone(),
            tick: settings.tick,
            budget: RetryBudget::new(fleet_size),
        }
    }

    /// Records that a request's first attempt was sent.
    pub(crate) fn record_first_attempt(&mut self) {
        self.budget.deposit();
    }

    /// Records that a retry or a hedged request was sent.
    pub(crate) fn record_retry(&mut self) {
        self.budget.withdraw();
    }

    /// Returns the kind of the next attempt if it is safe, in time, and within the retry budget.
    pub(crate) fn may_retry(&self, context: &RetryContext) -> Result<AttemptKind, RetryRefusal> {
        if context.now + self.tick >= context.answer_due_at {
            return Err(RetryRefusal::TooLate);
        }
        let kind = may_start_attempt(&AttemptContext {
            idempotency: context.idempotency,
            hedging: self.limits.hedging,
            max_attempts: self.limits.max_attempts as usize,
            attempts: context.attempts,
            in_flight: context.in_flight,
            may_have_executed: context.may_have_executed,
            closed: context.closed,
        })?;
        if !self.budget.allows_retry() {
            return Err(RetryRefusal::BudgetExhausted);
        }
        Ok(kind)
    }

    /// Returns the time of the first check of an attempt sent at `sent_at`.
    pub(crate) fn first_check_at(sent_at: Instant, latency_budget: Duration) -> Instant {
        sent_at + latency_budget.mul_f64(SILENCE_CHECK_SHARE)
    }

    /// Decides on an attempt that has no answer yet.
    pub(crate) fn check_attempt(&self, context: &AttemptCheckContext) -> AttemptCheck {
        let late_at = context.sent_at + context.latency_budget.mul_f64(LATE_ATTEMPT_SHARE);
        if !context.is_silent && context.now < late_at {
            return AttemptCheck::CheckAt(late_at);
        }
        // Under overload many answers are late, and repeating them would add to the overload.
        let is_repeated = context.is_silent || !context.is_shedding;
        if context.idempotency == Idempotency::NonIdempotent || !is_repeated {
            return AttemptCheck::KeepWaiting;
        }
        if self.limits.hedging {
            return AttemptCheck::Hedge;
        }
        let may_cancel = self.limits.cancellation && self.budget.allows_retry();
        if context.is_silent && may_cancel {
            AttemptCheck::CancelAndRetry
        } else {
            AttemptCheck::KeepWaiting
        }
    }

    /// Returns the backends that a request's next attempt may use if it is sent now. `executed` is its
    /// first attempt that was executed or may have been executed.
    ///
    /// # Errors
    ///
    /// Returns [`KeyExpired`] if the backends may have dropped the idempotency key before the attempt
    /// begins.
    pub(crate) fn scope(
        &self,
        now: Instant,
        idempotency: Idempotency,
        executed: Option<ExecutedAttempt>,
    ) -> Result<RetryScope, KeyExpired> {
        let (Idempotency::Keyed { scope, window }, Some(executed)) = (idempotency, executed) else {
            return Ok(RetryScope::Anywhere);
        };
        // An attempt begins once its connection is established, and the key must still be stored at that
        // time. The host lets an attempt begin up to the connect timeout after it received the action
        // (`WriteContext::begins_by`), which may be one tick after this decision.
        let begins_by = now + self.tick + self.limits.connect_timeout;
        may_repeat_key(window, executed.sent_at, begins_by)?;
        Ok(RetryScope::Within(scope, executed.endpoint))
    }

    /// Returns how a request that is not served is answered: rejected if its client may repeat it without a
    /// second effect, otherwise failed.
    pub(crate) fn final_answer(idempotency: Idempotency, may_have_executed: bool) -> FinalAnswer {
        let is_safe_to_repeat = match idempotency {
            Idempotency::Idempotent => true,
            // The client's next request may reach any backend, so all backends have to share the key.
            Idempotency::Keyed { scope, .. } => scope == IdempotencyScope::Fleet,
            Idempotency::NonIdempotent => false,
        };
        if may_have_executed && !is_safe_to_repeat {
            FinalAnswer::Failed
        } else {
            FinalAnswer::Rejected
        }
    }
}

#[cfg(test)]
mod tests;
