//! Quotas: how much each customer may use, counted over all gateways together.
//!
//! A plan has a quota, beyond which a request is not worth serving, and may have a hard limit, beyond which
//! it is not allowed. Both are token buckets in units; the quota may also be one of attempts in flight.
//! Gateways count together: which of them own a customer's quota, and what that means, is told by
//! [`QuotaOwnership`].
//!
//! | question | file |
//! | --- | --- |
//! | may this request be served, and if not, which limit says so? | `shortages.rs` |
//! | who counts a customer's usage? | `ownership.rs`, `owner_assignment.rs` |
//! | which plan does a customer have? | `identity.rs` |
//! | when are owners asked for a grant, and what does their answer mean? | `grant_request.rs` |
//! | what do owners make of a report, and what do they grant? | `usage_report.rs` |
//! | what is reported, and to whom? | `reporting.rs` |
//! | how are buckets refilled and charged? | `customer.rs`, `hard_limit.rs`, `token_bucket.rs` |
//! | what do other gateways use? | `remote_usage.rs` |
//!
//! How long an answer of an owner counts, from the shortest time to the longest:
//!
//! - `SHARED_GRANT_FRESHNESS` in `ownership.rs`: the age of a grant that stands for a further request, where
//!   all gateways are owners.
//! - `MAX_GRANT_WAIT` in `grant_request.rs`: the wait of a request for a grant, and the age of a request for
//!   one that others share.
//! - `HARD_LIMIT_GRANT_LIFETIME` in `grant_request.rs`: the time from a request for units of the hard limit
//!   to their grant.
//! - `REJECTION_FRESHNESS` in `policy/admission.rs`: the age of a grant by which a customer without tokens is
//!   rejected at once.
//! - `LEVEL_FRESHNESS` in `reporting.rs`: the age of a grant by which a reporter knows the level of a bucket.
//! - `GRANT_LIFETIME` in `shortages.rs`: the age of a grant by which the usage of others is known at all.

mod customer;
mod gateway_set;
mod grant_request;
mod hard_limit;
mod identity;
mod owner_assignment;
mod ownership;
mod remote_usage;
mod reporting;
mod settings;
pub(crate) mod shortages;
mod token_bucket;
mod usage_report;

pub(crate) use grant_request::{grant_wait, GrantAnswers, GrantRequestStep, GrantScope, GrantTiming};
pub(crate) use identity::GrantStatus;
pub(crate) use ownership::QuotaOwnership;
pub(crate) use reporting::{DecisionPoint, ReportPurpose};
pub(crate) use shortages::{Shortage, ShortageContext, Shortages};

use crate::{CustomerId, Duration, Instant, Plan, Settings};
use customer::{record_lifetime, Customer, Role};
use gateway_set::GatewaySet;
use grant_request::GrantRequest;
use hard_limit::HardLimitShare;
use identity::{IdentityClaim, InitialUsage, CUSTOMER_IDLE_TIME};
use owner_assignment::{OwnerAssignment, GRANTER_COUNT};
use remote_usage::{GatewayUsage, RemoteUsage};
use settings::QuotaSettings;
use std::collections::BTreeMap;
use token_bucket::{refill_time, time_to_refill, QuotaBucket};

/// Time constant of rates of usage: longer than pauses, shorter than shifts of load.
pub(crate) const USAGE_RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Gateways that start within this time of each other have started together, as a fleet.
pub(crate) const FLEET_START_WINDOW: Duration = Duration::from_millis(1500);
/// How often old records are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Attempts of a peer that reports nothing count as in flight for so long.
const REPORTED_IN_FLIGHT_LIFETIME: Duration = Duration::from_millis(1500);

/// From when on this gateway knows what customers used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum KnownUsage {
    /// From the beginning: all gateways started with this one, with nothing used before.
    #[default]
    Complete,
    /// From this gateway's start: others may have forwarded requests before.
    Since(Instant),
}

/// Counts what customers use, and decides what they may use.
///
/// It is told of requests, attempts, reports and grants, and asked by their context. What is to be sent to
/// peers it returns.
#[derive(Default)]
pub(crate) struct QuotaManager {
    /// The plans, and this gateway's place in the fleet.
    settings: QuotaSettings,
    /// The record of each customer seen lately.
    customers: BTreeMap<CustomerId, Customer>,
    /// From when on all usage of customers is known.
    known_usage: KnownUsage,
    /// When old records are next removed.
    next_sweep_at: Instant,
}

