//! The retry policy: whether a request is attempted again, hedged or cancelled, where that may go, and how a
//! request that is not served is answered.
//!
//! What is safe is decided by [`permission`]; what is of use, and what the retry budget allows, is decided
//! here.

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

/// Time from the send of an attempt, as a share of its request's latency budget, after which it is given up
/// on at a silent backend.
const SILENCE_CHECK_SHARE: f64 = 0.35;
/// The same after which an attempt is late at a backend that answers others.
const LATE_ATTEMPT_SHARE: f64 = 0.6;

/// How long a client whose request was not served is asked to stay away: the shedding stage may have risen by
/// then.
pub(crate) const NOT_SERVED_RETRY_AFTER: Duration = MIN_STAGE_TIME_UP;

/// What decides on a further attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryContext {
    /// The time.
    pub now: Instant,
    /// When the latency objective or the client's time ends, whichever comes first.
    pub answer_due_at: Instant,
    /// Whether the request may be executed again.
    pub idempotency: Idempotency,
    /// Its attempts so far.
    pub attempts: usize,
    /// Those of them that are in flight.
    pub in_flight: usize,
    /// Whether one of them was or may have been executed.
    pub may_have_executed: bool,
    /// It has its final answer, or its client has disconnected.
    pub closed: bool,
}

/// Why a request is not attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum RetryRefusal {
    /// An answer could not be in time any more.
    #[error("an answer would come too late")]
    TooLate,
    /// Another attempt is not safe, or not allowed.
    #[error(transparent)]
    NotPermitted(#[from] AttemptRefusal),
    /// The gateway has sent as many retries as it may.
    #[error("the retry budget is used up")]
    BudgetExhausted,
}

/// What decides on an attempt that is in flight for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptCheckContext {
    /// The time.
    pub now: Instant,
    /// When the attempt was sent.
    pub sent_at: Instant,
    /// The time from the request's arrival within which an answer is in time. The shares of it count from the
    /// send, also for a retry.
    pub latency_budget: Duration,
    /// Whether the backend has answered no attempt of the class since this one was sent.
    pub is_silent: bool,
    /// Whether load is shed: an attempt that is merely late is then not repeated.
    pub is_shedding: bool,
    /// Whether the request may be executed again.
    pub idempotency: Idempotency,
}

/// What is done about an attempt that is in flight for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptCheck {
    /// It is not late yet: it is checked again at this time.
    CheckAt(Instant),
    /// Another attempt is sent beside it, if [`RetryPolicy::may_retry`] allows one.
    Hedge,
    /// It is cancelled; its end has the request attempted again.
    CancelAndRetry,
    /// It is left alone to the end.
    KeepWaiting,
}

/// How a request that is not served is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalAnswer {
    /// Rejected: sending it again has no further effect.
    Rejected,
    /// Failed: it may have been executed.
    Failed,
}

/// The first attempt of a request that was or may have been executed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExecutedAttempt {
    /// When it was sent.
    pub sent_at: Instant,
    /// Where it went.
    pub endpoint: Endpoint,
}

/// Decides on further attempts. It owns the retry budget.
#[derive(Default)]
pub(crate) struct RetryPolicy {
    /// What the deployment permits.
    limits: Limits,
    /// The least time between two looks at a request.
    tick: Duration,
    /// Retries that may still be sent.
    budget: RetryBudget,
}

impl RetryPolicy {
    /// The policy of one of so many gateways.
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

    /// Whether a request may be attempted again: safely, in time, and within the retry budget.
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

    /// When an attempt that is sent now is checked for the first time.
    pub(crate) fn first_check_at(sent_at: Instant, latency_budget: Duration) -> Instant {
        sent_at + latency_budget.mul_f64(SILENCE_CHECK_SHARE)
    }

    /// What is done about an attempt that has no answer yet.
    pub(crate) fn check_attempt(&self, context: &AttemptCheckContext) -> AttemptCheck {
        let late_at = context.sent_at + context.latency_budget.mul_f64(LATE_ATTEMPT_SHARE);
        if !context.is_silent && context.now < late_at {
            return AttemptCheck::CheckAt(late_at);
        }
        // Under overload many answers are late: retries of them would add to it.
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

    /// Where a request's next attempt may go, if it is sent now; `executed` is its first attempt that was or
    /// may have been executed.
    ///
    /// # Errors
    ///
    /// If the backends may have forgotten the idempotency key before the attempt could begin.
    pub(crate) fn scope(
        &self,
        now: Instant,
        idempotency: Idempotency,
        executed: Option<ExecutedAttempt>,
    ) -> Result<RetryScope, KeyExpired> {
        let (Idempotency::Keyed { scope, window }, Some(executed)) = (idempotency, executed) else {
            return Ok(RetryScope::Anywhere);
        };
        // An attempt begins once its connection is up: by then, too, the key has to be known. The host lets
        // it begin up to the connect timeout after it was given the action (`WriteContext::begins_by`), and may
        // be given that a tick after this decision.
        let begins_by = now + self.tick + self.limits.connect_timeout;
        may_repeat_key(window, executed.sent_at, begins_by)?;
        Ok(RetryScope::Within(scope, executed.endpoint))
    }

    /// How a request that is not served is answered: rejected where its client may send it again without a
    /// second effect, else failed.
    pub(crate) fn final_answer(idempotency: Idempotency, may_have_executed: bool) -> FinalAnswer {
        let is_safe_to_repeat = match idempotency {
            Idempotency::Idempotent => true,
            // The next request of the client may reach any backend: each of them has to know the key.
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
