//! Usage reports to the gateways that own the quotas of customers, the owners' answers with grants, and what
//! a gateway makes of both.

use super::quota::{record_lifetime, CUSTOMER_IDLE_TIME, USAGE_RATE_TIME_CONSTANT};
use crate::{gossip::*, state::*, *};

/// Gateways that start within so many milliseconds of each other have started together, as a fleet.
const FLEET_START_WINDOW_MS: u32 = 1500;
/// Most units, as a part of the burst, that the first report of an older gateway may be believed to add.
const MAX_FIRST_UNITS: f64 = 0.25;
/// How long after a grant a gateway reports the level of a bucket.
const LEVEL_FRESHNESS: Duration = Duration::from_secs(1);
/// A customer seen within this time is reported to an owner that starts.
const ACTIVE_CUSTOMER_TIME: Duration = Duration::from_secs(2);
/// Units of the hard limit that are granted later than this after the request for them lapse.
const HARD_LIMIT_GRANT_LIFETIME: Duration = Duration::from_millis(250);

impl Customer {
    /// At an owner: the units used through a gateway since its last report. The total of one that started
    /// before this gateway may count usage of that time, too.
    fn new_units(&mut self, plan: &Plan, last_total: u16, from_older: bool, report: &UsageReport) -> f64 {
        let units = wrapping_delta(last_total, report.total_units);
        if from_older && units.abs() > plan.burst * MAX_FIRST_UNITS {
            // The peer's view of the bucket is all that is left to go by.
            self.withheld_tokens -= units;
            if let Some(tokens) = report.tokens_level.tokens(plan.burst) {
                self.tokens = self.tokens.min((tokens - self.total_units).max(0.0));
            }
            return 0.0;
        }
        // A total that fell by more than can be given back was counted anew.
        Some(units).filter(|units| *units >= -plan.burst).unwrap_or(0.0)
    }

    /// At an owner: the answer to a usage report, had it requested a grant. What is granted is charged at
    /// once, since other gateways may ask before the next report comes.
    fn grant(&mut self, plan: &Plan, usage: &mut GatewayUsage, report: &UsageReport) -> QuotaGrant {
        let others_in_flight = self.in_flight_without(usage);
        let has_tokens = plan.burst == 0.0 || self.tokens >= report.requested_units;
        let has_concurrency = plan.concurrency_quota == 0
            || others_in_flight + u32::from(report.in_flight) < plan.concurrency_quota;
        let granted = report.requests_grant && has_tokens && has_concurrency;
        let tokens = self.tokens;
        self.reserve(usage, report, granted);
        QuotaGrant {
            customer: report.customer,
            receiver_total: report.total_units,
            tokens,
            remote_rate: (self.own_rate + self.remote_rate - usage.rate).max(0.0),
            remote_in_flight: others_in_flight.min(u32::from(MAX_REPORTED_IN_FLIGHT)) as u8,
            hard_limit_grant: self.grant_hard_limit(report),
        }
    }

    /// Units of the hard limit for a gateway, deducted here first: a lost message loses them.
    fn grant_hard_limit(&mut self, report: &UsageReport) -> f64 {
        let requested = report.requests_grant && report.needs_hard_limit_grant;
        let granted = requested && self.hard_limit.tokens >= report.requested_units;
        let units = if granted { floor_to_wire_units(report.requested_units) } else { 0.0 };
        self.hard_limit.tokens -= units;
        units
    }

    /// Elsewhere: the bucket is as an owner says, less the usage that the owner cannot know of.
    fn apply_grant(&mut self, plan: &Plan, grant: &QuotaGrant, now: Instant) {
        self.remote_rate = grant.remote_rate;
        self.remote_in_flight = u32::from(grant.remote_in_flight);
        self.granted_at = now;
        self.tokens = grant.tokens - wrapping_delta(grant.receiver_total, wrap_total(self.total_units));
        // What the owner granted it has charged, too: it need not be reported again.
        let had_tokens = plan.burst <= 0.0 || grant.tokens >= self.grant_request.units;
        let in_flight = self.remote_in_flight + self.in_flight;
        self.grant_request.charged_by_owner =
            had_tokens && (plan.concurrency_quota == 0 || in_flight < plan.concurrency_quota);
    }
}

