//! Admission: whether a request is rejected at once, waits for a quota grant, or is queued for a backend.
//!
//! A request is decided in three steps: [`ScreeningContext`] when it comes, [`ArrivalContext`] once its customer
//! is known, and [`AdmissionContext`] then or after its wait for a grant. [`QueueContext`] end its time in the
//! queue.

use super::load_shedding::epoch_draw;
use super::quota::{GrantAnswers, GrantScope, GrantStatus, GrantTiming, QuotaOwnership, Shortage, Shortages};
use super::wake_up::wake_up_interval;
use super::{RejectReason, RetryAdvice};
use crate::{CustomerId, Duration, Instant, Plan, Request};

/// Share of the latency budget that a request may be queued for; queued longer it would fail late.
const MAX_QUEUE_TIME_SHARE: f64 = 0.3;
/// Length of the queue, as a share of the concurrency limit, at which no customer may join it any more.
const MAX_QUEUE_LENGTH_SHARE: f64 = 0.3;
/// Age up to which a grant by which there were no tokens stands for further requests. A no may rest on an
/// older grant than a yes: otherwise the retries of a customer over its quota would request grants without
/// end.
const REJECTION_FRESHNESS: Duration = Duration::from_millis(500);
/// Wake-ups that have to be left to a request that waits: with less it could not be answered in time.
const MIN_WAKE_UPS: u64 = 2;

/// The time that has to be left to a request for it to wait, at a gateway with this tick.
pub(crate) fn min_queue_time(tick: Duration) -> Duration {
    wake_up_interval(tick) * MIN_WAKE_UPS
}

/// Whether the time until a deadline is enough for a request to wait. `min_queue_time` is that of
/// [`min_queue_time`].
pub(crate) fn has_time_to_wait(now: Instant, deadline: Instant, min_queue_time: Duration) -> bool {
    now + min_queue_time <= deadline
}

/// What a request is screened by as it comes.
pub(crate) struct ScreeningContext<'a> {
    /// The time.
    pub now: Instant,
    /// The request.
    pub request: &'a Request,
    /// How many classes the settings name.
    pub class_count: usize,
    /// How many plans the settings name.
    pub plan_count: usize,
    /// See [`min_queue_time`].
    pub min_queue_time: Duration,
}

impl ScreeningContext<'_> {
    /// Whether the request can be handled at all.
    pub(crate) fn screen(&self) -> Result<(), RejectReason> {
        if !self.is_valid() {
            return Err(RejectReason::Invalid);
        }
        if !has_time_to_wait(self.now, self.request.deadline, self.min_queue_time) {
            return Err(RejectReason::NoTime);
        }
        Ok(())
    }

    /// Whether the request names a class and a plan that there are, and a sensible number of units.
    fn is_valid(&self) -> bool {
        let known_class = usize::from(self.request.class) < self.class_count;
        let known_plan = usize::from(self.request.plan) < self.plan_count;
        known_class && known_plan && self.request.units.is_finite() && self.request.units >= 0.0
    }
}

/// Whether a request names a plan with a hard limit that is not the plan of its customer's record: after a
/// change of plan that is not known here yet, or to bypass the limit.
pub(crate) fn has_plan_mismatch(plans: &[Plan], claimed_plan: u16, recorded_plan: u16) -> bool {
    let has_hard_limit = plans[usize::from(claimed_plan)].hard_limit_rate > 0.0;
    has_hard_limit && recorded_plan != claimed_plan
}

/// What a new request's way is chosen by.
pub(crate) struct ArrivalContext<'a> {
    /// The time.
    pub now: Instant,
    /// By when the request has to be answered.
    pub deadline: Instant,
    /// See [`min_queue_time`].
    pub min_queue_time: Duration,
    /// The customer's plan.
    pub plan: &'a Plan,
    /// The limits that the request would have to wait for, as far as known here.
    pub shortages: Shortages,
    /// What is known of the grants for the customer.
    pub grant: GrantStatus,
    /// Which gateways own the quota.
    pub ownership: QuotaOwnership,
}

/// The way of a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ArrivalDecision {
    /// It is decided now: by what is known here, or because it has no time to wait for more.
    DecideNow,
    /// It waits for a grant.
    AwaitGrant {
        /// What the grant has to cover.
        scope: GrantScope,
        /// When it is requested where others wait for one already.
        timing: GrantTiming,
    },
}

