//! The quotas of customers over all gateways together: their stores, the homes that count for each, what
//! gateways tell them of use, and their word. Decisions as in `control.rs`, which asks here for room.
use crate::{gossip::*, state::*, *};

/// How long a home's word stands where it cannot be had anew. Past that a customer is let in: most are inside
/// their quota, and a large fleet whose messages are lost would else refuse them all.
const GRANT_LIFETIME: Micros = 2_000_000;
/// Share of what a home takes in that questions on one capped customer may be: past it they are thinned out.
const MAX_GRANT_REQUEST_SHARE: f64 = 0.25;
/// Besides a report interval: how long a peer's usage is under way, with losses.
const REPORT_PROPAGATION_TIME: Micros = 350_000;
/// Part of a hard limit that lies with two gateways, who hand it out on demand.
const POOLED_HARD_LIMIT: f64 = 0.5;
/// Gateways that start within so many milliseconds of each other start a fleet.
const FLEET_START_WINDOW_MS: u32 = 1500;
/// Memory of usage in seconds: longer than pauses, shorter than shifts.
pub(crate) const USAGE_RATE_TIME_CONSTANT: f64 = 2.0;
/// A customer unseen for so long counts as new to load shedding; it is forgotten once its buckets are full.
pub(crate) const CUSTOMER_IDLE_TIME: Micros = 10_000_000;
/// Requests under another plan or set of gateways that a customer's record bears.
const MAX_IDENTITY_CONFIDENCE: u8 = 8;
/// Hard limit units that come later than this after the request for them lapse.
const HARD_LIMIT_GRANT_LIFETIME: Micros = 250_000;

/// Seconds until there may be tokens; none where there are enough now.
pub(crate) struct TokenWait {
    pub quota: Option<f64>,
    pub hard_limit: Option<f64>,
}

impl Customer {
    /// The part of the use that is this gateway's own, with a floor for those that begin.
    pub(crate) fn own_share(&self, plan: &Plan) -> f64 {
        let floor = if self.is_quota_owner || self.granted_at > 0 { 0.1 } else { 1.0 };
        let own = self.own_rate.max(plan.rate / self.gateway_set_size.max(1.0) * floor);
        own / (own + self.remote_rate).max(1e-9)
    }
}

impl Gateway {
    /// Takes in what a request or a peer says of a customer's plan and set. The record keeps to what most
    /// say: one that comes with the settings of another changes nothing, nor does the first for good.
    pub(crate) fn record_identity(&mut self, id: CustomerId, first: u16, width: u16, new: Customer) {
        let set = f64::from(width.clamp(1, self.settings.gateway_count));
        match self.quota.customers.get_mut(&id) {
            None => drop(self.quota.customers.insert(id, new)),
            Some(c) if (c.plan, c.gateway_set_start, c.gateway_set_size) == (new.plan, first, set) => {
                c.identity_confidence = (c.identity_confidence + 1).min(MAX_IDENTITY_CONFIDENCE);
            }
            Some(c) if c.identity_confidence > 0 => c.identity_confidence -= 1,
            Some(c) => {
                let old = std::mem::replace(c, new);
                (c.awaiting_grant, c.in_flight, c.total_units) =
                    (old.awaiting_grant, old.in_flight, old.total_units);
            }
        }
        self.assign_owners(id, first, width);
    }