impl Gateway {
    /// Queues a report of a customer's usage to its owners, with or without a request for a grant.
    pub(crate) fn queue_usage_report(&mut self, id: CustomerId, grant: bool, actions: &mut Vec<Action>) {
        let Some(customer) = self.quota.customers.get(&id) else { return };
        if !self.settings.limits.peer_messages {
            return;
        }
        let own_id = self.settings.own_id.0;
        let hard_limit_owners = customer.hard_limit.owners;
        let owned_by_all = self.all_gateways_own_quotas();
        // Sent twice: a lost report leaves an attempt in flight for long. A large fleet cannot afford it.
        let retransmissions = if owned_by_all { 2 } else { 1 };
        for owner in customer.quota_owners.clone().into_iter().filter(|owner| *owner != own_id) {
            let requests_grant = grant && hard_limit_owners.contains(&owner);
            self.peers.queue(owner, id, OutboxEntry { retransmissions, requests_grant });
            if requests_grant && (owned_by_all || self.peers.entry(owner).next_send_at <= self.now) {
                self.flush_outbox(owner, actions);
            }
        }
    }

    /// The report of a customer's usage to a peer that owns its quota.
    pub(crate) fn report_to(&mut self, to: u16, id: CustomerId, entry: OutboxEntry) -> Option<UsageReport> {
        let (now, own_id) = (self.now, self.settings.own_id.0);
        let customer = self.quota.refill(id, now, &self.settings.plans)?;
        let granted_lately = now.duration_since(customer.granted_at) < LEVEL_FRESHNESS;
        let level_known = customer.is_quota_owner || granted_lately;
        let burst = level_known.then_some(self.settings.plans[customer.plan].burst);
        // One of the two is drawn to grant units of the hard limit: two grants would waste one.
        let drawn = customer.hard_limit.owners[usize::from(hash(now.as_micros() ^ id.0) < 0.5)];
        let is_granter = drawn == to || customer.hard_limit.owners.contains(&own_id);
        Some(UsageReport {
            requests_grant: entry.requests_grant,
            needs_hard_limit_grant: entry.requests_grant
                && customer.grant_request.needs_hard_limit
                && is_granter,
            ..customer.usage_report(id, burst)
        })
    }

    /// A peer that starts counts its usage anew, and knows nothing as an owner: it gets one report each.
    pub(crate) fn on_new_incarnation(&mut self, peer: u16, restarted: bool) {
        // In a large fleet every peer is unknown to begin with.
        let reports_again = restarted || self.all_gateways_own_quotas();
        let mut unreported = Vec::new();
        for (id, customer) in &mut self.quota.customers {
            customer.forget_usage_of(peer);
            let is_active = self.now.duration_since(customer.last_seen_at) < ACTIVE_CUSTOMER_TIME;
            if reports_again && is_active && customer.quota_owners.contains(&peer) {
                unreported.push(*id);
            }
        }
        unreported.into_iter().for_each(|id| self.peers.queue_single_report(peer, id));
    }

    /// If all gateways started together, all buckets were full then: the tokens withheld in case this was a
    /// restart are released. A customer that is always beyond its quota would never get them otherwise.
    pub(crate) fn release_withheld_tokens(&mut self, own_incarnation: u32) {
        let is_unreleased = self.quota.usage_known_since.is_some();
        let all_known = self.peers.by_gateway.len() as u64 + 1 == self.fleet_size;
        if is_unreleased && all_known && self.peers.all_started_within(FLEET_START_WINDOW_MS, own_incarnation)
        {
            self.quota.release_withheld_tokens();
        }
    }

    /// Whether the whole fleet started lately. Later a peer may have forgotten customers.
    fn fleet_just_started(&self) -> bool {
        self.quota.usage_known_since.is_none()
            && self.now.duration_since(self.started_at) < CUSTOMER_IDLE_TIME
    }

