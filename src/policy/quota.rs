//! The quotas of customers over all gateways together: their token buckets, the gateways that own the quota
//! of each customer and add up its usage, and how long a request has to wait for tokens.

use crate::{state::*, *};

/// How long a grant holds where no newer one comes. After that a customer is admitted: most are inside their
/// quota, and a large fleet whose messages are lost would otherwise reject them all.
const GRANT_LIFETIME: Duration = Duration::from_secs(2);
/// Share of an owner's messages that requests for grants on one capped customer may be; others are skipped.
const MAX_GRANT_REQUEST_SHARE: f64 = 0.25;
/// Delay of a peer's report, lost ones included, in addition to the report interval.
const REPORT_PROPAGATION_TIME: Duration = Duration::from_millis(350);
/// Least own rate of a gateway, as a part of its even share, where the usage of others is known.
const MIN_OWN_RATE: f64 = 0.1;
/// Least share of a hard limit that a wait is reckoned with.
const MIN_HARD_LIMIT_FRACTION: f64 = 0.01;
/// Part of a hard limit that two gateways hold and grant on request.
const POOLED_HARD_LIMIT: f64 = 0.5;
/// Time constant of rates of usage: longer than pauses, shorter than shifts.
pub(crate) const USAGE_RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// A customer unseen for so long counts as new to load shedding; it is forgotten once its buckets are full.
pub(crate) const CUSTOMER_IDLE_TIME: Duration = Duration::from_secs(10);
/// Requests under another plan or set of gateways that a customer's record outlasts.
const MAX_IDENTITY_CONFIDENCE: u8 = 8;
/// How often old records are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Attempts of a peer that reports nothing count as in flight for so long.
const REPORTED_IN_FLIGHT_LIFETIME: Duration = Duration::from_millis(1500);

/// Tokens that a bucket may lack because sums were rounded.
pub(crate) const ROUNDING_MARGIN: f64 = 1e-9;
/// The longest time, in seconds, that buckets are taken to need to refill.
pub(crate) const MAX_REFILL_SECONDS: f64 = 1e6;

impl Customer {
    /// This gateway's share of the customer's usage, with a floor for a gateway that sees little of it.
    fn own_share(&self, plan: &Plan) -> f64 {
        let floor = if self.is_quota_owner || self.granted_at > Instant::ZERO { MIN_OWN_RATE } else { 1.0 };
        let own_rate = self.own_rate.max(plan.rate / self.gateway_set.size.max(1.0) * floor);
        own_rate / (own_rate + self.remote_rate).max(1e-9)
    }

    /// Refills the token buckets up to now.
    pub(crate) fn refill(&mut self, plan: &Plan, now: Instant) {
        let remaining = decay(self.refilled_at, now, USAGE_RATE_TIME_CONSTANT);
        self.own_rate *= remaining;
        let refill_rate = if self.is_quota_owner {
            self.remote_rate *= remaining;
            plan.rate
        } else {
            // Between two grants the usage of other gateways goes on unreported: it is taken off the refill.
            (plan.rate - self.remote_rate).max(plan.rate * self.own_share(plan))
        };
        self.add_tokens(plan, refill_rate, now);
    }

    /// Seconds until the quota's bucket may have a request's units, where peers used some unreported.
    fn wait_for_rate(&self, plan: &Plan, unreported_units: f64, units: f64) -> Option<f64> {
        // Peers' usage is taken off, up to their share of the tokens.
        let peers_tokens = self.tokens.max(0.0) * (1.0 - self.own_share(plan));
        let available = self.tokens - unreported_units.min(peers_tokens);
        time_to_refill(available, units, plan.rate).filter(|_| plan.rate > 0.0)
    }

    /// Seconds until the hard limit's bucket may have the units of a request.
    fn wait_for_hard_limit(&self, plan: &Plan, units: f64) -> Option<f64> {
        let refill_rate = plan.hard_limit_rate * self.hard_limit.fraction.max(MIN_HARD_LIMIT_FRACTION);
        self.hard_limit.time_until(units, refill_rate).filter(|_| plan.hard_limit_rate > 0.0)
    }

    /// Whether the record has to be kept: a customer that comes again starts with full buckets. An owner
    /// keeps it for longer than the gateways that report to it: what they count on would seem new to it.
    fn must_be_kept(&self, plan: &Plan, now: Instant) -> bool {
        let in_use = self.in_flight > 0 || !self.grant_request.waiting.is_empty();
        in_use || now.duration_since(self.last_seen_at) <= record_lifetime(plan, self.is_quota_owner)
    }
}