    /// Fixes, for good, a customer's homes and the part of its ceiling here: not to be given out twice.
    pub(crate) fn assign_owners(&mut self, id: CustomerId, first: u16, width: u16) {
        let (few, me, all, life) = (
            self.quota.report_interval > 0,
            self.settings.own_id.0,
            self.settings.gateway_count,
            self.now - self.started_at,
        );
        let Some(c) = self.quota.customers.get_mut(&id).filter(|c| c.quota_owners.is_empty()) else { return };
        let (plan, set) = (&self.settings.plans[c.plan], u64::from(width.clamp(1, all)));
        let at = |n: u64| ((u64::from(first) + n % set) % u64::from(all)) as u16;
        let one = (hash(id.0) * set as f64) as u64;
        let other = 1 + (hash(!id.0) * (set as f64 - 1.0)) as u64;
        (c.gateway_set_start, c.gateway_set_size, c.hard_limit_owners) =
            (first, set as f64, [at(one), at(one + other)]);
        // In a large fleet one counts, and is asked before each request: messages are scarce.
        // A ceiling lies with both.
        let asked = if plan.hard_limit_rate > 0.0 { 2 } else { 1 };
        c.quota_owners = if few { (0..set).map(at).collect() } else { c.hard_limit_owners[..asked].to_vec() };
        c.quota_owners.dedup();
        c.is_quota_owner = c.quota_owners.contains(&me);
        // Half of the ceiling lies with two, who hand it out; each has some for when they are not heard.
        let pools = c.hard_limit_owners.iter().filter(|p| **p == me).count() as f64;
        c.hard_limit_fraction =
            (1.0 - POOLED_HARD_LIMIT) / c.gateway_set_size + pools * POOLED_HARD_LIMIT / 2.0;
        // It counts from nothing at this start: what went before is not known here.
        c.hard_limit_tokens =
            (plan.hard_limit_rate * life as f64 / SECOND).min(plan.hard_limit_burst) * c.hard_limit_fraction;
    }

    /// Fills a customer's stores up to now.
    pub(crate) fn refill(&mut self, id: CustomerId) -> Option<&mut Customer> {
        let now = self.now;
        let c = self.quota.customers.get_mut(&id)?;
        let plan = &self.settings.plans[c.plan];
        let span = (now - c.refilled_at) as f64 / SECOND;
        let keep = decay(c.refilled_at, now, USAGE_RATE_TIME_CONSTANT);
        c.own_rate *= keep;
        let mut filling = plan.rate;
        if c.is_quota_owner {
            c.remote_rate *= keep;
        } else {
            // Between two words of a home, the use that goes on unheard is taken off the filling.
            filling = (plan.rate - c.remote_rate).max(plan.rate * c.own_share(plan));
        }
        c.tokens = (c.tokens + filling * span).min(plan.burst);
        c.hard_limit_tokens = (c.hard_limit_tokens + plan.hard_limit_rate * c.hard_limit_fraction * span)
            .min(plan.hard_limit_burst * c.hard_limit_fraction);
        c.refilled_at = now;
        Some(c)
    }

    /// Seconds until the quota, and the ceiling, may have room; none where there is room now.
    pub(crate) fn wait_for_tokens(&mut self, req: &Request) -> TokenWait {
        self.refill(req.customer);
        let c = &self.quota.customers[&req.customer];
        let plan = &self.settings.plans[c.plan];
        // A home in a large fleet is asked first: it knows of all. Elsewhere there is only its latest word.
        let few = self.quota.report_interval > 0;
        let unheard = if few {
            c.remote_rate * (self.quota.report_interval + REPORT_PROPAGATION_TIME) as f64 / SECOND
        } else {
            0.0
        };
        let recent = |at: Micros| self.now - at.min(self.now) < GRANT_LIFETIME;
        let told = few || c.is_quota_owner || recent(c.granted_at);
        // A home that talks, but not on this, is overrun by a customer with more than it may have out.
        let talks = |h: &u16| self.peers.by_gateway.get(h).is_some_and(|p| recent(p.last_heard_at));
        // One that was asked and not heard may be overrun as well, or down: some are let in, by lot, and the
        // fewer the more it costs to be wrong.
        let lot = hash(req.id.0 ^ self.started_at << 24) * (1.0 + plan.over_quota_cost) > 1.0;
        let overrun = !told && c.grant_requested_at > 0 && (lot || c.quota_owners.iter().all(talks));
        let mut quota = None;
        if plan.rate > 0.0 {
            // The room left, split by use heard; the peers' part is no more than what they pass unheard.
            let room = c.tokens - unheard.min(c.tokens.max(0.0) * (1.0 - c.own_share(plan)));
            if told && room + 1e-9 < req.units {
                quota = Some((req.units - room) / plan.rate);
            }
        }
        // Heavy users wait at every gateway for the same free place: what peers likely began unheard counts.
        let open = c.in_flight + c.remote_in_flight + (unheard / req.units.max(0.1)) as u32;
        if plan.concurrency_quota > 0 && (overrun || told && open >= plan.concurrency_quota) {
            quota = Some(
                quota.unwrap_or(0.0).max(self.latency_baselines[usize::from(req.class)].unloaded / SECOND),
            );
        }
        let has = c.hard_limit_tokens + c.hard_limit_grant;
        let short = plan.hard_limit_rate > 0.0 && has + 1e-9 < req.units;
        let hard_limit =
            short.then(|| (req.units - has) / (plan.hard_limit_rate * c.hard_limit_fraction.max(0.01)));
        TokenWait { quota, hard_limit }
    }

