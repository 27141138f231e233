//! The quotas of customers over all gateways together: their token buckets, the gateways that own the quota
//! of each customer and add up its usage, the reports of usage to the owners, and the owners' grants.

use crate::{gossip::*, state::*, *};

/// How long a grant holds where no newer one comes. After that a customer is admitted: most are inside their
/// quota, and a large fleet whose messages are lost would else reject them all.
const GRANT_LIFETIME: Micros = 2_000_000;
/// Requests for grants on one customer with a concurrency quota, as a share of the messages that its owner
/// takes in; beyond it some are skipped.
const MAX_GRANT_REQUEST_SHARE: f64 = 0.25;
/// How long a peer's report is under way, losses included, besides the report interval.
const REPORT_PROPAGATION_TIME: Micros = 350_000;
/// Part of a hard limit that two gateways hold and grant on request.
const POOLED_HARD_LIMIT: f64 = 0.5;
/// Gateways that start within so many milliseconds of each other have started together, as a fleet.
const FLEET_START_WINDOW_MS: u32 = 1500;
/// Time constant of rates of usage, in seconds: longer than pauses, shorter than shifts.
pub(crate) const USAGE_RATE_TIME_CONSTANT: f64 = 2.0;
/// A customer unseen for so long counts as new to load shedding; it is forgotten once its buckets are full.
pub(crate) const CUSTOMER_IDLE_TIME: Micros = 10_000_000;
/// Requests under another plan or set of gateways that a customer's record outlasts.
const MAX_IDENTITY_CONFIDENCE: u8 = 8;
/// Units of the hard limit that are granted later than this after the request for them lapse.
const HARD_LIMIT_GRANT_LIFETIME: Micros = 250_000;
/// Attempts of a peer that reports nothing count as in flight for so long.
const REPORTED_IN_FLIGHT_LIFETIME: Micros = 1_500_000;

impl Customer {
    /// This gateway's share of the customer's usage, with a floor for a gateway that sees little of it so
    /// far.
    fn own_share(&self, plan: &Plan) -> f64 {
        let floor = if self.is_quota_owner || self.granted_at > 0 { 0.1 } else { 1.0 };
        let own_rate = self.own_rate.max(plan.rate / self.gateway_set.size.max(1.0) * floor);
        own_rate / (own_rate + self.remote_rate).max(1e-9)
    }