impl ArrivalContext<'_> {
    /// Decides whether the request has to wait for a grant.
    pub(crate) fn decide(&self) -> ArrivalDecision {
        let needs_hard_limit = self.shortages.hard_limit.is_some();
        let lacks_hard_limit_alone = needs_hard_limit && self.shortages.quota.is_none();
        let needs_grant_request = lacks_hard_limit_alone && self.grant.has_other_granter;
        let can_wait = has_time_to_wait(self.now, self.deadline, self.min_queue_time);
        if !can_wait || (self.is_quota_known() && !needs_grant_request) {
            return ArrivalDecision::DecideNow;
        }
        ArrivalDecision::AwaitGrant {
            scope: if needs_hard_limit { GrantScope::QuotaAndHardLimit } else { GrantScope::Quota },
            timing: if needs_grant_request { GrantTiming::AtOnce } else { GrantTiming::WithOthers },
        }
    }

    /// Whether the quota is counted here, or a grant is recent enough to decide by.
    fn is_quota_known(&self) -> bool {
        let is_over_rate_quota = self.shortages.quota.is_some() && self.plan.concurrency_quota == 0;
        let freshness =
            if is_over_rate_quota { REJECTION_FRESHNESS } else { self.ownership.grant_freshness() };
        self.grant.is_quota_owner || self.grant.answer_age.is_some_and(|age| age < freshness)
    }
}

/// What decides whether a request is admitted.
pub(crate) struct AdmissionContext {
    /// The time.
    pub now: Instant,
    /// Whose request it is.
    pub customer: CustomerId,
    /// The limit of the customer's plan that does not allow it now.
    pub shortage: Option<Shortage>,
    /// Whether further answers to a request for a grant may come.
    pub answers: GrantAnswers,
    /// Attempts of this gateway in flight.
    pub in_flight: u32,
    /// Requests that wait for a backend.
    pub queue_length: usize,
    /// Attempts that this gateway may have in flight.
    pub concurrency_limit: f64,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// It is charged, and queued for a backend.
    Admit,
    /// It waits for the answer of another owner.
    KeepWaiting,
    /// It is rejected.
    Reject {
        /// Why.
        reason: RejectReason,
        /// When the client is advised to come again.
        advice: RetryAdvice,
    },
}

impl AdmissionContext {
    /// Decides whether the request is admitted.
    pub(crate) fn decide(&self) -> AdmissionDecision {
        match self.shortage {
            Some(_) if self.answers == GrantAnswers::Outstanding => AdmissionDecision::KeepWaiting,
            Some(shortage) => AdmissionDecision::Reject {
                reason: shortage.limit.reject_reason(),
                advice: RetryAdvice::After(Duration::from_secs_f64(shortage.seconds)),
            },
            None if self.is_queue_full_for_customer() => {
                AdmissionDecision::Reject { reason: RejectReason::Saturated, advice: RetryAdvice::Longest }
            }
            None => AdmissionDecision::Admit,
        }
    }

    /// Whether the queue has no place for the customer. The fuller it is, the fewer customers may join it;
    /// the same ones for a shedding epoch, since their retries would come too late to be of use.
    fn is_queue_full_for_customer(&self) -> bool {
        let queue_fill = self.queue_length as f64 / (self.concurrency_limit * MAX_QUEUE_LENGTH_SHARE);
        let is_saturated = f64::from(self.in_flight) >= self.concurrency_limit;
        is_saturated && epoch_draw(self.now, self.customer) >= 1.0 - queue_fill
    }
}

/// What ends a request's time in the queue.
pub(crate) struct QueueContext {
    /// The time.
    pub now: Instant,
    /// When the request came.
    pub arrived_at: Instant,
    /// By when the request has to be answered.
    pub deadline: Instant,
    /// The time from the arrival within which an answer earns its full weight.
    pub latency_budget: Duration,
    /// See [`min_queue_time`].
    pub min_queue_time: Duration,
}

impl QueueContext {
    /// Whether the request has been queued for as long as it may be, or has no time left to wait.
    pub(crate) fn is_overdue(&self) -> bool {
        let queued_until = self.arrived_at + self.latency_budget.mul_f64(MAX_QUEUE_TIME_SHARE);
        self.now > queued_until || !has_time_to_wait(self.now, self.deadline, self.min_queue_time)
    }
}

#[cfg(test)]
mod tests;