    /// Whether a question is better not put: a home that is asked more than it takes in loses the ends of
    /// attempts and the words on others as well. Some are still put, by lot.
    pub(crate) fn skips_grant_request(&mut self, req: &Request) -> bool {
        self.random_state = self.random_state.wrapping_add(1);
        let c = &self.quota.customers[&req.customer];
        let capped = self.quota.report_interval == 0 && self.settings.plans[c.plan].concurrency_quota > 0;
        let told = !c.is_quota_owner && self.now - c.granted_at.min(self.now) < GRANT_LIFETIME;
        capped
            && told
            && hash(self.random_state) * c.remote_rate
                > MAX_GRANT_REQUEST_SHARE * self.settings.limits.peer_messages_per_second
    }

    /// Draws a request's units from the stores, or gives them back (`sign` -1) when it was never sent.
    pub(crate) fn charge(&mut self, req: &Request, sign: f64) {
        let Some(c) = self.quota.customers.get_mut(&req.customer) else { return };
        let plan = &self.settings.plans[c.plan];
        let units = req.units * sign;
        c.tokens = (c.tokens - units).clamp(-plan.burst, plan.burst);
        let granted = units.clamp(0.0, c.hard_limit_grant);
        c.hard_limit_grant -= granted;
        c.hard_limit_tokens =
            (c.hard_limit_tokens - units + granted).min(plan.hard_limit_burst * c.hard_limit_fraction);
        c.total_units += units;
        c.own_rate = (c.own_rate + units / USAGE_RATE_TIME_CONSTANT).max(0.0);
    }

    /// Puts a customer on the way to its homes.
    pub(crate) fn queue_usage_report(&mut self, id: CustomerId, ask: bool, actions: &mut Vec<Action>) {
        let Some(c) = self.quota.customers.get(&id).filter(|_| self.settings.limits.peer_messages) else {
            return;
        };
        let (me, pools) = (self.settings.own_id.0, c.hard_limit_owners);
        for home in c.quota_owners.clone().into_iter().filter(|h| *h != me) {
            // Told twice: a lost end would hold a place for long. In a large fleet it costs another's word.
            let times = if self.quota.report_interval > 0 { 2 } else { 1 };
            let ask = ask && pools.contains(&home); // in a small fleet there are homes besides
            self.peers.queue(home, id, OutboxEntry { retransmissions: times, requests_grant: ask });
            if ask && (self.peers.entry(home).next_send_at <= self.now || self.quota.report_interval > 0) {
                self.flush_outbox(home, actions);
            }
        }
    }

