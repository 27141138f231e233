//! Admission control: rejects a request, lets it wait for a quota grant, or queues it for a backend.
//!
//! A request is decided in three steps: [`ValidationContext`] on arrival, [`ArrivalContext`] once its
//! customer is identified, and [`AdmissionContext`] either immediately afterwards or after the wait for a
//! grant. [`QueueContext`] limits its time in the queue.

use super::load_shedding::epoch_draw;
use super::quota::{GrantAnswers, GrantScope, GrantStatus, GrantTiming, QuotaOwnership, Shortage, Shortages};
use super::wake_up::wake_up_interval;
use super::{RejectReason, RetryAdvice};
use crate::{CustomerId, Duration, Instant, Plan, Request};

/// Maximum time in the queue, as a share of the latency budget. A request that is queued for longer would
/// be answered too late.
const MAX_QUEUE_TIME_SHARE: f64 = 0.3;
/// Queue length at which no customer may join the queue, as a share of the concurrency limit.
const MAX_QUEUE_LENGTH_SHARE: f64 = 0.3;
/// Maximum age at which a quota owner's answer without tokens still rejects requests. It may be older than
/// an answer that admits a request; otherwise each retry of a customer over its quota would request another
/// grant.
const REJECTION_FRESHNESS: Duration = Duration::from_millis(500);
/// Minimum number of wake-ups before the deadline of a waiting request; with fewer it could not be answered
/// in time.
const MIN_WAKE_UPS: u64 = 2;

/// Returns the time that must be left until the deadline for a request to wait, at a gateway with this tick.
pub(crate) fn min_time_left(tick: Duration) -> Duration {
    wake_up_interval(tick) * MIN_WAKE_UPS
}

/// Returns whether enough time is left until the deadline for a request to wait. `min_time_left` is the
/// result of [`min_time_left`].
pub(crate) fn has_time_to_wait(now: Instant, deadline: Instant, min_time_left: Duration) -> bool {
    now + min_time_left <= deadline
}

/// Input of the validation of an arriving request.
pub(crate) struct ValidationContext<'a> {
    pub now: Instant,
    pub request: &'a Request,
    /// Number of classes in the settings.
    pub class_count: usize,
    /// Number of plans in the settings.
    pub plan_count: usize,
    /// See [`min_time_left`].
    pub min_time_left: Duration,
}

impl ValidationContext<'_> {
    /// Rejects a request that is malformed or has too little time left to be answered.
    pub(crate) fn validate(&self) -> Result<(), RejectReason> {
        if !self.is_valid() {
            return Err(RejectReason::Invalid);
        }
        if !has_time_to_wait(self.now, self.request.deadline, self.min_time_left) {
            return Err(RejectReason::NoTime);
        }
        Ok(())
    }

    /// Returns whether the class and the plan exist and the number of units is finite and not negative.
    fn is_valid(&self) -> bool {
        let known_class = usize::from(self.request.class) < self.class_count;
        let known_plan = usize::from(self.request.plan) < self.plan_count;
        known_class && known_plan && self.request.units.is_finite() && self.request.units >= 0.0
    }
}

/// Returns whether a request claims a plan with a hard limit that is not the plan in its customer's record.
/// Either the plan has changed and the change has not reached this gateway yet, or the client tries to
/// bypass the limit.
pub(crate) fn has_plan_mismatch(plans: &[Plan], claimed_plan: u16, recorded_plan: u16) -> bool {
    let has_hard_limit = plans[usize::from(claimed_plan)].hard_limit_rate > 0.0;
    has_hard_limit && recorded_plan != claimed_plan
}

/// Input of the decision on a request whose customer is identified.
pub(crate) struct ArrivalContext<'a> {
    pub now: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// See [`min_time_left`].
    pub min_time_left: Duration,
    pub plan: &'a Plan,
    /// Limits of the customer's plan that do not allow the request, by the usage recorded at this gateway.
    pub shortages: Shortages,
    /// State of the grants for the customer.
    pub grant: GrantStatus,
    /// Mode in which the fleet assigns quota owners.
    pub ownership: QuotaOwnership,
}

