//! The requesting side of grants: requests that wait for one, and the handling of the owners' answers.

use super::shortages::is_recent;
use super::{Customer, QuotaManager};
use crate::gossip::{wrap_total, wrapping_delta, QuotaGrant};
use crate::{CustomerId, Duration, Instant, Plan, Request, RequestId};

/// Maximum time that a request waits for a grant, and the age up to which later requests share a grant
/// request.
const MAX_GRANT_WAIT: Duration = Duration::from_millis(100);
/// Divisor of a request's latency objective or time left that gives its longest wait for a grant; the rest
/// is left for its attempts.
const GRANT_WAIT_DIVISOR: u64 = 5;
/// Maximum rate of grant requests for one customer, as a fraction of the rate of messages that an owner can
/// receive. Further grant requests are skipped.
const MAX_GRANT_REQUEST_SHARE: f64 = 0.25;
/// Maximum time between a request for units of the hard limit and their grant; a later grant is ignored.
const HARD_LIMIT_GRANT_LIFETIME: Duration = Duration::from_millis(250);

/// The limits for which a grant is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantScope {
    /// Only the quota.
    Quota,
    /// The quota, and units of the hard limit that this gateway's share lacks.
    QuotaAndHardLimit,
}

/// The time at which a grant is requested if other requests already wait for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantTiming {
    /// Immediately, because the grant requested for the others is insufficient.
    AtOnce,
    /// Only if the last grant request is older than [`MAX_GRANT_WAIT`].
    WithOthers,
}

/// The next step for a request that waits for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantRequestStep {
    /// A grant is requested now.
    RequestGrant,
    /// The request waits for the answer to a recent grant request, which applies to it, too.
    AwaitAnswer,
}

/// The progress of a grant request, by the answers of the granters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantAnswers {
    /// All granters have answered, or no grant was requested.
    Complete,
    /// The wait timed out. The decision is the same as for [`GrantAnswers::Complete`].
    TimedOut,
    /// Another granter may still grant what the first ones refused.
    Outstanding,
}

/// The requests to which an owner's answer applies.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct AnsweredRequests {
    /// Requests that wait for the grant.
    pub waiting: Vec<RequestId>,
    pub answers: GrantAnswers,
}

/// The last grant request that was sent to a customer's owners, and the requests that wait for it.
#[derive(Default)]
pub(super) struct GrantRequest {
    pub requested_at: Option<Instant>,
    pub units: f64,
    /// Whether units of the hard limit are requested, too.
    pub needs_hard_limit: bool,
    /// Owners that have answered.
    pub answered_by: Vec<u16>,
    /// Whether an owner is presumed to have charged the units, because its answer shows that the quota allows
    /// them.
    pub charged_by_owner: bool,
    pub waiting: Vec<RequestId>,
}

impl GrantRequest {
    /// Starts a new grant request, without answers. The waiting requests remain.
    fn start(&mut self, now: Instant, units: f64, scope: GrantScope) {
        self.requested_at = Some(now);
        self.units = units;
        self.needs_hard_limit = scope == GrantScope::QuotaAndHardLimit;
        self.answered_by.clear();
    }
}

/// Returns the time that a request may wait for a grant, starting at `from`: a fifth of its latency objective
/// or of the time until its deadline, whichever is shorter, and at most [`MAX_GRANT_WAIT`].
pub(crate) fn grant_wait(from: Instant, deadline: Instant, latency_objective: Duration) -> Duration {
    let left = deadline.duration_since(from).min(latency_objective);
    MAX_GRANT_WAIT.min(left / GRANT_WAIT_DIVISOR)
}

impl QuotaManager {
    /// Adds a request to those that wait for a grant, and returns whether a grant has to be requested now.
    pub(crate) fn await_grant(
        &mut self,
        now: Instant,
        request: &Request,
        scope: GrantScope,
        timing: GrantTiming,
    ) -> GrantRequestStep {
        let Some(customer) = self.customers.get_mut(&request.customer) else {
            return GrantRequestStep::AwaitAnswer;
        };
        let grant_request = &mut customer.grant_request;
        grant_request.waiting.push(request.id);
        let is_first = grant_request.waiting.len() == 1;
        let is_old = grant_request
            .requested_at
            .is_none_or(|requested_at| now.duration_since(requested_at) > MAX_GRANT_WAIT);
        if !is_first && !is_old && timing == GrantTiming::WithOthers {
            return GrantRequestStep::AwaitAnswer;
        }
        grant_request.start(now, request.units, scope);
        GrantRequestStep::RequestGrant
    }