    /// Handles the usage report of a peer, started earlier or not; the answer if it requests a grant.
    pub(crate) fn on_usage_report(
        &mut self,
        from: u16,
        is_older: bool,
        report: &UsageReport,
    ) -> Option<QuotaGrant> {
        self.observe_reported_customer(report)?;
        let (now, owned_by_all) = (self.now, self.all_gateways_own_quotas());
        let may_count_more = is_older && !self.fleet_just_started();
        let plan = &self.settings.plans[usize::from(report.plan)];
        let customer = self.quota.refill(report.customer, now, &self.settings.plans)?;
        if customer.plan != usize::from(report.plan) || !customer.is_quota_owner {
            return None;
        }
        customer.last_seen_at = customer.last_seen_at.max(now);
        let known = customer.usage_by_gateway.get(&from).copied();
        let mut usage = known.unwrap_or_default();
        let may_count_more = may_count_more && known.is_none();
        let has_fallen = wrapping_delta(usage.reported_total, report.total_units) < 0.0;
        let sender_is_owner = customer.quota_owners.contains(&from);
        if has_fallen && now.duration_since(usage.reported_at) > record_lifetime(plan, sender_is_owner) {
            usage.reported_total = 0; // The gateway has forgotten the customer meanwhile, and counts anew.
        }
        let units = customer.new_units(plan, usage.reported_total, may_count_more, report);
        // Usage beyond the quota leaves no debt at an owner whose grant is requested before each request.
        let min_tokens = if owned_by_all { -plan.burst } else { customer.tokens.min(0.0) };
        customer.tokens = (customer.tokens + usage.granted_units - units).clamp(min_tokens, plan.burst);
        // With a concurrency quota in a large fleet requests for grants are counted, the sender's included.
        let counts_requests = !owned_by_all && plan.concurrency_quota > 0;
        let counted = if counts_requests { f64::from(u8::from(report.requests_grant)) } else { units };
        let counted_for_sender = if counts_requests { 0.0 } else { units };
        usage.record(report.total_units, counted_for_sender, now, USAGE_RATE_TIME_CONSTANT);
        customer.remote_rate =
            (customer.remote_rate + counted / USAGE_RATE_TIME_CONSTANT.as_secs_f64()).max(0.0);
        let grant = customer.grant(plan, &mut usage, report);
        customer.usage_by_gateway.insert(from, usage);
        report.requests_grant.then_some(grant)
    }

    /// Takes note of a customer in a report; none if its plan is unknown. One that never came here has the
    /// tokens that the peer says, or what has come since this start.
    fn observe_reported_customer(&mut self, report: &UsageReport) -> Option<()> {
        let plan = self.settings.plans.get(usize::from(report.plan))?;
        let refilled = plan.rate * self.quota.seconds_of_known_usage(self.now);
        let presumed = if self.all_gateways_own_quotas() { refilled.min(plan.burst) } else { plan.burst };
        let reported = report.tokens_level.tokens(plan.burst).filter(|_| !self.fleet_just_started());
        let tokens = reported.unwrap_or(presumed);
        let claimed = Customer::new(usize::from(report.plan), plan, tokens, self.now);
        let set = GatewaySet { start: report.gateway_set_start, size: report.gateway_set_size.into() };
        self.record_identity(report.customer, set, claimed);
        Some(())
    }

    /// An owner grants quota, or says that there is none: the requests that wait are decided again.
    pub(crate) fn on_quota_grant(&mut self, from: u16, grant: &QuotaGrant, actions: &mut Vec<Action>) {
        let (now, plans) = (self.now, &self.settings.plans);
        let Some(customer) = self.quota.refill(grant.customer, now, plans) else { return };
        if !customer.quota_owners.contains(&from) {
            return;
        }
        if !customer.is_quota_owner {
            customer.apply_grant(&plans[customer.plan], grant, now);
        }
        customer.grant_request.answered_by.push(from);
        // Units of the hard limit are for a request that waits: kept longer, they would overfill the bucket.
        if now.duration_since(customer.grant_request.requested_at) < HARD_LIMIT_GRANT_LIFETIME {
            customer.hard_limit.granted += grant.hard_limit_grant;
        }
        // One owner may have too little: a request is rejected only once both have said so.
        let is_last = customer.hard_limit_owners_answered(self.settings.own_id.0);
        for id in customer.grant_request.waiting.clone() {
            self.admit(id, is_last, actions);
        }
    }
}