    /// Refills the token buckets up to now.
    pub(crate) fn refill(&mut self, plan: &Plan, now: Micros) {
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

    /// Seconds until the quota's bucket may have the units of a request, where peers have used some
    /// unreported.
    fn wait_for_rate(&self, plan: &Plan, unreported_units: f64, units: f64) -> Option<f64> {
        // Peers' usage is taken off, up to their share of the tokens.
        let peers_tokens = self.tokens.max(0.0) * (1.0 - self.own_share(plan));
        let available = self.tokens - unreported_units.min(peers_tokens);
        time_to_refill(available, units, plan.rate).filter(|_| plan.rate > 0.0)
    }

    /// Seconds until the hard limit's bucket may have the units of a request.
    fn wait_for_hard_limit(&self, plan: &Plan, units: f64) -> Option<f64> {
        let available = self.hard_limit_tokens + self.hard_limit_grant;
        let refill_rate = plan.hard_limit_rate * self.hard_limit_fraction.max(0.01);
        time_to_refill(available, units, refill_rate).filter(|_| plan.hard_limit_rate > 0.0)
    }

    /// Whether the record has to be kept: a customer that comes again starts with full buckets.
    fn must_be_kept(&self, plan: &Plan, now: Micros) -> bool {
        let in_use = self.in_flight > 0 || !self.awaiting_grant.is_empty();
        in_use || now - self.last_seen_at <= 2 * CUSTOMER_IDLE_TIME.max(refill_time(plan))
    }

    /// At an owner: the units used through a gateway since its last report. The total of one that started
    /// before this gateway may count usage of that time, too.
    fn new_units(&mut self, plan: &Plan, last_total: u16, from_older: bool, report: &UsageReport) -> f64 {
        let units = wrapping_delta(last_total, report.total_units);
        if from_older && units.abs() > plan.burst / 4.0 {
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

    /// Units of the hard limit for a gateway. They are deducted here first: with a lost message they are
    /// lost.
    fn grant_hard_limit(&mut self, report: &UsageReport) -> f64 {
        let requested = report.requests_grant && report.needs_hard_limit_grant;
        let granted = requested && self.hard_limit_tokens >= report.requested_units;
        let units = if granted { floor_to_wire_units(report.requested_units) } else { 0.0 };
        self.hard_limit_tokens -= units;
        units
    }

    /// Elsewhere: the bucket is as an owner says, less the usage that the owner cannot know of.
    fn apply_grant(&mut self, plan: &Plan, grant: &QuotaGrant, now: Micros) {
        self.remote_rate = grant.remote_rate;
        self.remote_in_flight = u32::from(grant.remote_in_flight);
        self.granted_at = now;
        self.tokens = grant.tokens - wrapping_delta(grant.receiver_total, wrap_total(self.total_units));
        // What the owner granted it has charged, too: it need not be reported again.
        let had_tokens = plan.burst <= 0.0 || grant.tokens >= self.requested_units;
        let in_flight = self.remote_in_flight + self.in_flight;
        self.charged_by_owner =
            had_tokens && (plan.concurrency_quota == 0 || in_flight < plan.concurrency_quota);
    }
}

impl Gateway {
    /// Takes note of the plan and the gateways that a request or a report names for a customer. The record
    /// keeps to what most of them say: one with another customer's settings changes nothing, nor is the first
    /// one final.
    pub(crate) fn record_identity(&mut self, id: CustomerId, set: GatewaySet, claimed: Customer) {
        let set = set.in_whole_gateways(self.settings.gateway_count);
        match self.quota.customers.get_mut(&id) {
            None => drop(self.quota.customers.insert(id, claimed)),
            Some(customer) if customer.plan == claimed.plan && customer.gateway_set == set => {
                let confidence = customer.identity_confidence + 1;
                customer.identity_confidence = confidence.min(MAX_IDENTITY_CONFIDENCE);
            }
            Some(customer) if customer.identity_confidence > 0 => customer.identity_confidence -= 1,
            Some(customer) => customer.replace_identity(claimed),
        }
        self.assign_owners(id, set);
    }

    /// Assigns a customer's owners and this gateway's part of its hard limit, once: no part may be given out
    /// twice.
    fn assign_owners(&mut self, id: CustomerId, set: GatewaySet) {
        let (own_id, gateway_count) = (self.settings.own_id.0, self.settings.gateway_count);
        let age = (self.now - self.started_at) as f64;
        let owned_by_all = self.all_gateways_own_quotas();
        let unassigned = |customer: &&mut Customer| customer.quota_owners.is_empty();
        let Some(customer) = self.quota.customers.get_mut(&id).filter(unassigned) else { return };
        let plan = &self.settings.plans[customer.plan];
        let first = (hash(id.0) * set.size) as u64;
        let distance = 1 + (hash(!id.0) * (set.size - 1.0)) as u64;
        customer.gateway_set = set;
        customer.hard_limit_owners =
            [first, first + distance].map(|position| set.member(position, gateway_count));
        customer.quota_owners = if owned_by_all {
            set.members(gateway_count)
        } else {
            // In a large fleet messages are scarce: one gateway owns the quota, or both that own a hard
            // limit.
            let owner_count = if plan.hard_limit_rate > 0.0 { 2 } else { 1 };
            customer.hard_limit_owners[..owner_count].to_vec()
        };
        customer.quota_owners.dedup();
        customer.is_quota_owner = customer.quota_owners.contains(&own_id);
        // Each gateway has some of the hard limit for the time that it hears of no owner; the two hold the
        // rest.
        let owned = customer.hard_limit_owners.iter().filter(|owner| **owner == own_id).count() as f64;
        customer.hard_limit_fraction = (1.0 - POOLED_HARD_LIMIT) / set.size + owned * POOLED_HARD_LIMIT / 2.0;
        // The bucket is taken to have been empty at this start: what was used before is not known here.
        customer.hard_limit_tokens =
            (plan.hard_limit_rate * age / SECOND).min(plan.hard_limit_burst) * customer.hard_limit_fraction;
    }

    /// How long a request has to wait for the tokens that it needs.
    pub(crate) fn wait_for_tokens(&mut self, request: &Request) -> TokenWait {
        self.quota.refill(request.customer, self.now, &self.settings.plans);
        let customer = &self.quota.customers[&request.customer];
        let plan = &self.settings.plans[customer.plan];
        let owned_by_all = self.all_gateways_own_quotas();
        let usage_known = owned_by_all || customer.is_quota_owner || self.is_recent(customer.granted_at);
        // In a large fleet an owner is asked first. In a small one peers have used some since their last
        // reports.
        let report_age = self.quota.report_interval + REPORT_PROPAGATION_TIME;
        let report_age = if owned_by_all { report_age } else { 0 };
        let unreported_units = customer.remote_rate * report_age as f64 / SECOND;
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
            let answer_time = self.latency_baselines[usize::from(request.class)].unloaded / SECOND;
            rate_wait.unwrap_or(0.0).max(answer_time)
        });
        TokenWait {
            quota: concurrency_wait.or(rate_wait),
            hard_limit: customer.wait_for_hard_limit(plan, request.units),
        }
    }

    /// Whether a time is within the lifetime of a grant.
    fn is_recent(&self, time: Micros) -> bool {
        self.now - time.min(self.now) < GRANT_LIFETIME
    }

    /// Whether owners that sent no grant are taken to be overloaded by a customer far beyond its concurrency
    /// quota. Those that send other messages are; one that is silent may be down, which a lottery decides:
    /// the more a wrong admission costs, the fewer requests win.
    fn presumes_owners_overloaded(&self, customer: &Customer, plan: &Plan, request: &Request) -> bool {
        let is_alive = |peer: &Peer| self.is_recent(peer.last_heard_at);
        let draw = hash(request.id.0 ^ self.started_at << 24);
        let loses = draw * (1.0 + plan.over_quota_cost) > 1.0;
        let mut owners = customer.quota_owners.iter().map(|owner| self.peers.by_gateway.get(owner));
        customer.grant_requested_at > 0 && (loses || owners.all(|owner| owner.is_some_and(is_alive)))
    }

    /// Whether a grant had better not be requested: an owner with more messages than it takes in loses
    /// reports of other customers, too. A lottery leaves some requests.
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

    /// Queues a report of a customer's usage to its owners, with or without a request for a grant.
    pub(crate) fn queue_usage_report(&mut self, id: CustomerId, request: bool, actions: &mut Vec<Action>) {
        let Some(customer) = self.quota.customers.get(&id) else { return };
        if !self.settings.limits.peer_messages {
            return;
        }
        let own_id = self.settings.own_id.0;
        let hard_limit_owners = customer.hard_limit_owners;
        let owned_by_all = self.all_gateways_own_quotas();
        // Sent twice: a lost one would leave an attempt in flight for long. A large fleet has no messages to
        // spare.
        let retransmissions = if owned_by_all { 2 } else { 1 };
        for owner in customer.quota_owners.clone().into_iter().filter(|owner| *owner != own_id) {
            let requests_grant = request && hard_limit_owners.contains(&owner);
            self.peers.queue(owner, id, OutboxEntry { retransmissions, requests_grant });
            if requests_grant && (owned_by_all || self.peers.entry(owner).next_send_at <= self.now) {
                self.flush_outbox(owner, actions);
            }
        }
    }

    /// What a peer that owns a customer's quota is told of its usage.
    pub(crate) fn report_to(&mut self, to: u16, id: CustomerId, entry: OutboxEntry) -> Option<UsageReport> {
        let (now, own_id) = (self.now, self.settings.own_id.0);
        let customer = self.quota.refill(id, now, &self.settings.plans)?;
        let granted_lately = now - customer.granted_at.min(now) < CUSTOMER_IDLE_TIME / 10;
        let level_known = customer.is_quota_owner || granted_lately;
        let burst = level_known.then_some(self.settings.plans[customer.plan].burst);
        // One of the two is drawn to grant units of the hard limit: two grants would waste one.
        let drawn = customer.hard_limit_owners[usize::from(hash(now ^ id.0) < 0.5)];
        let is_granter = drawn == to || customer.hard_limit_owners.contains(&own_id);
        Some(UsageReport {
            requests_grant: entry.requests_grant,
            needs_hard_limit_grant: entry.requests_grant && customer.needs_hard_limit_grant && is_granter,
            ..customer.usage_report(id, burst)
        })
    }

    /// Once a second: reports customers with attempts in flight again, and forgets what is old.
    pub(crate) fn sweep(&mut self, actions: &mut Vec<Action>) {
        let (now, owned_by_all) = (self.now, self.all_gateways_own_quotas());
        if now < self.quota.next_sweep_at {
            return;
        }
        self.quota.next_sweep_at = now + SECOND as Micros;
        let mut with_attempts = Vec::new();
        self.quota.customers.retain(|id, customer| {
            let plan = &self.settings.plans[customer.plan];
            if plan.concurrency_quota > 0 && customer.is_quota_owner {
                customer.expire_reported_in_flight(now, REPORTED_IN_FLIGHT_LIFETIME);
            }
            if plan.concurrency_quota > 0 && customer.in_flight > 0 {
                with_attempts.push(*id);
            }
            // Totals go on: once one is forgotten, all that was ever sent through its gateway would pass for
            // new.
            let is_kept = |usage: &GatewayUsage| now - usage.reported_at <= 2 * CUSTOMER_IDLE_TIME;
            customer.usage_by_gateway.retain(|_, usage| owned_by_all || is_kept(usage));
            customer.must_be_kept(plan, now)
        });
        with_attempts.into_iter().for_each(|id| self.queue_usage_report(id, false, actions));
    }

    /// Takes in a message from a peer.
    pub(crate) fn on_peer_message(&mut self, from: GatewayId, bytes: &[u8], actions: &mut Vec<Action>) {
        let Some((message, receipt)) = self.receive_message(from, bytes) else { return };
        if let Receipt::NewIncarnation { restarted } = receipt {
            self.on_new_incarnation(from.0, restarted);
        }
        let own_incarnation = incarnation_of(self.started_at);
        self.release_withheld_tokens(own_incarnation);
        self.record_peer_samples(&message.samples);
        match message.body {
            Body::UsageReports(reports) => {
                let is_older = message.incarnation < own_incarnation;
                let grants =
                    reports.iter().filter_map(|report| self.on_usage_report(from.0, is_older, report));
                let grants: Vec<QuotaGrant> = grants.collect();
                if !grants.is_empty() {
                    let body = Body::QuotaGrants { receiver_incarnation: message.incarnation, grants };
                    self.send_message(from.0, body, actions);
                }
            }
            // Grants for an earlier incarnation of this gateway would count twice.
            Body::QuotaGrants { receiver_incarnation, .. } if receiver_incarnation != own_incarnation => {}
            Body::QuotaGrants { grants, .. } => {
                grants.iter().for_each(|grant| self.on_quota_grant(from.0, grant, actions));
            }
        }
    }

    /// A peer that starts counts its usage anew. As an owner it knows nothing: it is told once.
    fn on_new_incarnation(&mut self, peer: u16, restarted: bool) {
        // In a large fleet every peer is unknown to begin with.
        let reports_again = restarted || self.all_gateways_own_quotas();
        let mut unreported = Vec::new();
        for (id, customer) in &mut self.quota.customers {
            customer.forget_usage_of(peer);
            let is_active = self.now - customer.last_seen_at < CUSTOMER_IDLE_TIME / 5;
            if reports_again && is_active && customer.quota_owners.contains(&peer) {
                unreported.push(*id);
            }
        }
        unreported.into_iter().for_each(|id| self.peers.queue_single_report(peer, id));
    }

    /// Once all gateways turn out to have started together, buckets were full then: what was withheld of
    /// each, lest a restart refill it, is given out. A customer always beyond its quota would never get it
    /// otherwise.
    fn release_withheld_tokens(&mut self, own_incarnation: u32) {
        let is_unreleased = self.quota.usage_known_since.is_some();
        let all_known = self.peers.by_gateway.len() as u64 + 1 == self.fleet_size;
        if is_unreleased && all_known && self.peers.all_started_within(FLEET_START_WINDOW_MS, own_incarnation)
        {
            self.quota.release_withheld_tokens();
        }
    }

    /// Whether this gateway started lately, and the whole fleet with it. Later a peer may have forgotten
    /// customers.
    fn fleet_just_started(&self) -> bool {
        self.quota.usage_known_since.is_none() && self.now - self.started_at < CUSTOMER_IDLE_TIME
    }

    /// A peer, one that started before this gateway or not, reports its usage of a customer; the answer if it
    /// requests a grant.
    fn on_usage_report(&mut self, from: u16, is_older: bool, report: &UsageReport) -> Option<QuotaGrant> {
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
        let units = customer.new_units(plan, usage.reported_total, may_count_more, report);
        // Usage beyond the quota leaves no debt with an owner that is asked before each request.
        let min_tokens = if owned_by_all { -plan.burst } else { customer.tokens.min(0.0) };
        customer.tokens = (customer.tokens + usage.granted_units - units).clamp(min_tokens, plan.burst);
        // With a concurrency quota in a large fleet the rate is that of requests for grants, the sender's
        // included.
        let counts_requests = !owned_by_all && plan.concurrency_quota > 0;
        let counted = if counts_requests { f64::from(u8::from(report.requests_grant)) } else { units };
        let counted_for_sender = if counts_requests { 0.0 } else { units };
        usage.record(report.total_units, counted_for_sender, now, USAGE_RATE_TIME_CONSTANT);
        customer.remote_rate = (customer.remote_rate + counted / USAGE_RATE_TIME_CONSTANT).max(0.0);
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
    fn on_quota_grant(&mut self, from: u16, grant: &QuotaGrant, actions: &mut Vec<Action>) {
        let (now, plans) = (self.now, &self.settings.plans);
        let Some(customer) = self.quota.refill(grant.customer, now, plans) else { return };
        if !customer.quota_owners.contains(&from) {
            return;
        }
        if !customer.is_quota_owner {
            customer.apply_grant(&plans[customer.plan], grant, now);
        }
        customer.owners_answered.push(from);
        // Units of the hard limit are for a request that waits: kept longer, they would overfill the bucket.
        if now - customer.grant_requested_at < HARD_LIMIT_GRANT_LIFETIME {
            customer.hard_limit_grant += grant.hard_limit_grant;
        }
        // One owner may have too little: a request is rejected only once both have said so.
        let is_last = customer.hard_limit_owners_answered(self.settings.own_id.0);
        for id in customer.awaiting_grant.clone() {
            self.admit(id, is_last, actions);
        }
    }
}
