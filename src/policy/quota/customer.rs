//! What a gateway knows of a customer: its token buckets, its owners and the usage that gateways reported.

use super::identity::CUSTOMER_IDLE_TIME;
use super::{refill_time, GatewaySet, GrantRequest, HardLimitShare, IdentityClaim, InitialUsage};
use super::{OwnerAssignment, QuotaBucket, RemoteUsage, GRANTER_COUNT, USAGE_RATE_TIME_CONSTANT};
use crate::gossip::{wrap_total, TokenLevel, UsageReport, MAX_PLAN, MAX_REPORTED_IN_FLIGHT};
use crate::state::decay;
use crate::{CustomerId, Duration, Instant, Plan};

/// The least rate of usage through this gateway, as a part of its even share, where the usage of others is
/// known.
const MIN_OWN_RATE_FRACTION: f64 = 0.1;
/// The smallest divisor of a share, in units a second, for a customer that uses nothing.
const MIN_TOTAL_RATE: f64 = 1e-9;
/// Idle times, or refill times, for which an owner keeps a record.
const OWNER_RECORD_LIFETIME_FACTOR: u64 = 4;
/// The same at a gateway that is not an owner. An owner has to keep its record for longer than the gateways
/// that report to it: what they count on would seem new to it.
const REPORTER_RECORD_LIFETIME_FACTOR: u64 = 2;

/// Whether a gateway is an owner of a customer's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Role {
    /// It adds up the customer's usage.
    Owner,
    /// It reports usage to the owners.
    #[default]
    Reporter,
}

impl Role {
    /// The role of a gateway among these owners.
    pub(super) fn of(gateway: u16, quota_owners: &[u16]) -> Role {
        if quota_owners.contains(&gateway) {
            Role::Owner
        } else {
            Role::Reporter
        }
    }

    /// Whether the gateway adds up the customer's usage.
    pub(super) fn is_owner(self) -> bool {
        self == Role::Owner
    }
}

/// A customer's record at one gateway.
#[derive(Default)]
pub(super) struct Customer {
    /// Index of the plan.
    pub plan: usize,
    /// The gateways that serve the customer.
    pub gateway_set: GatewaySet,
    /// How many more requests and reports have agreed with the plan and the set than not, of late.
    pub identity_confidence: u8,
    /// The token bucket of the quota.
    pub bucket: QuotaBucket,
    /// When both buckets were last refilled.
    pub refilled_at: Instant,
    /// This gateway's share of the hard limit.
    pub hard_limit: HardLimitShare,
    /// Units forwarded by this gateway since its start.
    pub total_units: f64,
    /// Units a second through this gateway, decaying with [`USAGE_RATE_TIME_CONSTANT`].
    pub own_rate: f64,
    /// Attempts in flight from this gateway.
    pub in_flight: u32,
    /// When a request or a report last named the customer.
    pub last_seen_at: Option<Instant>,
    /// The gateways that add up the customer's usage.
    pub quota_owners: Vec<u16>,
    /// The two gateways that grant units of the hard limit, and of the quota as far as they own it; the same
    /// one twice where it is alone.
    pub granters: [u16; GRANTER_COUNT],
    /// Whether this gateway is one of the owners.
    pub role: Role,
    /// The usage through all other gateways.
    pub remote: RemoteUsage,
    /// When an owner last answered, whether it granted or refused, to a gateway that is not an owner.
    pub answered_at: Option<Instant>,
    /// The last request for a grant, and the requests that wait for it.
    pub grant_request: GrantRequest,
}

impl Customer {
    /// A customer that was not known until now. What its bucket lacks to be full is withheld.
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

    /// Whether the record has the plan and the gateways that a request or a report names.
    pub(super) fn matches(&self, claim: &IdentityClaim) -> bool {
        self.plan == claim.plan && self.gateway_set == claim.gateway_set
    }

    /// Changes to another plan and set of gateways. Requests that wait or are in flight and the total go on.
    pub(super) fn replace_identity(&mut self, new: Customer) {
        let old = std::mem::replace(self, new);
        self.grant_request.waiting = old.grant_request.waiting;
        self.in_flight = old.in_flight;
        self.total_units = old.total_units;
    }

    /// This gateway's share of the customer's usage, from 0 to 1. Where the remote rate is one of requests
    /// for grants, it is taken for units.
    ///
    /// A gateway that sees little of the customer counts with a floor, so that its share of the tokens is
    /// never nothing.
    pub(super) fn own_share(&self, plan: &Plan) -> f64 {
        let knows_remote_usage = self.role.is_owner() || self.answered_at.is_some();
        let floor = if knows_remote_usage { MIN_OWN_RATE_FRACTION } else { 1.0 };
        let own_rate = self.own_rate.max(plan.rate / self.gateway_set.size.max(1.0) * floor);
        own_rate / (own_rate + self.remote.rate()).max(MIN_TOTAL_RATE)
    }

    /// Refills both token buckets up to now.
    pub(super) fn refill(&mut self, plan: &Plan, now: Instant) {
        let remaining = decay(self.refilled_at, now, USAGE_RATE_TIME_CONSTANT);
        self.own_rate *= remaining;
        let refill_rate = if self.role.is_owner() {
            self.remote.decay_rate(remaining);
            plan.rate
        } else {
            // Between two grants the usage of other gateways goes on unreported: it is taken off the refill.
            (plan.rate - self.remote.rate()).max(plan.rate * self.own_share(plan))
        };
        let elapsed_seconds = now.duration_since(self.refilled_at).as_secs_f64();
        self.bucket.refill(plan, refill_rate, elapsed_seconds);
        self.hard_limit.refill(plan, elapsed_seconds);
        self.refilled_at = now;
    }

    /// Draws units from both buckets; negative units are given back.
    pub(super) fn charge(&mut self, plan: &Plan, units: f64) {
        self.bucket.charge_clamped(plan, units);
        self.hard_limit.charge(plan, units);
        self.total_units += units;
        self.own_rate = (self.own_rate + units / USAGE_RATE_TIME_CONSTANT.as_secs_f64()).max(0.0);
    }

    /// Records the end of an attempt, and by how many units it took more than was charged. The quota is
    /// corrected by them; the hard limit stays as it was charged at admission.
    pub(super) fn end_attempt(&mut self, correction_units: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.bucket.deduct_unclamped(correction_units);
        self.total_units += correction_units;
    }

    /// Whether the record has to be kept: a customer that comes again starts with full buckets.
    pub(super) fn should_retain(&self, plan: &Plan, now: Instant) -> bool {
        let in_use = self.in_flight > 0 || !self.grant_request.waiting.is_empty();
        let lifetime = record_lifetime(plan, self.role);
        in_use || self.last_seen_at.is_some_and(|seen_at| now.duration_since(seen_at) <= lifetime)
    }

    /// A report of the usage, without a request for a grant. The level of the quota's bucket is included
    /// where it is known, as a part of the plan's `burst`.
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

/// How long a gateway keeps the record of a customer that no longer comes.
pub(super) fn record_lifetime(plan: &Plan, role: Role) -> Duration {
    let lifetimes = match role {
        Role::Owner => OWNER_RECORD_LIFETIME_FACTOR,
        Role::Reporter => REPORTER_RECORD_LIFETIME_FACTOR,
    };
    CUSTOMER_IDLE_TIME.max(refill_time(plan)) * lifetimes
}
