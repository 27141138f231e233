//! Customer quotas and hard limits, enforced over all gateways of a fleet together.
//!
//! Each plan has a quota, beyond which a request is not worth serving, and may have a hard limit, which must
//! not be exceeded. Both are token buckets counted in units; a quota may also limit the attempts in flight.
//! [`QuotaOwnership`] describes which gateways add up a customer's usage.
//!
//! | topic | file |
//! | --- | --- |
//! | limits that do not allow a request | `shortages.rs` |
//! | gateways that own a customer's quota | `ownership.rs`, `owner_assignment.rs` |
//! | plan and gateway set of a customer | `identity.rs` |
//! | grant requests, and the owners' answers | `grant_request.rs` |
//! | handling of usage reports and grants at an owner | `usage_report.rs` |
//! | content and recipients of usage reports | `reporting.rs` |
//! | refilling and charging of token buckets | `customer.rs`, `hard_limit.rs`, `token_bucket.rs` |
//! | usage through other gateways | `remote_usage.rs` |
//! | number of customer records | `record_limit.rs` |
//!
//! An owner's answer is valid for a time that depends on its use, here in ascending order:
//!
//! - `SHARED_GRANT_FRESHNESS` in `ownership.rs`: the age up to which a grant admits further requests where
//!   all gateways are owners.
//! - `MAX_GRANT_WAIT` in `grant_request.rs`: the longest time that a request waits for a grant, and the age
//!   up to which later requests share a grant request.
//! - `HARD_LIMIT_GRANT_LIFETIME` in `grant_request.rs`: the longest time between a request for units of the
//!   hard limit and their grant.
//! - `REJECTION_FRESHNESS` in `policy/admission.rs`: the age up to which an answer without tokens rejects
//!   requests on arrival.
//! - `LEVEL_FRESHNESS` in `reporting.rs`: the age up to which an answer gives a reporter the level of a
//!   bucket.
//! - `GRANT_LIFETIME` in `shortages.rs`: the age up to which an answer gives the usage of other gateways.

mod customer;
mod gateway_set;
mod grant_request;
mod hard_limit;
mod identity;
mod owner_assignment;
mod ownership;
mod record_limit;
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
use record_limit::RecordLimit;
pub use record_limit::CUSTOMER_RECORD_BYTES;
use remote_usage::{GatewayUsage, RemoteUsage};
use settings::QuotaSettings;
use std::collections::BTreeMap;
use token_bucket::{refill_time, time_to_refill, QuotaBucket};

/// Time constant of the decay of usage rates: longer than pauses between requests, and shorter than the time
/// in which the load shifts.
pub(crate) const USAGE_RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Maximum difference between the start times of gateways that count as started together, as a fleet.
pub(crate) const FLEET_START_WINDOW: Duration = Duration::from_millis(1500);
/// Interval between removals of expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a report after which a peer's attempts no longer count as in flight.
const REPORTED_IN_FLIGHT_LIFETIME: Duration = Duration::from_millis(1500);

/// The period for which this gateway's records include the usage of all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum KnownUsage {
    /// All usage: the gateways started together, and none had forwarded a request before.
    #[default]
    Complete,
    /// Usage since this gateway's start; other gateways may have forwarded requests earlier.
    Since(Instant),
}

/// Counts the usage of customers, and decides which requests their quotas and hard limits allow.
///
/// The gateway notifies the manager of requests, attempts, usage reports and grants. Methods return the
/// reports and grants to send; the caller sends them to the peers.
#[derive(Default)]
pub(crate) struct QuotaManager {
    settings: QuotaSettings,
    /// Records of customers with recent requests or reports.
    customers: BTreeMap<CustomerId, Customer>,
    record_limit: RecordLimit,
    known_usage: KnownUsage,
    /// Time of the next removal of expired records.
    next_sweep_at: Instant,
}

impl QuotaManager {
    /// Creates the manager of a gateway that starts now, without customer records.
    pub(crate) fn new(settings: &Settings, now: Instant) -> QuotaManager {
        QuotaManager {
            settings: QuotaSettings::new(settings, now),
            known_usage: KnownUsage::Since(now),
            ..QuotaManager::default()
        }
    }

    /// Returns the mode in which the fleet assigns quota owners.
    pub(crate) fn ownership(&self) -> QuotaOwnership {
        self.settings.ownership
    }

    /// Takes units from a customer's token buckets; negative units are returned to them.
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

    /// Records the end of an attempt. `correction_units` is the difference between the units that it used
    /// and those charged at admission. Returns whether the change has to be reported to the owners.
    pub(crate) fn end_attempt(&mut self, id: CustomerId, correction_units: f64) -> bool {
        let mut usage_changed = correction_units != 0.0;
        if let Some(customer) = self.customers.get_mut(&id) {
            customer.end_attempt(correction_units);
            usage_changed |= self.settings.plans[customer.plan].concurrency_quota > 0;
        }
        usage_changed
    }

    /// Removes expired records once per [`SWEEP_INTERVAL`]. Returns the customers under a concurrency quota
    /// with attempts in flight, which are reported again in case an earlier report was lost.
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

    /// Returns whether new customers' tokens are withheld, because gateways may have forwarded requests
    /// before this gateway's start.
    pub(crate) fn withholds_tokens(&self) -> bool {
        self.known_usage != KnownUsage::Complete
    }

    /// Adds the withheld tokens to all buckets, once it is known that all gateways started together, with
    /// full buckets. A customer that is always over its quota would otherwise never receive its withheld
    /// tokens.
    pub(crate) fn release_withheld_tokens(&mut self) {
        tracing::debug!(target: "policy", customers = self.customers.len(), "withheld quota tokens released");
        self.known_usage = KnownUsage::Complete;
        for customer in self.customers.values_mut() {
            customer.bucket.release_withheld();
        }
    }

    /// Returns the number of seconds for which all usage is known. For [`KnownUsage::Complete`] this is
    /// `f64::MAX`, so that every bucket with a refill rate begins full.
    fn seconds_of_known_usage(&self, now: Instant) -> f64 {
        match self.known_usage {
            KnownUsage::Complete => f64::MAX,
            KnownUsage::Since(since) => now.duration_since(since).as_secs_f64(),
        }
    }

    /// Returns whether the whole fleet started within [`CUSTOMER_IDLE_TIME`]. Later, a peer may already have
    /// removed records of customers.
    fn fleet_just_started(&self, now: Instant) -> bool {
        let age = now.duration_since(self.settings.started_at);
        self.known_usage == KnownUsage::Complete && age < CUSTOMER_IDLE_TIME
    }

    /// Refills a customer's token buckets up to `now`, and returns its record and plan.
    fn refill(&mut self, id: CustomerId, now: Instant) -> Option<(&mut Customer, &Plan)> {
        let customer = self.customers.get_mut(&id)?;
        let plan = &self.settings.plans[customer.plan];
        customer.refill(plan, now);
        Some((customer, plan))
    }
}

#[cfg(test)]
mod tests;