/// How long a gateway, an owner or not, keeps the record of a customer that does not come.
pub(crate) fn record_lifetime(plan: &Plan, is_quota_owner: bool) -> Duration {
    let idle_times = if is_quota_owner { 4 } else { 2 };
    CUSTOMER_IDLE_TIME.max(refill_time(plan)) * idle_times
}

impl Gateway {
    /// Takes note of the plan and the gateways that a request or a report names for a customer. The record
    /// keeps to what most of them say, whatever the first or a single one says.
    pub(crate) fn record_identity(&mut self, id: CustomerId, set: GatewaySet, claimed: Customer) {
        let set = set.in_whole_gateways(self.settings.gateway_count);
        match self.quota.customers.get_mut(&id) {
            None => drop(self.quota.customers.insert(id, claimed)),
            Some(customer) if customer.plan == claimed.plan && customer.gateway_set == set => {
                let confidence = customer.identity_confidence + 1;
                customer.identity_confidence = confidence.min(MAX_IDENTITY_CONFIDENCE);
            }
            Some(customer) if customer.identity_confidence > 0 => customer.identity_confidence -= 1,
            Some(customer) => {
                // The bucket must not begin full again each time that somebody makes the record change.
                let hard_limit_tokens = customer.hard_limit.tokens;
                customer.replace_identity(claimed);
                return self.assign_owners(id, set, hard_limit_tokens);
            }
        }
        self.assign_owners(id, set, f64::MAX);
    }

    /// Assigns a customer's owners and this gateway's share of its hard limit, once and for all; the share's
    /// bucket holds no more than `max_tokens` to begin with.
    fn assign_owners(&mut self, id: CustomerId, set: GatewaySet, max_tokens: f64) {
        let (own_id, gateway_count) = (self.settings.own_id.0, self.settings.gateway_count);
        let age = self.now.duration_since(self.started_at).as_micros_f64();
        let owned_by_all = self.all_gateways_own_quotas();
        let unassigned = |customer: &&mut Customer| customer.quota_owners.is_empty();
        let Some(customer) = self.quota.customers.get_mut(&id).filter(unassigned) else { return };
        let plan = &self.settings.plans[customer.plan];
        let first = (hash(id.0) * set.size) as u64;
        let distance = 1 + (hash(!id.0) * (set.size - 1.0)) as u64;
        customer.gateway_set = set;
        customer.hard_limit.owners =
            [first, first + distance].map(|position| set.member(position, gateway_count));
        customer.quota_owners = if owned_by_all {
            set.members(gateway_count)
        } else {
            // In a large fleet messages are scarce: one gateway owns the quota, two a hard limit.
            let owner_count = if plan.hard_limit_rate > 0.0 { 2 } else { 1 };
            customer.hard_limit.owners[..owner_count].to_vec()
        };
        customer.quota_owners.dedup();
        customer.is_quota_owner = customer.quota_owners.contains(&own_id);
        // Each gateway has some of the hard limit for when no owner answers; the owners hold the rest.
        let owned = customer.hard_limit.owners.iter().filter(|owner| **owner == own_id).count() as f64;
        customer.hard_limit.fraction = (1.0 - POOLED_HARD_LIMIT) / set.size + owned * POOLED_HARD_LIMIT / 2.0;
        // The bucket is taken to have been empty at this start: what was used before is not known here.
        let refilled = (plan.hard_limit_rate * age / MICROS_PER_SECOND).min(plan.hard_limit_burst);
        customer.hard_limit.tokens = (refilled * customer.hard_limit.fraction).min(max_tokens);
    }

