//! The owner's side of usage reports: adding reported usage to a customer's record, and granting units.

use super::customer::{record_lifetime, Role};
use super::{Customer, GatewaySet, GatewayUsage, IdentityClaim, InitialUsage, QuotaManager};
use crate::gossip::{
    floor_to_wire_units, wrapping_delta, PeerAge, QuotaGrant, UsageReport, MAX_REPORTED_IN_FLIGHT,
};
use crate::{Instant, Plan};

/// Fraction of the burst above which the total in an older gateway's first report is not charged: it may
/// include usage from before this gateway's start.
const MAX_FIRST_REPORT_FRACTION: f64 = 0.25;

/// An owner's decision on a usage report that may request a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GrantDecision {
    /// The units are charged, and one more attempt counts as in flight.
    Granted,
    /// The report requested no grant.
    NotRequested,
    /// The quota's bucket holds fewer tokens than requested.
    NoTokens,
    /// The attempts in flight have reached the quota.
    AtConcurrencyQuota,
}

/// The period in which the units were used that a usage report adds to the last reported total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportedPeriod {
    /// The time since the sender's last report.
    SinceLastReport,
    /// Possibly time before this gateway's start: the report is the first one of an older gateway.
    MayPredateStart,
}

impl QuotaManager {
    /// Records a peer's usage report. Returns the answer if the report requests a grant.
    pub(crate) fn on_usage_report(
        &mut self,
        now: Instant,
        from: u16,
        sender_age: PeerAge,
        report: &UsageReport,
    ) -> Option<QuotaGrant> {
        self.observe_reported_customer(now, from, report)?;
        let ownership = self.settings.ownership;
        let may_predate = sender_age == PeerAge::Older && !self.fleet_just_started(now);
        let (customer, plan) = self.refill(report.customer, now)?;
        if customer.plan != usize::from(report.plan) || !customer.role.is_owner() {
            return None;
        }
        customer.last_seen_at = customer.last_seen_at.max(Some(now));
        let known_usage = customer.remote.get(from);
        let mut usage = known_usage.unwrap_or_default();
        customer.reset_expired_total(plan, &mut usage, now, from, report);
        let period = if may_predate && known_usage.is_none() {
            ReportedPeriod::MayPredateStart
        } else {
            ReportedPeriod::SinceLastReport
        };
        let units = customer.new_units(plan, usage.reported_total, period, report);
        let min_tokens = ownership.min_tokens(plan, customer.bucket.tokens());
        customer.bucket.settle_clamped(plan, usage.granted_units, units, min_tokens);
        if ownership.counts_grant_requests(plan) {
            // The rate counts all grant requests for the customer, including the sender's. Answers carry it
            // as `remote_rate`, by which the gateways limit their grant requests.
            usage.record(now, report.total_units, 0.0);
            customer.remote.add_to_rate(f64::from(u8::from(report.requests_grant)));
        } else {
            usage.record(now, report.total_units, units);
            customer.remote.add_to_rate(units);
        }
        let grant = customer.grant(plan, &mut usage, from, report);
        customer.remote.insert(from, usage);
        report.requests_grant.then_some(grant)
    }

    /// Updates the record of a report's customer, or creates one; `None` if the plan is unknown or
    /// there are too many customers. A new record
    /// begins with the reported level of the bucket, or with the tokens refilled since this gateway's start.
    fn observe_reported_customer(&mut self, now: Instant, from: u16, report: &UsageReport) -> Option<()> {
        if !self.ensure_record_capacity(now, report.customer) {
            tracing::debug!(
                target: "policy", customer = report.customer.0, from,
                "usage report ignored: too many customers"
            );
            return None;
        }
        let plan = self.settings.plans.get(usize::from(report.plan))?;
        let refilled = plan.rate * self.seconds_of_known_usage(now);
        let presumed = self.settings.ownership.initial_tokens(plan, refilled);
        let reported = report.tokens_level.tokens(plan.burst).filter(|_| !self.fleet_just_started(now));
        let set = GatewaySet { start: report.gateway_set_start, size: report.gateway_set_size.into() };
        let claim = IdentityClaim {
            plan: usize::from(report.plan),
            gateway_set: set.in_whole_gateways(self.settings.gateway_count),
        };
        let initial = InitialUsage { tokens: reported.unwrap_or(presumed), remote_rate: 0.0 };
        self.record_identity(now, report.customer, &claim, &initial);
        Some(())
    }
}

