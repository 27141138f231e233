//! Checks of requests against the limits of their customer's plan.
//!
//! A [`Shortage`] holds a limit that does not allow a request now, and the time until it may allow it.

use super::{time_to_refill, Customer, QuotaManager, QuotaOwnership};
use crate::policy::RejectReason;
use crate::state::{unit_draw, Salt, MICROS_PER_SECOND};
use crate::{CustomerId, Duration, Instant, Plan, Request};

/// Time for which an owner's answer, a grant or a refusal, is valid unless a newer one replaces it. The
/// customer is admitted afterwards: most customers are within their quotas, and a large fleet that loses
/// messages would otherwise reject them all.
pub(super) const GRANT_LIFETIME: Duration = Duration::from_secs(2);
/// Minimum units per attempt in the estimate of peers' attempts from their unreported units.
const MIN_UNITS_PER_ATTEMPT: f64 = 0.1;
/// Salt of a gateway's start time, in microseconds, in the draws for its requests, so that the draws of
/// different gateways are independent.
const START_SALT: Salt = Salt::from_bit(24);

/// The cause of a shortage: a limit of the customer's plan, or unknown usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaLimit {
    /// The quota on the rate of units.
    Rate,
    /// The quota on attempts in flight.
    Concurrency,
    /// The usage under a quota on attempts in flight is unknown: the owners have not answered, presumably
    /// because this customer's requests overload them.
    OwnersOverloaded,
    /// The hard limit on the rate of units.
    HardLimit,
}

impl QuotaLimit {
    /// Returns the reason with which requests over this limit are rejected.
    pub(crate) fn reject_reason(self) -> RejectReason {
        match self {
            QuotaLimit::OwnersOverloaded => RejectReason::QuotaUnknown,
            QuotaLimit::Rate | QuotaLimit::Concurrency | QuotaLimit::HardLimit => RejectReason::OverQuota,
        }
    }
}

/// A limit that does not allow a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Shortage {
    /// The limit that is reached.
    pub limit: QuotaLimit,
    /// Time until the limit may allow the request, in seconds.
    pub seconds: f64,
}

/// The limits of a plan that do not allow a request now; `None` for a limit that allows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Shortages {
    /// The shortage under the quota, on the rate or on attempts in flight.
    pub quota: Option<Shortage>,
    pub hard_limit: Option<Shortage>,
}

impl Shortages {
    /// Returns the shortage that lasts longest.
    pub(crate) fn longest(self) -> Option<Shortage> {
        let longer = |one: Shortage, other: Shortage| if other.seconds > one.seconds { other } else { one };
        self.quota.into_iter().chain(self.hard_limit).reduce(longer)
    }
}

/// Inputs of the check of a request against its limits, besides the customer's record.
#[derive(Clone, Copy)]
pub(crate) struct ShortageContext<'a> {
    pub now: Instant,
    /// The request, with the plan from its customer's record.
    pub request: &'a Request,
    /// Response time of the request's class on unloaded backends, in seconds.
    pub answer_seconds: f64,
}

impl QuotaManager {
    /// Refills the token buckets of a request's customer, and returns the limits that do not allow the
    /// request. `last_received_at` returns when a peer's last message was received, if any.
    pub(crate) fn refill_and_find_shortages(
        &mut self,
        context: &ShortageContext<'_>,
        last_received_at: impl Fn(u16) -> Option<Instant>,
    ) -> Shortages {
        let (ownership, started_at) = (self.settings.ownership, self.settings.started_at);
        let Some((customer, plan)) = self.refill(context.request.customer, context.now) else {
            return Shortages::default();
        };
        let units = context.request.units;
        let usage_known = ownership.tracks_remote_usage()
            || customer.role.is_owner()
            || customer.answered_at.is_some_and(|answered_at| is_recent(context.now, answered_at));
        let unreported_units = customer.unreported_units(ownership);
        let rate_wait = customer.rate_wait_seconds(plan, unreported_units, units).filter(|_| usage_known);
        let reached_quota = if plan.concurrency_quota == 0 {
            None
        } else if usage_known {
            let in_flight = customer.estimated_in_flight(unreported_units, units);
            (in_flight >= plan.concurrency_quota).then_some(QuotaLimit::Concurrency)
        } else {
            let is_presumed =
                customer.presumes_owners_overloaded(plan, context, started_at, last_received_at);
            is_presumed.then_some(QuotaLimit::OwnersOverloaded)
        };
        let rate = rate_wait.map(|seconds| Shortage { limit: QuotaLimit::Rate, seconds });
        let concurrency = reached_quota
            .map(|limit| Shortage { limit, seconds: rate_wait.unwrap_or(0.0).max(context.answer_seconds) });
        let hard_limit = customer.hard_limit.wait_seconds(plan, units);
        Shortages {
            quota: concurrency.or(rate),
            hard_limit: hard_limit.map(|seconds| Shortage { limit: QuotaLimit::HardLimit, seconds }),
        }
    }

