//! Shortages: which limits of its customer's plan do not allow a request now, and for how long.

use super::{time_to_refill, Customer, QuotaManager, QuotaOwnership};
use crate::policy::RejectReason;
use crate::state::{unit_draw, Salt, MICROS_PER_SECOND};
use crate::{CustomerId, Duration, Instant, Plan, Request};

/// How long a grant holds where no newer one comes. After that a customer is admitted: most are inside their
/// quota, and a large fleet whose messages are lost would otherwise reject them all.
pub(super) const GRANT_LIFETIME: Duration = Duration::from_secs(2);
/// The fewest units of a request by which the attempts of peers are estimated from the units that they used.
const MIN_UNITS_PER_ATTEMPT: f64 = 0.1;
/// Mixes the start of a gateway, in microseconds, into the draws for its requests: each gateway draws by
/// itself.
const START_SALT: Salt = Salt::from_bit(24);

/// What does not allow a request now: a limit of its customer's plan, or that the usage is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaLimit {
    /// The quota on the rate of units.
    Rate,
    /// The quota on attempts in flight.
    Concurrency,
    /// No limit that is known to be reached: there is a quota on attempts in flight, its owners granted
    /// nothing, and they are presumed to be overloaded by the customer.
    OwnersOverloaded,
    /// The hard limit on the rate of units.
    HardLimit,
}

impl QuotaLimit {
    /// The reason of a rejection for it.
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
    /// The limit.
    pub limit: QuotaLimit,
    /// Seconds until it may allow the request.
    pub seconds: f64,
}

/// The limits of a plan that do not allow a request now; none of them where the limit allows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Shortages {
    /// The quota, on the rate or on attempts in flight.
    pub quota: Option<Shortage>,
    /// The hard limit.
    pub hard_limit: Option<Shortage>,
}

impl Shortages {
    /// The limit that takes longest.
    pub(crate) fn longest(self) -> Option<Shortage> {
        let longer = |one: Shortage, other: Shortage| if other.seconds > one.seconds { other } else { one };
        self.quota.into_iter().chain(self.hard_limit).reduce(longer)
    }
}

/// What the shortages of a request depend on, besides its customer's record.
#[derive(Clone, Copy)]
pub(crate) struct ShortageContext<'a> {
    /// The time.
    pub now: Instant,
    /// The request, under its customer's plan.
    pub request: &'a Request,
    /// Seconds that an answer of the request's class takes on unloaded backends.
    pub answer_seconds: f64,
}

impl QuotaManager {
    /// Refills the token buckets of a request's customer, and returns the limits that do not allow the
    /// request. `last_received_at` tells when a message of a peer last came, if ever.
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
        let usage_known = ownership.knows_usage_without_grant()
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

    /// Units in the bucket of a customer's quota, as of its last refill; none for an unknown customer.
    pub(crate) fn tokens(&self, id: CustomerId) -> Option<f64> {
        self.customers.get(&id).map(|customer| customer.bucket.tokens())
    }

    /// Attempts of a request's customer in flight from all gateways, as its concurrency quota counts them;
    /// none for an unknown customer.
    pub(crate) fn in_flight_of_customer(&self, request: &Request) -> Option<u32> {
        let customer = self.customers.get(&request.customer)?;
        let unreported_units = customer.unreported_units(self.settings.ownership);
        Some(customer.estimated_in_flight(unreported_units, request.units))
    }
}

impl Customer {
    /// Units that peers have likely used since their last reports.
    fn unreported_units(&self, ownership: QuotaOwnership) -> f64 {
        self.remote.rate() * ownership.unreported_time().as_micros_f64() / MICROS_PER_SECOND
    }

    /// Seconds until the quota's bucket may have a request's units, where peers used some unreported; none if
    /// it has them now, or if there is no quota on the rate.
    fn rate_wait_seconds(&self, plan: &Plan, unreported_units: f64, units: f64) -> Option<f64> {
        // The usage of peers is taken off, up to their share of the tokens.
        let tokens = self.bucket.tokens();
        let peers_tokens = tokens.max(0.0) * (1.0 - self.own_share(plan));
        let available = tokens - unreported_units.min(peers_tokens);
        time_to_refill(available, units, plan.rate).filter(|_| plan.rate > 0.0)
    }

    /// Attempts in flight from all gateways, with those that peers have likely begun since their last
    /// reports. Without the latter the gateways of a heavy user would all wait for the same attempt to end,
    /// and begin one each.
    fn estimated_in_flight(&self, unreported_units: f64, units: f64) -> u32 {
        let unreported_attempts = (unreported_units / units.max(MIN_UNITS_PER_ATTEMPT)) as u32;
        self.in_flight + self.remote.in_flight() + unreported_attempts
    }

    /// Whether owners that sent no grant are taken to be overloaded by a customer far beyond its concurrency
    /// quota.
    ///
    /// Owners that send other messages are overloaded. One that is silent may be down, so that a draw
    /// decides: the more a wrong admission costs, the fewer requests are admitted.
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

/// Whether a time is within the lifetime of a grant.
pub(super) fn is_recent(now: Instant, time: Instant) -> bool {
    now.duration_since(time) < GRANT_LIFETIME
}

#[cfg(test)]
mod tests;
