//! What a gateway knows of a customer: its token buckets, its owners and the usage that gateways reported.

use super::{decay, GatewaySet, GrantRequest, HardLimitShare};
use crate::gossip::{wrap_total, TokenLevel, UsageReport, MAX_PLAN};
use crate::{CustomerId, Duration, Instant, Plan};
use std::collections::BTreeMap;

/// The highest count of attempts in flight that a message carries.
pub const MAX_REPORTED_IN_FLIGHT: u8 = 127;

/// What an owner knows of the usage through one other gateway.
#[derive(Clone, Copy, Default)]
pub struct GatewayUsage {
    /// The total in the gateway's last report, see [`wrap_total`].
    pub reported_total: u16,
    /// Units that were granted, and charged here, before the gateway reported them.
    pub granted_units: f64,
    /// Units a second, of late.
    pub rate: f64,
    /// When the last report came.
    pub reported_at: Instant,
    /// Attempts in flight, with one that was granted and isn't reported yet.
    pub in_flight: u8,
}

impl GatewayUsage {
    /// Takes over a reported total, and the units that have come to it since the last report. The rate decays
    /// with the time constant, in seconds.
    pub fn record(&mut self, total: u16, units: f64, now: Instant, time_constant: Duration) {
        let remaining = decay(self.reported_at, now, time_constant);
        self.rate = (self.rate * remaining + units / time_constant.as_secs_f64()).max(0.0);
        self.reported_total = total;
        self.reported_at = now;
    }
}

/// A customer's record at one gateway.
#[derive(Default)]
pub struct Customer {
    /// Index of the plan.
    pub plan: usize,
    /// The gateways that serve the customer.
    pub gateway_set: GatewaySet,
    /// How many more requests and reports have agreed with the plan and the set than not, of late.
    pub identity_confidence: u8,
    /// Tokens in the quota's bucket, as far as known here.
    pub tokens: f64,
    /// When both buckets were last refilled.
    pub refilled_at: Instant,
    /// Tokens that were missing in the quota's bucket when the record was made, because usage before this
    /// gateway's start is not known.
    pub withheld_tokens: f64,
    /// This gateway's share of the hard limit.
    pub hard_limit: HardLimitShare,
    /// Units sent on by this gateway since its start.
    pub total_units: f64,
    /// Units a second through this gateway, of late.
    pub own_rate: f64,
    /// Attempts in flight from this gateway.
    pub in_flight: u32,
    /// When a request or a report last named the customer; 0 for never.
    pub last_seen_at: Instant,
    /// The gateways that add up the customer's usage.
    pub quota_owners: Vec<u16>,
    /// Whether this gateway is one of the owners.
    pub is_quota_owner: bool,
    /// At an owner: what each gateway reported.
    pub usage_by_gateway: BTreeMap<u16, GatewayUsage>,
    /// Units a second through all other gateways, of late.
    pub remote_rate: f64,
    /// Attempts in flight from all other gateways.
    pub remote_in_flight: u32,
    /// Elsewhere: when an owner last sent a grant.
    pub granted_at: Instant,
    /// The last request for a grant, and who waits for it.
    pub grant_request: GrantRequest,
}

impl Customer {
    /// A customer that was not known until now. What its bucket lacks to be full is withheld.
    pub fn new(plan_index: usize, plan: &Plan, tokens: f64, now: Instant) -> Customer {
        let withheld_tokens = plan.burst - tokens;
        Customer { plan: plan_index, tokens, withheld_tokens, refilled_at: now, ..Customer::default() }
    }

    /// Notes the end of an attempt, and by how much its true units are more than were charged.
    pub fn end_attempt(&mut self, correction: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens -= correction;
        self.total_units += correction;
    }

    /// Takes over another plan and set of gateways. The requests in hand and the total go on.
    pub fn replace_identity(&mut self, new: Customer) {
        let old = std::mem::replace(self, new);
        self.grant_request.waiting = old.grant_request.waiting;
        self.in_flight = old.in_flight;
        self.total_units = old.total_units;
    }