    /// How long a request has to wait for the tokens that it needs.
    pub(crate) fn wait_for_tokens(&mut self, request: &Request) -> TokenWait {
        self.quota.refill(request.customer, self.now, &self.settings.plans);
        let customer = &self.quota.customers[&request.customer];
        let plan = &self.settings.plans[customer.plan];
        let owned_by_all = self.all_gateways_own_quotas();
        let usage_known = owned_by_all || customer.is_quota_owner || self.is_recent(customer.granted_at);
        // A small fleet asks no owner first: peers have used some units since their last reports.
        let report_age = self.quota.report_interval + REPORT_PROPAGATION_TIME;
        let report_age = if owned_by_all { report_age } else { Duration::ZERO };
        let unreported_units = customer.remote_rate * report_age.as_micros_f64() / MICROS_PER_SECOND;
        let rate_wait = customer.wait_for_rate(plan, unreported_units, request.units).filter(|_| usage_known);
        // Heavy users wait at every gateway for the same attempt to end: those that peers likely began count.
        let unreported_attempts = (unreported_units / request.units.max(0.1)) as u32;
        let in_flight = customer.in_flight + customer.remote_in_flight + unreported_attempts;
        let at_concurrency_quota = if usage_known {
            in_flight >= plan.concurrency_quota
        } else {
            self.presumes_owners_overloaded(customer, plan, request)
        };
        let concurrency_wait = (plan.concurrency_quota > 0 && at_concurrency_quota).then(|| {
            let answer_time = self.latency_baselines[usize::from(request.class)].unloaded / MICROS_PER_SECOND;
            rate_wait.unwrap_or(0.0).max(answer_time)
        });
        TokenWait {
            quota: concurrency_wait.or(rate_wait),
            hard_limit: customer.wait_for_hard_limit(plan, request.units),
        }
    }

    /// Whether a time is within the lifetime of a grant.
    fn is_recent(&self, time: Instant) -> bool {
        self.now.duration_since(time) < GRANT_LIFETIME
    }

    /// Whether owners that sent no grant are taken to be overloaded by a customer far beyond its concurrency
    /// quota. Those that send other messages are; one that is silent may be down, which a lottery decides:
    /// the more a wrong admission costs, the fewer requests win.
    fn presumes_owners_overloaded(&self, customer: &Customer, plan: &Plan, request: &Request) -> bool {
        let is_alive = |peer: &Peer| self.is_recent(peer.last_heard_at);
        let draw = hash(request.id.0 ^ self.started_at.as_micros() << 24);
        let loses = draw * (1.0 + plan.over_quota_cost) > 1.0;
        let mut owners = customer.quota_owners.iter().map(|owner| self.peers.by_gateway.get(owner));
        customer.grant_request.requested_at > Instant::ZERO
            && (loses || owners.all(|owner| owner.is_some_and(is_alive)))
    }

    /// Whether a grant had better not be requested: an overloaded owner loses other messages, too.
    pub(crate) fn skips_grant_request(&mut self, request: &Request) -> bool {
        self.random_state = self.random_state.wrapping_add(1);
        let customer = &self.quota.customers[&request.customer];
        let has_concurrency_quota = self.settings.plans[customer.plan].concurrency_quota > 0;
        let max_request_rate = MAX_GRANT_REQUEST_SHARE * self.settings.limits.peer_messages_per_second;
        !self.all_gateways_own_quotas()
            && has_concurrency_quota
            && !customer.is_quota_owner
            && self.is_recent(customer.granted_at)
            && hash(self.random_state) * customer.remote_rate > max_request_rate
    }

    /// Draws units from a customer's token buckets; negative units are given back.
    pub(crate) fn charge(&mut self, id: CustomerId, units: f64) {
        if let Some(customer) = self.quota.customers.get_mut(&id) {
            customer.charge(&self.settings.plans[customer.plan], units, USAGE_RATE_TIME_CONSTANT);
        }
    }

    /// Once a second: reports customers with attempts in flight again, and forgets what is old.
    pub(crate) fn sweep(&mut self, actions: &mut Vec<Action>) {
        let (now, owned_by_all) = (self.now, self.all_gateways_own_quotas());
        if now < self.quota.next_sweep_at {
            return;
        }
        self.quota.next_sweep_at = now + SWEEP_INTERVAL;
        let mut with_attempts = Vec::new();
        self.quota.customers.retain(|id, customer| {
            let plan = &self.settings.plans[customer.plan];
            if plan.concurrency_quota > 0 && customer.is_quota_owner {
                customer.expire_reported_in_flight(now, REPORTED_IN_FLIGHT_LIFETIME);
            }
            if plan.concurrency_quota > 0 && customer.in_flight > 0 {
                with_attempts.push(*id);
            }
            // A small fleet keeps old totals: without one all that a gateway ever sent would seem new.
            let is_kept =
                |usage: &GatewayUsage| now.duration_since(usage.reported_at) <= record_lifetime(plan, true);
            customer.usage_by_gateway.retain(|_, usage| owned_by_all || is_kept(usage));
            customer.must_be_kept(plan, now)
        });
        with_attempts.into_iter().for_each(|id| self.queue_usage_report(id, false, actions));
    }
}