impl QuotaManager {
    /// The quotas of a gateway that starts now, and knows no customer yet.
    pub(crate) fn new(settings: &Settings, now: Instant) -> QuotaManager {
        QuotaManager {
            settings: QuotaSettings::new(settings, now),
            known_usage: KnownUsage::Since(now),
            ..QuotaManager::default()
        }
    }

    /// Which gateways own the quota of a customer.
    pub(crate) fn ownership(&self) -> QuotaOwnership {
        self.settings.ownership
    }

    /// Draws units from a customer's token buckets; negative units are given back.
    pub(crate) fn charge(&mut self, id: CustomerId, units: f64) {
        if let Some(customer) = self.customers.get_mut(&id) {
            customer.charge(&self.settings.plans[customer.plan], units);
        }
    }

    /// Records that an attempt of a customer's request was sent.
    pub(crate) fn begin_attempt(&mut self, id: CustomerId) {
        if let Some(customer) = self.customers.get_mut(&id) {
            customer.in_flight += 1;
        }
    }

    /// Records the end of an attempt, and by how many units it took more than was charged. Returns whether
    /// the owners are to be told.
    pub(crate) fn end_attempt(&mut self, id: CustomerId, correction_units: f64) -> bool {
        let mut usage_changed = correction_units != 0.0;
        if let Some(customer) = self.customers.get_mut(&id) {
            customer.end_attempt(correction_units);
            usage_changed |= self.settings.plans[customer.plan].concurrency_quota > 0;
        }
        usage_changed
    }

    /// Once a second: forgets what is old, and returns the customers with attempts in flight, to be reported
    /// again.
    pub(crate) fn sweep(&mut self, now: Instant) -> Vec<CustomerId> {
        let mut with_attempts = Vec::new();
        if now < self.next_sweep_at {
            return with_attempts;
        }
        self.next_sweep_at = now + SWEEP_INTERVAL;
        let retains_old_totals = self.settings.ownership.retains_old_totals();
        self.customers.retain(|id, customer| {
            let plan = &self.settings.plans[customer.plan];
            if plan.concurrency_quota > 0 && customer.role.is_owner() {
                customer.remote.expire_in_flight(now, REPORTED_IN_FLIGHT_LIFETIME);
            }
            if plan.concurrency_quota > 0 && customer.in_flight > 0 {
                with_attempts.push(*id);
            }
            if !retains_old_totals {
                customer.remote.remove_expired(now, record_lifetime(plan, Role::Owner));
            }
            customer.should_retain(plan, now)
        });
        with_attempts
    }

    /// Whether tokens are withheld in case gateways forwarded requests before this start.
    pub(crate) fn withholds_tokens(&self) -> bool {
        self.known_usage != KnownUsage::Complete
    }

    /// Adds the withheld tokens to all buckets, where all gateways started together and all buckets were full
    /// then. A customer that is always beyond its quota would never get them otherwise.
    pub(crate) fn release_withheld_tokens(&mut self) {
        tracing::debug!(target: "policy", customers = self.customers.len(), "withheld tokens released");
        self.known_usage = KnownUsage::Complete;
        for customer in self.customers.values_mut() {
            customer.bucket.release_withheld();
        }
    }

    /// Seconds for which all usage has been known here; the highest number where it was from the beginning,
    /// so that every bucket with a rate is full.
    fn seconds_of_known_usage(&self, now: Instant) -> f64 {
        match self.known_usage {
            KnownUsage::Complete => f64::MAX,
            KnownUsage::Since(since) => now.duration_since(since).as_secs_f64(),
        }
    }

    /// Whether the whole fleet started a short time ago. Later a peer may have forgotten customers.
    fn fleet_just_started(&self, now: Instant) -> bool {
        let age = now.duration_since(self.settings.started_at);
        self.known_usage == KnownUsage::Complete && age < CUSTOMER_IDLE_TIME
    }

    /// Refills a customer's token buckets up to now, and returns its record and its plan.
    fn refill(&mut self, id: CustomerId, now: Instant) -> Option<(&mut Customer, &Plan)> {
        let customer = self.customers.get_mut(&id)?;
        let plan = &self.settings.plans[customer.plan];
        customer.refill(plan, now);
        Some((customer, plan))
    }
}

#[cfg(test)]
mod tests;