    /// Adds the tokens since the last refill, up to the capacity of the buckets.
    pub fn add_tokens(&mut self, plan: &Plan, refill_rate: f64, now: Instant) {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + refill_rate * elapsed).min(plan.burst);
        self.hard_limit.refill(plan, elapsed);
        self.refilled_at = now;
    }

    /// Draws units from both buckets; negative units are given back. The rate of usage decays with the time
    /// constant, in seconds.
    pub fn charge(&mut self, plan: &Plan, units: f64, time_constant: Duration) {
        self.tokens = (self.tokens - units).clamp(-plan.burst, plan.burst);
        self.hard_limit.charge(plan, units);
        self.total_units += units;
        self.own_rate = (self.own_rate + units / time_constant.as_secs_f64()).max(0.0);
    }

    /// Attempts in flight from all gateways but the one with this usage.
    pub fn in_flight_without(&self, usage: &GatewayUsage) -> u32 {
        self.in_flight + self.remote_in_flight.saturating_sub(u32::from(usage.in_flight))
    }

    /// At an owner: takes over the attempts in flight that a gateway reports. What it is granted counts
    /// already: one more attempt, and the units that it requests.
    pub fn reserve(&mut self, usage: &mut GatewayUsage, report: &UsageReport, granted: bool) {
        let others_in_flight = self.in_flight_without(usage);
        let is_countable = report.in_flight < MAX_REPORTED_IN_FLIGHT;
        usage.in_flight = report.in_flight + u8::from(granted && is_countable);
        self.remote_in_flight = others_in_flight - self.in_flight + u32::from(usage.in_flight);
        usage.granted_units = if granted { report.requested_units } else { 0.0 };
        self.tokens -= usage.granted_units;
    }

    /// Drops what a gateway reported before it restarted.
    pub fn forget_usage_of(&mut self, gateway: u16) {
        if let Some(usage) = self.usage_by_gateway.remove(&gateway) {
            self.remote_in_flight -= u32::from(usage.in_flight).min(self.remote_in_flight);
        }
    }

    /// Drops the attempts in flight of gateways whose last report is older than `lifetime`.
    pub fn expire_reported_in_flight(&mut self, now: Instant, lifetime: Duration) {
        for usage in self
            .usage_by_gateway
            .values_mut()
            .filter(|usage| now.duration_since(usage.reported_at) > lifetime)
        {
            usage.in_flight = 0;
        }
        self.remote_in_flight = self.usage_by_gateway.values().map(|usage| u32::from(usage.in_flight)).sum();
    }

    /// Whether each owner of the hard limit that this gateway can ask has answered its request.
    pub fn hard_limit_owners_answered(&self, own_id: u16) -> bool {
        let has_answered = |owner: &u16| self.grant_request.answered_by.contains(owner);
        let can_be_asked = |owner: &u16| *owner != own_id && self.quota_owners.contains(owner);
        self.hard_limit.owners.iter().all(|owner| !can_be_asked(owner) || has_answered(owner))
    }

    /// A report of its usage, without a request for a grant. The level of the quota's bucket, as a part of
    /// the plan's `burst`, is included where it is known.
    pub fn usage_report(&self, customer: CustomerId, burst: Option<f64>) -> UsageReport {
        UsageReport {
            customer,
            plan: self.plan.min(MAX_PLAN) as u8,
            total_units: wrap_total(self.total_units),
            in_flight: self.in_flight.min(u32::from(MAX_REPORTED_IN_FLIGHT)) as u8,
            tokens_level: burst.map_or(TokenLevel::UNKNOWN, |burst| TokenLevel::of(self.tokens, burst)),
            gateway_set_start: self.gateway_set.start,
            gateway_set_size: self.gateway_set.size as u16,
            requests_grant: false,
            requested_units: self.grant_request.units,
            needs_hard_limit_grant: false,
        }
    }
}