/// Decision on a request whose customer is identified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ArrivalDecision {
    /// Admission is decided now, by the usage recorded at this gateway: either that is sufficient, or the
    /// request has no time to wait for a grant.
    DecideNow,
    /// The request waits for a grant.
    AwaitGrant {
        /// Limits that the grant has to cover.
        scope: GrantScope,
        /// When the grant is requested if other requests already wait for one.
        timing: GrantTiming,
    },
}

impl ArrivalContext<'_> {
    /// Decides whether the request waits for a grant, and for which limits.
    pub(crate) fn decide(&self) -> ArrivalDecision {
        let needs_hard_limit = self.shortages.hard_limit.is_some();
        let lacks_hard_limit_alone = needs_hard_limit && self.shortages.quota.is_none();
        let needs_grant_request = lacks_hard_limit_alone && self.grant.has_other_granter;
        let can_wait = has_time_to_wait(self.now, self.deadline, self.min_time_left);
        if !can_wait || (self.is_quota_known() && !needs_grant_request) {
            return ArrivalDecision::DecideNow;
        }
        ArrivalDecision::AwaitGrant {
            scope: if needs_hard_limit { GrantScope::QuotaAndHardLimit } else { GrantScope::Quota },
            timing: if needs_grant_request { GrantTiming::AtOnce } else { GrantTiming::WithOthers },
        }
    }

    /// Returns whether usage is counted at this gateway or a quota owner's answer is recent enough to decide
    /// by.
    fn is_quota_known(&self) -> bool {
        let is_over_rate_quota = self.shortages.quota.is_some() && self.plan.concurrency_quota == 0;
        let freshness =
            if is_over_rate_quota { REJECTION_FRESHNESS } else { self.ownership.grant_freshness() };
        self.grant.is_quota_owner || self.grant.answer_age.is_some_and(|age| age < freshness)
    }
}

/// Input of the decision to admit a request.
pub(crate) struct AdmissionContext {
    pub now: Instant,
    pub customer: CustomerId,
    /// Limit of the customer's plan that does not allow the request.
    pub shortage: Option<Shortage>,
    /// Whether answers to the grant request are outstanding.
    pub answers: GrantAnswers,
    /// Number of attempts of this gateway in flight.
    pub in_flight: u32,
    /// Number of requests that wait for a backend.
    pub queue_length: usize,
    /// Maximum number of attempts that this gateway may have in flight.
    pub concurrency_limit: f64,
}

/// Decision to admit, delay or reject a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// The request is charged to the quota and queued for a backend.
    Admit,
    /// The request waits for the answer of another quota owner.
    KeepWaiting,
    /// The request is rejected.
    Reject {
        reason: RejectReason,
        /// When the client is advised to retry.
        advice: RetryAdvice,
    },
}

impl AdmissionContext {
    /// Decides whether the request is admitted, rejected, or waits for further grant answers.
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

    /// Returns whether the queue accepts no further request of this customer. The share of customers that
    /// may join falls as the queue grows. The same customers are rejected for a whole shedding epoch: if each
    /// request were drawn separately, the retries of rejected clients would be admitted, too late to be of
    /// use.
    fn is_queue_full_for_customer(&self) -> bool {
        let queue_fill = self.queue_length as f64 / (self.concurrency_limit * MAX_QUEUE_LENGTH_SHARE);
        let is_saturated = f64::from(self.in_flight) >= self.concurrency_limit;
        is_saturated && epoch_draw(self.now, self.customer) >= 1.0 - queue_fill
    }
}

/// Input of the limit on a request's time in the queue.
pub(crate) struct QueueContext {
    pub now: Instant,
    pub arrived_at: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Time from arrival within which an answer earns its full weight.
    pub latency_budget: Duration,
    /// See [`min_time_left`].
    pub min_time_left: Duration,
}

impl QueueContext {
    /// Returns whether the request has been queued for the maximum time or has too little time left to
    /// wait.
    pub(crate) fn is_overdue(&self) -> bool {
        let queued_until = self.arrived_at + self.latency_budget.mul_f64(MAX_QUEUE_TIME_SHARE);
        self.now > queued_until || !has_time_to_wait(self.now, self.deadline, self.min_time_left)
    }
}

#[cfg(test)]
mod tests;
