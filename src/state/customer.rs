//! What a gateway knows of a customer: its token buckets, its owners and the usage that gateways reported.

use crate::gossip::{wrap_total, TokenLevel, UsageReport, MAX_PLAN};
use crate::{CustomerId, Micros, Plan, RequestId};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct GatewayUsage {
    pub reported_total: u16,
    /// Units let through in its name before it told that it took them.
    pub granted_units: f64,
    pub rate: f64,
    pub reported_at: Micros,
    pub in_flight: u8,
}

#[derive(Default)]
pub struct Customer {
    pub plan: usize,
    /// The quota's store, as far as known here, and when it was last filled.
    pub tokens: f64,
    pub refilled_at: Micros,
    /// What the store held besides when it was met, if nobody had used it before.
    pub withheld_tokens: f64,
    /// This gateway's own share of the ceiling's store.
    pub hard_limit_tokens: f64,
    /// Units sent on by this gateway since its start.
    pub total_units: f64,
    /// The two that hold most of the ceiling, this gateway's part of it, what it asked them for.
    pub hard_limit_owners: [u16; 2],
    pub hard_limit_fraction: f64,
    pub gateway_set_start: u16,
    /// How many requests and peers more have agreed with its plan and set than not, of late.
    pub identity_confidence: u8,
    /// What is asked for: a request's units, and whether the ceiling lacks them, too.
    pub requested_units: f64,
    pub needs_hard_limit_grant: bool,
    /// Ceiling units handed over for the requests that are held, and for those alone.
    pub hard_limit_grant: f64,
    pub own_rate: f64,
    pub in_flight: u32,
    pub gateway_set_size: f64,
    pub last_seen_at: Micros,
    /// The gateways that count this customer's use; whether this is one of them.
    pub quota_owners: Vec<u16>,
    pub is_quota_owner: bool,
    /// At a home: what each gateway told, and the rate of others.
    pub usage_by_gateway: BTreeMap<u16, GatewayUsage>,
    pub remote_rate: f64,
    pub remote_in_flight: u32,
    /// Elsewhere: when the homes told of it and were asked, who has answered.
    pub granted_at: Micros,
    pub grant_requested_at: Micros,
    pub owners_answered: Vec<u16>,
    /// The home took what was asked for as used already.
    pub charged_by_owner: bool,
    pub awaiting_grant: Vec<RequestId>,
}

impl Customer {
    /// A customer that was not known until now. What its bucket lacks to be full is withheld.
    pub fn new(plan_index: usize, plan: &Plan, tokens: f64, now: Micros) -> Customer {
        let withheld_tokens = plan.burst - tokens;
        Customer { plan: plan_index, tokens, withheld_tokens, refilled_at: now, ..Customer::default() }
    }

    /// Notes what its owners are asked for.
    pub fn request_grant(&mut self, now: Micros, units: f64, hard_limit: bool) {
        self.grant_requested_at = now;
        self.owners_answered.clear();
        self.requested_units = units;
        self.needs_hard_limit_grant = hard_limit;
    }

    /// Notes the end of an attempt, and by how much its true units are more than were charged.
    pub fn end_attempt(&mut self, correction: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens -= correction;
        self.total_units += correction;
    }

    /// The usage that its owners are told, without a request for a grant. The level of the quota's bucket goes along where
    /// it is known, as a part of the plan's `burst`.
    pub fn usage_report(&self, customer: CustomerId, burst: Option<f64>) -> UsageReport {
        UsageReport {
            customer,
            plan: self.plan.min(MAX_PLAN) as u8,
            total_units: wrap_total(self.total_units),
            in_flight: self.in_flight.min(127) as u8,
            tokens_level: burst.map_or(TokenLevel::UNKNOWN, |burst| TokenLevel::of(self.tokens, burst)),
            gateway_set_start: self.gateway_set_start,
            gateway_set_size: self.gateway_set_size as u16,
            requests_grant: false,
            requested_units: self.requested_units,
            needs_hard_limit_grant: false,
        }
    }
}
