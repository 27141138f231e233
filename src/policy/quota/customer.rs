//! A gateway's record of a customer: token buckets, quota owners and reported usage.

use super::identity::CUSTOMER_IDLE_TIME;
use super::{refill_time, GatewaySet, GrantRequest, HardLimitShare, IdentityClaim, InitialUsage};
use super::{OwnerAssignment, QuotaBucket, RemoteUsage, GRANTER_COUNT, USAGE_RATE_TIME_CONSTANT};
use crate::gossip::{wrap_total, TokenLevel, UsageReport, MAX_PLAN, MAX_REPORTED_IN_FLIGHT};
use crate::state::decay;
use crate::{CustomerId, Duration, Instant, Plan};

/// Minimum usage rate assumed for this gateway, as a fraction of its even share of the plan's rate, if the
/// usage of other gateways is known.
const MIN_OWN_RATE_FRACTION: f64 = 0.1;
/// Minimum total usage rate, in units per second. Prevents a division by zero for an idle customer.
const MIN_TOTAL_RATE: f64 = 1e-9;
/// Ratio of a record's lifetime at an owner to the longer of [`CUSTOMER_IDLE_TIME`] and the plan's refill
/// time.
const OWNER_RECORD_LIFETIME_FACTOR: u64 = 4;
/// The same ratio at a reporter. It is lower, because an owner that removes its record before the reporters
/// do would count their continuing totals as new usage.
const REPORTER_RECORD_LIFETIME_FACTOR: u64 = 2;

/// The role of a gateway in counting a customer's usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Role {
    /// Adds up the usage through all gateways.
    Owner,
    /// Reports its usage to the owners.
    #[default]
    Reporter,
}

impl Role {
    /// Returns the role of a gateway for a customer with these owners.
    pub(super) fn of(gateway: u16, quota_owners: &[u16]) -> Role {
        if quota_owners.contains(&gateway) {
            Role::Owner
        } else {
            Role::Reporter
        }
    }

    pub(super) fn is_owner(self) -> bool {
        self == Role::Owner
    }
}

/// One gateway's record of a customer.
#[derive(Default)]
pub(super) struct Customer {
    /// Index into the plans of the settings.
    pub plan: usize,
    /// The gateways that receive the customer's requests.
    pub gateway_set: GatewaySet,
    /// Number of recent requests and reports that match the plan and the set, less those that do not.
    pub identity_confidence: u8,
    /// The token bucket of the quota.
    pub bucket: QuotaBucket,
    /// When both buckets were last refilled.
    pub refilled_at: Instant,
    /// This gateway's share of the hard limit.
    pub hard_limit: HardLimitShare,
    /// Units forwarded by this gateway since its start.
    pub total_units: f64,
    /// Units per second through this gateway, decaying with [`USAGE_RATE_TIME_CONSTANT`].
    pub own_rate: f64,
    /// Attempts in flight from this gateway.
    pub in_flight: u32,
    /// When the last request or report for the customer was received.
    pub last_seen_at: Option<Instant>,
    /// The gateways that add up the customer's usage.
    pub quota_owners: Vec<u16>,
    /// The two gateways that grant units of the hard limit, and of the quota if they own it; the same one
    /// twice in a set of one gateway.
    pub granters: [u16; GRANTER_COUNT],
    /// This gateway's role.
    pub role: Role,
    /// The usage through all other gateways.
    pub remote: RemoteUsage,
    /// When an owner's last answer, a grant or a refusal, was received; `None` before the first one, and at
    /// an owner.
    pub answered_at: Option<Instant>,
    /// The last grant request, and the requests that wait for it.
    pub grant_request: GrantRequest,
}

impl Customer {
    /// Creates the record of a new customer. The tokens that its bucket lacks to be full are withheld.
    pub(super) fn new(
        now: Instant,
        claim: &IdentityClaim,
        initial: &InitialUsage,
        plan: &Plan,
        assignment: OwnerAssignment,
    ) -> Customer {
        Customer {
            plan: claim.plan,
            gateway_set: assignment.gateway_set,
            bucket: QuotaBucket::new(plan, initial.tokens),
            remote: RemoteUsage::with_rate(initial.remote_rate),
            refilled_at: now,
            hard_limit: HardLimitShare {
                fraction: assignment.hard_limit_fraction,
                ..HardLimitShare::default()
            },
            quota_owners: assignment.quota_owners,
            granters: assignment.granters,
            role: assignment.role,
            ..Customer::default()
        }
    }

    /// Returns whether the record has the plan and gateway set that a request or report states.
    pub(super) fn matches(&self, claim: &IdentityClaim) -> bool {
        self.plan == claim.plan && self.gateway_set == claim.gateway_set
    }