    /// Sends a peer what waits for it, as much as a message holds.
    pub(crate) fn flush_outbox(&mut self, to: u16, actions: &mut Vec<Action>) {
        let Some(batch) = self.peers.next_batch(to) else { return };
        let (mut uses, now, me) = (Vec::new(), self.now, self.settings.own_id.0);
        for (customer, entry) in batch {
            let plan = self.quota.customers.get(&customer).map(|c| &self.settings.plans[c.plan]);
            let burst = plan.map_or(0.0, |plan| plan.burst);
            let Some(c) = self.refill(customer) else { continue };
            let known = c.is_quota_owner || now - c.granted_at.min(now) < CUSTOMER_IDLE_TIME / 10;
            // One of the two is asked for hard limit units, by lot: two grants would waste one.
            let chosen = c.hard_limit_owners[usize::from(hash(now ^ customer.0) < 0.5)];
            let asked = chosen == to || c.hard_limit_owners.contains(&me);
            let report = c.usage_report(customer, known.then_some(burst));
            uses.push(UsageReport {
                requests_grant: entry.requests_grant,
                needs_hard_limit_grant: entry.requests_grant && c.needs_hard_limit_grant && asked,
                ..report
            });
        }
        self.send_message(to, Body::UsageReports(uses), actions);
    }

    /// What is done once a second: what is long out is told again, what is old is forgotten.
    pub(crate) fn sweep(&mut self, actions: &mut Vec<Action>) {
        let (now, plans, few, mut again) =
            (self.now, &self.settings.plans, self.quota.report_interval > 0, Vec::new());
        if now < self.quota.next_sweep_at {
            return;
        }
        self.quota.next_sweep_at = now + SECOND as Micros;
        self.quota.customers.retain(|id, c| {
            let p = &plans[c.plan];
            if p.concurrency_quota > 0 && c.is_quota_owner {
                // Attempts of a peer that fell silent hold no place for ever.
                c.usage_by_gateway
                    .values_mut()
                    .filter(|h| now - h.reported_at > 1_500_000)
                    .for_each(|h| h.in_flight = 0);
                c.remote_in_flight = c.usage_by_gateway.values().map(|h| u32::from(h.in_flight)).sum();
            }
            if p.concurrency_quota > 0 && c.in_flight > 0 {
                again.push(*id);
            }
            // Their counts go on: once forgotten, all that one let through would pass for new.
            c.usage_by_gateway.retain(|_, h| few || now - h.reported_at <= 2 * CUSTOMER_IDLE_TIME);
            // Kept until both stores are full for sure: a customer met anew starts with full ones.
            // Without a rate this is 0 / 0, a NaN, which the cast turns into 0.
            let full = (p.burst / p.rate).max(p.hard_limit_burst / p.hard_limit_rate).clamp(0.0, 1e6);
            c.in_flight > 0
                || !c.awaiting_grant.is_empty()
                || now - c.last_seen_at <= 2 * CUSTOMER_IDLE_TIME.max((full * SECOND) as Micros)
        });
        again.into_iter().for_each(|id| self.queue_usage_report(id, false, actions));
    }

    pub(crate) fn on_peer_message(&mut self, from: GatewayId, bytes: &[u8], actions: &mut Vec<Action>) {
        let Some(m) = Message::decode(bytes) else { return };
        let (now, mine) = (self.now, incarnation_of(self.started_at));
        if from == self.settings.own_id || from.0 >= self.settings.gateway_count {
            return;
        }
        let peer = self.peers.entry(from.0);
        if peer.incarnation != m.incarnation {
            if m.incarnation < peer.incarnation {
                return; // from before its restart
            }
            // In a large fleet every peer is unknown to begin with.
            let again = self.quota.report_interval > 0 || peer.incarnation > 0;
            (peer.incarnation, peer.last_sequence) = (m.incarnation, m.sequence.wrapping_sub(1));
            let mut untold = Vec::new(); // a home that starts knows nothing: it is told once
            for (id, c) in &mut self.quota.customers {
                if let Some(h) = c.usage_by_gateway.remove(&from.0) {
                    c.remote_in_flight -= u32::from(h.in_flight).min(c.remote_in_flight);
                }
                if again && c.quota_owners.contains(&from.0) && now - c.last_seen_at < CUSTOMER_IDLE_TIME / 5
                {
                    untold.push(*id);
                }
            }
            untold.into_iter().for_each(|id| self.peers.queue_single_report(from.0, id));
        }
        let peer = self.peers.entry(from.0);
        if m.sequence.wrapping_sub(peer.last_sequence) as i16 <= 0 {
            return; // a repeat, or overtaken
        }
        (peer.last_sequence, peer.last_heard_at) = (m.sequence, now);
        self.release_withheld_tokens(mine);
        for s in m.samples {
            let class = usize::from(s.class);
            let (backend, settings) = (self.backends.by_tag(s.backend_tag), self.settings.classes.get(class));
            let (Some(backend), Some(settings)) = (backend, settings) else { continue };
            let latency = s.relative_latency.map(|relative| relative * settings.latency_objective as f64);
            self.record_observation(Observation { backend, class, latency, source: Source::Peer });
        }
        match m.body {
            Body::UsageReports(uses) => {
                let news =
                    uses.into_iter().filter_map(|u| self.on_usage_report(from.0, m.incarnation >= mine, u));
                let news: Vec<QuotaGrant> = news.collect();
                if !news.is_empty() {
                    let body = Body::QuotaGrants { receiver_incarnation: m.incarnation, grants: news };
                    self.send_message(from.0, body, actions);
                }
            }
            // Only to the incarnation it was meant for, and by its number only once: a repeat mints nothing.
            Body::QuotaGrants { receiver_incarnation, .. } if receiver_incarnation != mine => {}
            Body::QuotaGrants { grants, .. } => {
                grants.into_iter().for_each(|n| self.on_quota_grant(from.0, n, actions))
            }
        }
    }

