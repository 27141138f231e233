//! Requests for grants: who waits for one, when it is asked for, and what a grant means to those that wait.

use super::shortages::is_recent;
use super::{Customer, QuotaManager};
use crate::gossip::{wrap_total, wrapping_delta, QuotaGrant};
use crate::{CustomerId, Duration, Instant, Plan, Request, RequestId};

/// The longest wait for a grant, and the time after which one that others wait for is requested again.
const MAX_GRANT_WAIT: Duration = Duration::from_millis(100);
/// A request waits for a grant for a fifth of its time at most: the rest is for its attempts.
const GRANT_WAIT_DIVISOR: u64 = 5;
/// Share of an owner's messages that requests for grants on one customer may be; others are skipped.
const MAX_GRANT_REQUEST_SHARE: f64 = 0.25;
/// Units of the hard limit that are granted later than this after the request for them lapse.
const HARD_LIMIT_GRANT_LIFETIME: Duration = Duration::from_millis(250);

/// What a request for a grant has to cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantScope {
    /// The quota alone.
    Quota,
    /// Units of the hard limit, too: this gateway's share lacks them.
    QuotaAndHardLimit,
}

/// When a grant is requested where others wait for one already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantTiming {
    /// At once: what was requested for the others is not enough.
    AtOnce,
    /// Only if the last request for one is old.
    WithOthers,
}

/// Whether a request that waits needs a new request for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantRequestStep {
    /// A grant is to be requested now.
    RequestGrant,
    /// One was requested a short time ago, and the answer stands for this request, too.
    AwaitAnswer,
}

/// Whether further answers to a request for a grant may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantAnswers {
    /// All have come, or none was requested.
    Complete,
    /// None is waited for any longer. It decides like [`GrantAnswers::Complete`].
    TimedOut,
    /// Another owner may still grant what this one did not have.
    Outstanding,
}

/// The requests that an answer of an owner is for.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct AnsweredRequests {
    /// The requests that wait.
    pub waiting: Vec<RequestId>,
    /// Whether further answers may come.
    pub answers: GrantAnswers,
}

/// What was last asked of a customer's owners, and which requests wait for the answer.
#[derive(Default)]
pub(super) struct GrantRequest {
    /// When the grant was requested.
    pub requested_at: Option<Instant>,
    /// The units that it is requested for.
    pub units: f64,
    /// Whether this gateway's share of the hard limit lacks them, too.
    pub needs_hard_limit: bool,
    /// The owners that have answered.
    pub answered_by: Vec<u16>,
    /// Whether an owner has charged the units already.
    pub charged_by_owner: bool,
    /// The requests that wait for the grant.
    pub waiting: Vec<RequestId>,
}

impl GrantRequest {
    /// Begins a new request for a grant, which nobody has answered.
    fn start(&mut self, now: Instant, units: f64, scope: GrantScope) {
        self.requested_at = Some(now);
        self.units = units;
        self.needs_hard_limit = scope == GrantScope::QuotaAndHardLimit;
        self.answered_by.clear();
    }
}

/// How long a request may wait for a grant from a time on: as long as a fifth of its latency objective,
/// or of the time until its deadline, and never longer than [`MAX_GRANT_WAIT`].
pub(crate) fn grant_wait(from: Instant, deadline: Instant, latency_objective: Duration) -> Duration {
    let left = deadline.duration_since(from).min(latency_objective);
    MAX_GRANT_WAIT.min(left / GRANT_WAIT_DIVISOR)
}

impl QuotaManager {
    /// Has a request wait for a grant, and tells whether one has to be requested now.
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

    /// Ends the wait of a request for a grant. What was granted of the hard limit lapses with the last one.
    pub(crate) fn stop_awaiting_grant(&mut self, customer: CustomerId, id: RequestId) {
        let Some(customer) = self.customers.get_mut(&customer) else { return };
        customer.grant_request.waiting.retain(|waiting| *waiting != id);
        if customer.grant_request.waiting.is_empty() {
            customer.hard_limit.granted = 0.0;
        }
    }

    /// Whether a request is rejected without asking for a grant, because requests for grants on its customer
    /// are so many that its owner would lose other messages. `draw`, from 0 to 1, chooses which of them are
    /// skipped.
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

    /// Handles an owner's answer, which grants or refuses; none if the sender is no owner of the quota.
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
        // Units of the hard limit are for a request that waits: kept longer, they would overfill the bucket.
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
    /// Sets the bucket to what an owner says, less the usage that the owner cannot know of yet.
    fn apply_grant(&mut self, plan: &Plan, grant: &QuotaGrant, now: Instant) {
        self.remote.replace(grant.remote_rate, u32::from(grant.remote_in_flight));
        self.answered_at = Some(now);
        let unreported_units = wrapping_delta(grant.receiver_total, wrap_total(self.total_units));
        self.bucket.set(grant.tokens - unreported_units);
        // What the owner granted it has charged, too: it need not be reported again.
        let had_tokens = plan.burst <= 0.0 || grant.tokens >= self.grant_request.units;
        let in_flight = self.remote.in_flight() + self.in_flight;
        let had_concurrency = plan.concurrency_quota == 0 || in_flight < plan.concurrency_quota;
        self.grant_request.charged_by_owner = had_tokens && had_concurrency;
    }

    /// Whether each granter that this gateway can ask has answered its request.
    fn all_granters_answered(&self, own_id: u16) -> bool {
        let has_answered = |granter: &u16| self.grant_request.answered_by.contains(granter);
        let can_be_asked = |granter: &u16| *granter != own_id && self.quota_owners.contains(granter);
        self.granters.iter().all(|granter| !can_be_asked(granter) || has_answered(granter))
    }
}

#[cfg(test)]
mod tests;