    /// Removes a request from those that wait for a grant. When none is left, granted units of the hard limit
    /// expire.
    pub(crate) fn stop_awaiting_grant(&mut self, customer: CustomerId, id: RequestId) {
        let Some(customer) = self.customers.get_mut(&customer) else { return };
        customer.grant_request.waiting.retain(|waiting| *waiting != id);
        if customer.grant_request.waiting.is_empty() {
            customer.hard_limit.granted = 0.0;
        }
    }

    /// Returns whether a request is rejected without a grant request, because the rate of grant requests for
    /// its customer would make the owner lose other messages. `draw`, from 0 to 1, selects the requests whose
    /// grant request is skipped.
    pub(crate) fn skips_grant_request(&self, now: Instant, customer: CustomerId, draw: f64) -> bool {
        let Some(customer) = self.customers.get(&customer) else { return false };
        let has_concurrency_quota = self.settings.plans[customer.plan].concurrency_quota > 0;
        let max_request_rate = MAX_GRANT_REQUEST_SHARE * self.settings.peer_messages_per_second;
        self.settings.ownership.limits_grant_requests()
            && has_concurrency_quota
            && !customer.role.is_owner()
            && customer.answered_at.is_some_and(|answered_at| is_recent(now, answered_at))
            && draw * customer.remote.rate() > max_request_rate
    }

    /// Applies an owner's answer, a grant or a refusal. Returns the requests that wait for it, or `None` if
    /// the sender does not own the customer's quota.
    pub(crate) fn on_grant(
        &mut self,
        now: Instant,
        from: u16,
        grant: &QuotaGrant,
    ) -> Option<AnsweredRequests> {
        let own_id = self.settings.own_id;
        let (customer, plan) = self.refill(grant.customer, now)?;
        if !customer.quota_owners.contains(&from) {
            return None;
        }
        if !customer.role.is_owner() {
            customer.apply_grant(plan, grant, now);
        }
        customer.grant_request.answered_by.push(from);
        // Granted units are for the waiting requests: accepting them later would exceed the hard limit.
        let requested_at = customer.grant_request.requested_at;
        if requested_at.is_some_and(|at| now.duration_since(at) < HARD_LIMIT_GRANT_LIFETIME) {
            customer.hard_limit.granted += grant.hard_limit_grant;
        }
        let answers = if customer.all_granters_answered(own_id) {
            GrantAnswers::Complete
        } else {
            GrantAnswers::Outstanding
        };
        let presumed_granted = (!customer.role.is_owner()).then_some(customer.grant_request.charged_by_owner);
        tracing::debug!(
            target: "policy", customer = grant.customer.0, from, presumed_granted, tokens = grant.tokens,
            remote_in_flight = grant.remote_in_flight, hard_limit_units = grant.hard_limit_grant, ?answers,
            "quota answer received"
        );
        Some(AnsweredRequests { waiting: customer.grant_request.waiting.clone(), answers })
    }
}

impl Customer {
    /// Sets the bucket to the owner's level, less the usage that has not been reported to the owner yet.
    fn apply_grant(&mut self, plan: &Plan, grant: &QuotaGrant, now: Instant) {
        self.remote.replace(grant.remote_rate, u32::from(grant.remote_in_flight));
        self.answered_at = Some(now);
        let unreported_units = wrapping_delta(grant.receiver_total, wrap_total(self.total_units));
        self.bucket.set(grant.tokens - unreported_units);
        // An owner charges units when it grants them, so that they need not be reported again.
        let had_tokens = plan.burst <= 0.0 || grant.tokens >= self.grant_request.units;
        let in_flight = self.remote.in_flight() + self.in_flight;
        let had_concurrency = plan.concurrency_quota == 0 || in_flight < plan.concurrency_quota;
        self.grant_request.charged_by_owner = had_tokens && had_concurrency;
    }

    /// Returns whether every granter to which this gateway can send a request has answered.
    fn all_granters_answered(&self, own_id: u16) -> bool {
        let has_answered = |granter: &u16| self.grant_request.answered_by.contains(granter);
        let can_receive_request = |granter: &u16| *granter != own_id && self.quota_owners.contains(granter);
        self.granters.iter().all(|granter| !can_receive_request(granter) || has_answered(granter))
    }
}

#[cfg(test)]
mod tests;