    /// Where all turn out to have started with this one, stores were full then: what was held back of each,
    /// lest a restart fill it anew, is given out once. One always past its quota would never get it.
    pub(crate) fn release_withheld_tokens(&mut self, mine: u32) {
        let all = self.peers.by_gateway.len() as u64 + 1 == self.fleet_size;
        if all
            && self.quota.usage_known_since.is_some()
            && self.peers.by_gateway.values().all(|p| p.incarnation.abs_diff(mine) <= FLEET_START_WINDOW_MS)
        {
            self.quota.usage_known_since = None;
            self.quota
                .customers
                .values_mut()
                .for_each(|c| c.tokens += std::mem::take(&mut c.withheld_tokens).max(0.0));
        }
    }

    /// A gateway told its use of a customer; the answer if it asked.
    pub(crate) fn on_usage_report(&mut self, from: u16, younger: bool, u: UsageReport) -> Option<QuotaGrant> {
        let (now, life) = (self.now, self.quota.seconds_of_known_usage(self.now));
        // Later one may have forgotten.
        let young = self.quota.usage_known_since.is_none() && now - self.started_at < CUSTOMER_IDLE_TIME;
        let plan = self.settings.plans.get(usize::from(u.plan))?;
        let few = self.quota.report_interval > 0;
        let (burst, cap) = (plan.burst, plan.concurrency_quota);
        let told = u.tokens_level.tokens(burst);
        let unknown = if few { (plan.rate * life).min(burst) } else { burst };
        let level = told.filter(|_| !young).unwrap_or(unknown);
        // A customer that never came here: the sender's view, or what was refilled since this start.
        let new = Customer::new(usize::from(u.plan), plan, level, now);
        self.record_identity(u.customer, u.gateway_set_start, u.gateway_set_size, new);
        let c = self.refill(u.customer)?;
        if c.plan != usize::from(u.plan) || !c.is_quota_owner {
            return None; // not a home of this one
        }
        c.last_seen_at = c.last_seen_at.max(now);
        let known = c.usage_by_gateway.contains_key(&from);
        let h = c.usage_by_gateway.entry(from).or_default();
        let mut delta = wrapping_delta(h.reported_total, u.total_units);
        if !known && !younger && !young && delta.abs() > burst / 4.0 {
            // Its count is older than this start: its view of the store is what is left to go by.
            (c.withheld_tokens, delta) = (c.withheld_tokens - delta, 0.0);
            if let Some(told) = told {
                c.tokens = c.tokens.min((told - c.total_units).max(0.0));
            }
        } else if delta < -burst {
            delta = 0.0; // it counts anew
        }
        // What went on beyond the quota takes nothing: a home that is asked first owes nothing for it.
        let least = if few { -burst } else { c.tokens.min(0.0) };
        c.tokens = (c.tokens + h.granted_units - delta).clamp(least, burst);
        h.rate = (h.rate * decay(h.reported_at, now, USAGE_RATE_TIME_CONSTANT)
            + delta / USAGE_RATE_TIME_CONSTANT)
            .max(0.0);
        // Of a capped customer in a large fleet it is told how often it is asked for.
        let asked = if few || cap == 0 { delta } else { f64::from(u8::from(u.requests_grant)) };
        c.remote_rate = (c.remote_rate + asked / USAGE_RATE_TIME_CONSTANT).max(0.0);
        let others = c.in_flight + c.remote_in_flight.saturating_sub(u32::from(h.in_flight));
        // Where there is room it is taken as used at once: others ask before the asker's next message comes.
        let free = u.requests_grant
            && (burst == 0.0 || c.tokens >= u.requested_units)
            && (cap == 0 || others + u32::from(u.in_flight) < cap);
        let open = u.in_flight + u8::from(free && u.in_flight < 127);
        c.remote_in_flight = others - c.in_flight + u32::from(open);
        (h.reported_total, h.reported_at, h.in_flight) = (u.total_units, now, open);
        let (level, its) = (c.tokens, h.rate);
        h.granted_units = if free { u.requested_units } else { 0.0 };
        c.tokens -= h.granted_units;
        // Ceiling units are deducted here first: a lost message loses them.
        let gift = if u.requests_grant && u.needs_hard_limit_grant && c.hard_limit_tokens >= u.requested_units
        {
            floor_to_wire_units(u.requested_units)
        } else {
            0.0
        };
        c.hard_limit_tokens -= gift;
        let its = if few || cap == 0 { its } else { 0.0 };
        let (rate, open) = ((c.own_rate + c.remote_rate - its).max(0.0), others.min(127) as u8);
        let (customer, yours) = (u.customer, u.total_units);
        u.requests_grant.then_some(QuotaGrant {
            customer,
            receiver_total: yours,
            tokens: level,
            remote_rate: rate,
            remote_in_flight: open,
            hard_limit_grant: gift,
        })
    }