    /// Replaces the record by one with another plan and gateway set. Keeps the waiting requests, the attempts
    /// in flight and the total.
    pub(super) fn replace_identity(&mut self, new: Customer) {
        let old = std::mem::replace(self, new);
        self.grant_request.waiting = old.grant_request.waiting;
        self.in_flight = old.in_flight;
        self.total_units = old.total_units;
    }

    /// Returns this gateway's share of the customer's usage, from 0 to 1. A remote rate of grant requests is
    /// treated as one of units.
    ///
    /// A minimum rate is assumed for this gateway, so that it has a share of the tokens even if it has
    /// forwarded few of the customer's requests.
    pub(super) fn own_share(&self, plan: &Plan) -> f64 {
        let knows_remote_usage = self.role.is_owner() || self.answered_at.is_some();
        let floor = if knows_remote_usage { MIN_OWN_RATE_FRACTION } else { 1.0 };
        let own_rate = self.own_rate.max(plan.rate / self.gateway_set.size.max(1.0) * floor);
        own_rate / (own_rate + self.remote.rate()).max(MIN_TOTAL_RATE)
    }

    /// Refills both token buckets up to `now`.
    pub(super) fn refill(&mut self, plan: &Plan, now: Instant) {
        let remaining = decay(self.refilled_at, now, USAGE_RATE_TIME_CONSTANT);
        self.own_rate *= remaining;
        let refill_rate = if self.role.is_owner() {
            self.remote.decay_rate(remaining);
            plan.rate
        } else {
            // Other gateways' usage continues unreported between two answers, so it reduces the refill.
            (plan.rate - self.remote.rate()).max(plan.rate * self.own_share(plan))
        };
        let elapsed_seconds = now.duration_since(self.refilled_at).as_secs_f64();
        self.bucket.refill(plan, refill_rate, elapsed_seconds);
        self.hard_limit.refill(plan, elapsed_seconds);
        self.refilled_at = now;
    }

    /// Takes units from both buckets; negative units are returned to them.
    pub(super) fn charge(&mut self, plan: &Plan, units: f64) {
        self.bucket.charge_clamped(plan, units);
        self.hard_limit.charge(plan, units);
        self.total_units += units;
        self.own_rate = (self.own_rate + units / USAGE_RATE_TIME_CONSTANT.as_secs_f64()).max(0.0);
    }

    /// Records the end of an attempt. `correction_units` is the difference between the units that it used
    /// and those charged at admission. It corrects the quota; the charge to the hard limit remains.
    pub(super) fn end_attempt(&mut self, correction_units: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.bucket.deduct_unclamped(correction_units);
        self.total_units += correction_units;
    }

    /// Returns whether the customer has attempts in flight or requests that wait for a grant.
    pub(super) fn is_in_use(&self) -> bool {
        self.in_flight > 0 || !self.grant_request.waiting.is_empty()
    }

    /// Returns whether the record is in use or has not expired. After its removal the customer's next request
    /// starts with full buckets.
    pub(super) fn should_retain(&self, plan: &Plan, now: Instant) -> bool {
        let lifetime = record_lifetime(plan, self.role);
        self.is_in_use() || self.last_seen_at.is_some_and(|seen_at| now.duration_since(seen_at) <= lifetime)
    }

    /// Returns a report of the usage, without a grant request. The report includes the level of the quota's
    /// bucket, relative to the plan's `burst`, if that is given.
    pub(super) fn usage_report(&self, id: CustomerId, burst: Option<f64>) -> UsageReport {
        UsageReport {
            customer: id,
            plan: self.plan.min(MAX_PLAN) as u8,
            total_units: wrap_total(self.total_units),
            in_flight: self.in_flight.min(u32::from(MAX_REPORTED_IN_FLIGHT)) as u8,
            tokens_level: burst
                .map_or(TokenLevel::UNKNOWN, |burst| TokenLevel::from_tokens(self.bucket.tokens(), burst)),
            gateway_set_start: self.gateway_set.start,
            gateway_set_size: self.gateway_set.size as u16,
            requests_grant: false,
            requested_units: self.grant_request.units,
            needs_hard_limit_grant: false,
        }
    }
}

/// Returns the time after the last request or report at which a gateway removes a customer's record.
pub(super) fn record_lifetime(plan: &Plan, role: Role) -> Duration {
    let lifetimes = match role {
        Role::Owner => OWNER_RECORD_LIFETIME_FACTOR,
        Role::Reporter => REPORTER_RECORD_LIFETIME_FACTOR,
    };
    CUSTOMER_IDLE_TIME.max(refill_time(plan)) * lifetimes
}