    /// Returns the units in the bucket of a customer's quota as of its last refill; `None` for an unknown
    /// customer.
    pub(crate) fn tokens(&self, id: CustomerId) -> Option<f64> {
        self.customers.get(&id).map(|customer| customer.bucket.tokens())
    }

    /// Returns the attempts in flight from all gateways that count against the concurrency quota of a
    /// request's customer; `None` for an unknown customer.
    pub(crate) fn in_flight_of_customer(&self, request: &Request) -> Option<u32> {
        let customer = self.customers.get(&request.customer)?;
        let unreported_units = customer.unreported_units(self.settings.ownership);
        Some(customer.estimated_in_flight(unreported_units, request.units))
    }
}

impl Customer {
    /// Estimates the units that peers have used since their last reports.
    fn unreported_units(&self, ownership: QuotaOwnership) -> f64 {
        self.remote.rate() * ownership.unreported_time().as_micros_f64() / MICROS_PER_SECOND
    }

    /// Returns the seconds until the quota's bucket may hold a request's units, after peers' unreported usage
    /// is deducted; `None` if it holds them now, or if the plan has no quota on the rate.
    fn rate_wait_seconds(&self, plan: &Plan, unreported_units: f64, units: f64) -> Option<f64> {
        // Unreported usage is deducted up to the peers' share of the tokens.
        let tokens = self.bucket.tokens();
        let peers_tokens = tokens.max(0.0) * (1.0 - self.own_share(plan));
        let available = tokens - unreported_units.min(peers_tokens);
        time_to_refill(available, units, plan.rate).filter(|_| plan.rate > 0.0)
    }

    /// Returns the attempts in flight from all gateways, including those that peers have probably begun since
    /// their last reports. Without the estimate, all gateways of a busy customer would observe the end of the
    /// same attempt, and begin one each.
    fn estimated_in_flight(&self, unreported_units: f64, units: f64) -> u32 {
        let unreported_attempts = (unreported_units / units.max(MIN_UNITS_PER_ATTEMPT)) as u32;
        self.in_flight + self.remote.in_flight() + unreported_attempts
    }

    /// Returns whether owners that have not answered are presumed to be overloaded by this customer, which is
    /// then far over its concurrency quota.
    ///
    /// Owners that send other messages but no answer are overloaded. A silent owner may be down, so a random
    /// draw decides: the more an admission over the quota costs, the fewer requests are admitted.
    fn presumes_owners_overloaded(
        &self,
        plan: &Plan,
        context: &ShortageContext<'_>,
        started_at: Instant,
        last_received_at: impl Fn(u16) -> Option<Instant>,
    ) -> bool {
        if self.grant_request.requested_at.is_none() {
            return false;
        }
        let draw = unit_draw(context.request.id.0 ^ START_SALT.of(started_at.as_micros()));
        let is_rejected_by_draw = draw * (1.0 + plan.over_quota_cost) > 1.0;
        let is_alive = |owner: &u16| last_received_at(*owner).is_some_and(|at| is_recent(context.now, at));
        is_rejected_by_draw || self.quota_owners.iter().all(is_alive)
    }
}

/// Returns whether less than [`GRANT_LIFETIME`] has passed since a time.
pub(super) fn is_recent(now: Instant, time: Instant) -> bool {
    now.duration_since(time) < GRANT_LIFETIME
}

#[cfg(test)]
mod tests;