    /// A home's word on a customer: the store is what it says, less what it cannot have heard.
    pub(crate) fn on_quota_grant(&mut self, from: u16, n: QuotaGrant, actions: &mut Vec<Action>) {
        let (now, me) = (self.now, self.settings.own_id.0);
        let Some(plan) = self.quota.customers.get(&n.customer).map(|c| &self.settings.plans[c.plan]) else {
            return;
        };
        let (rated, cap) = (plan.burst > 0.0, plan.concurrency_quota);
        let Some(c) = self.refill(n.customer).filter(|c| c.quota_owners.contains(&from)) else { return };
        if !c.is_quota_owner {
            (c.remote_rate, c.remote_in_flight, c.granted_at) =
                (n.remote_rate, u32::from(n.remote_in_flight), now);
            c.tokens = n.tokens - wrapping_delta(n.receiver_total, wrap_total(c.total_units));
            // What was asked for is taken already where there was room: it need not be told again.
            c.charged_by_owner = (!rated || n.tokens >= c.requested_units)
                && (cap == 0 || u32::from(n.remote_in_flight) + c.in_flight < cap);
        }
        c.owners_answered.push(from);
        // A gift is for the request that waits: late ones lapse, or a full store would hold more than full.
        if now - c.grant_requested_at < HARD_LIMIT_GRANT_LIFETIME {
            c.hard_limit_grant += n.hard_limit_grant;
        }
        let all = c
            .hard_limit_owners
            .iter()
            .all(|h| *h == me || !c.quota_owners.contains(h) || c.owners_answered.contains(h));
        for id in c.awaiting_grant.clone() {
            self.admit(id, all, actions); // one home may know too little: only both say no
        }
    }
}