impl Customer {
    /// Resets a sender's last total to zero if the new one is lower and the sender's record of the customer
    /// has expired since: the sender's total then restarted at zero.
    fn reset_expired_total(
        &self,
        plan: &Plan,
        usage: &mut GatewayUsage,
        now: Instant,
        from: u16,
        report: &UsageReport,
    ) {
        let has_decreased = wrapping_delta(usage.reported_total, report.total_units) < 0.0;
        let role = Role::of(from, &self.quota_owners);
        if has_decreased && now.duration_since(usage.reported_at) > record_lifetime(plan, role) {
            usage.reported_total = 0;
        }
    }

    /// Returns the units used through a gateway since its last report. If a total above
    /// [`MAX_FIRST_REPORT_FRACTION`] of the burst may include usage from before this gateway's start, returns
    /// 0 and adjusts the bucket instead.
    fn new_units(
        &mut self,
        plan: &Plan,
        last_total: u16,
        period: ReportedPeriod,
        report: &UsageReport,
    ) -> f64 {
        let units = wrapping_delta(last_total, report.total_units);
        let may_predate = period == ReportedPeriod::MayPredateStart;
        if may_predate && units.abs() > plan.burst * MAX_FIRST_REPORT_FRACTION {
            // The total does not show when units were used, so the level that the peer reported is applied.
            self.bucket.deduct_withheld(units);
            if let Some(tokens) = report.tokens_level.tokens(plan.burst) {
                self.bucket.lower_to((tokens - self.total_units).max(0.0));
            }
            return 0.0;
        }
        // A decrease by more than the burst, the most that can be returned, means that the total restarted.
        if units >= -plan.burst {
            units
        } else {
            0.0
        }
    }

    /// Returns the answer to a usage report. Granted units are charged immediately, since other gateways may
    /// request a grant before the next report.
    fn grant(
        &mut self,
        plan: &Plan,
        usage: &mut GatewayUsage,
        from: u16,
        report: &UsageReport,
    ) -> QuotaGrant {
        let others_in_flight = self.in_flight + self.remote.in_flight_excluding(usage);
        let decision = self.decide_grant(plan, others_in_flight, report);
        let tokens = self.bucket.tokens();
        self.reserve(usage, report, decision);
        let hard_limit_grant = self.grant_hard_limit(report);
        if decision != GrantDecision::NotRequested {
            tracing::debug!(
                target: "policy", customer = report.customer.0, from, tokens, others_in_flight,
                requested_units = report.requested_units, hard_limit_units = hard_limit_grant,
                ?decision, "grant decided"
            );
        }
        QuotaGrant {
            customer: report.customer,
            receiver_total: report.total_units,
            tokens,
            remote_rate: (self.own_rate + self.remote.rate() - usage.rate).max(0.0),
            remote_in_flight: others_in_flight.min(u32::from(MAX_REPORTED_IN_FLIGHT)) as u8,
            hard_limit_grant,
        }
    }

    /// Decides whether to grant the units that a report requests. `others_in_flight` are the attempts in
    /// flight from all gateways except the sender.
    fn decide_grant(&self, plan: &Plan, others_in_flight: u32, report: &UsageReport) -> GrantDecision {
        let has_tokens = plan.burst == 0.0 || self.bucket.tokens() >= report.requested_units;
        let in_flight = others_in_flight + u32::from(report.in_flight);
        let has_concurrency = plan.concurrency_quota == 0 || in_flight < plan.concurrency_quota;
        match report.requests_grant {
            false => GrantDecision::NotRequested,
            true if !has_tokens => GrantDecision::NoTokens,
            true if !has_concurrency => GrantDecision::AtConcurrencyQuota,
            true => GrantDecision::Granted,
        }
    }

    /// Records the attempts in flight that a gateway reports. A grant counts immediately, as one more attempt
    /// and a charge of the requested units.
    fn reserve(&mut self, usage: &mut GatewayUsage, report: &UsageReport, decision: GrantDecision) {
        let is_granted = decision == GrantDecision::Granted;
        let is_countable = report.in_flight < MAX_REPORTED_IN_FLIGHT;
        self.remote.set_in_flight(usage, report.in_flight + u8::from(is_granted && is_countable));
        usage.granted_units = if is_granted { report.requested_units } else { 0.0 };
        self.bucket.deduct_unclamped(usage.granted_units);
    }

    /// Returns the units of the hard limit that a gateway is granted, and deducts them from this gateway's
    /// share. The loss of the message loses the units.
    fn grant_hard_limit(&mut self, report: &UsageReport) -> f64 {
        let is_requested = report.requests_grant && report.needs_hard_limit_grant;
        let is_granted = is_requested && self.hard_limit.tokens >= report.requested_units;
        let units = if is_granted { floor_to_wire_units(report.requested_units) } else { 0.0 };
        self.hard_limit.tokens -= units;
        units
    }
}

#[cfg(test)]
mod tests;
