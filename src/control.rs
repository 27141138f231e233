//! Every decision of a gateway, but for quotas; its records are in `src/state.rs`.
use crate::{gossip::*, quota::*, state::*, *};
use std::cmp::Reverse;

const WAKE_TICKS: u64 = 5; // ticks between wake-ups, which look at deadlines and gossip; more saves CPU
const AMBER: [f64; 4] = [1.0, 0.9, 0.7, 0.5]; // share that passes by rung (paper, table I); green from rung 2
const LAST_RUNG: usize = 4; // preferred only
const RUNG_UP: Micros = 1_500_000; // least stay on a rung, so that its effect is seen
const RUNG_DOWN: Micros = 2_000_000;
const EPOCH: Micros = 10_000_000; // how long the same customers are cut: longer than clients retry
/// An answer weighs on the pressure by its time over the lesser of these: a multiple of its class's time on
/// calm servers, and a share of its aim. Servers driven harder lose throughput before aims are missed.
const CALM_MULTIPLE: f64 = 3.5;
const CALM_CREEP: f64 = 0.01; // growth of the calm time by itself, in a second
const AIM_SHARE: f64 = 0.6;
const ALERT_ON: f64 = 1.0; // pressure that raises an alert
const ALERT_OFF: f64 = 0.75; // and that ends it: between them nothing moves
const PLACES: f64 = 10.0; // attempts out at a backend, by all gateways, to begin with; then found by latency
const GROW: f64 = 0.4; // pressure under which the bound on what is out may grow
const AWAY: f64 = 0.05; // share turned away for want of a place that alerts while pressure is not low
const PRESSURE_TAU: f64 = 1.0; // memory of the pressure in seconds: some dozen answers
const HOLD: f64 = 0.3; // share of an aim that a request may wait for a place; held longer it would fail late
const SILENCE: f64 = 0.35; // share of an aim after which an attempt at a silent backend is repeated elsewhere
const HEDGE: f64 = 0.6; // the same at a backend that talks
const RETRY_SHARE: f64 = 0.1; // further attempts per first attempt: retries cannot feed an overload
const RETRY_STORE: f64 = 40.0; // and the store of them, over all gateways
const RETRY_STORES: (f64, f64) = (2.0, 10.0); // the least and the most of it at one gateway
/// Part of the rule's budget spent on a cold backend. The budget is reckoned from what is sent, which may be
/// two and a half times what backends bear before answers tell; the rest is for chance.
const COLD_MARGIN: f64 = 0.35;
const COLD_TURN: u64 = 4; // windows of the rule for which it stays drawn who may send a cold backend one more
const SUBSET: usize = 32; // backends that a sliver of the load goes to: each once in a few seconds
/// Gateways that have a backend in their subsets, where more than that have to: the part of those that are in
/// none is e to the minus this.
const COVER: usize = 8;
const MOST_CANDIDATES: usize = 8; // looked at before such a subset: more find hardly better ones
const SICK_ERRORS: f64 = 0.25; // share of errors in recent answers from which a backend gets a trickle only
const REST: Micros = 500_000; // how long it rests before one attempt tries it again; doubles up to 2^3
const DOUBT_TAU: f64 = 4.0; // memory of doubts in seconds: a sick backend is tried again by and by
const DOUBTED: f64 = 0.4; // doubt from which a backend is looked past in the choice
const FEW_PERIOD: f64 = 0.35; // report period in seconds up to which all of a customer's gateways are homes
const NO_AGAIN: Micros = 500_000; // the same where it says that there is no room
const FRESH: Micros = 100_000; // age up to which a home's news need not be asked again; longest wait for it
const TELLINGS: (u8, u8) = (12, 36); // messages that carry an answer's lesson: a good one's, a bad one's
const HEARSAY: f64 = 0.2; // weight of a lesson that a peer had: there are as many as one's own in ten seconds

/// Further attempts that one gateway may save up: what all save up comes at once when backends slow down.
fn retry_store(shares: u64) -> f64 {
    (RETRY_STORE / shares as f64).clamp(RETRY_STORES.0, RETRY_STORES.1)
}

impl Health {
    fn eject(&mut self, now: Micros) {
        self.ejected_until = now + (REST << self.consecutive_ejections.min(3));
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }

    fn failure_rate_at(&self, now: Micros) -> f64 {
        self.failure_rate * decay(self.updated_at, now, DOUBT_TAU)
    }

    fn record(&mut self, now: Micros, bad: bool, weight: f64) {
        let errors = self.failure_rate_at(now);
        self.failure_rate = errors + weight * (f64::from(u8::from(bad)) - errors);
        self.updated_at = now;
    }
}

impl Gateway {
    /// A gateway that starts now and knows nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let usual = settings.classes.iter().map(|c| LatencyBaseline {
            recent: c.latency_objective as f64 * 0.15,
            ..LatencyBaseline::default()
        });
        let usual = usual.map(|u| LatencyBaseline { unloaded: u.recent, updated_at: now, ..u }).collect();
        let shares = u64::from(settings.gateway_count.max(1));
        // Most of what a receiver takes in, over all senders; no faster than 20 a second: bytes cost.
        let period = 1.5 * (shares as f64 - 1.0) / settings.limits.peer_messages_per_second.max(1.0);
        let few = period <= FEW_PERIOD;
        Gateway {
            random_state: seed,
            now,
            started_at: now,
            usage_known_since: Some(now),
            latency_baselines: usual,
            retry_tokens: retry_store(shares),
            concurrency_per_backend: PLACES,
            report_interval: if few { ((period * SECOND) as Micros).max(50_000) } else { 0 },
            fleet_size: shares,
            settings,
            ..Gateway::default()
        }
    }

    /// Takes one event and appends what the host is to do.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let wake = (WAKE_TICKS * self.settings.tick).max(1);
        // Stood still for several wake-ups: all that came meanwhile is read before anybody is judged by it.
        if self.next_wake_up_at > 0 && now > self.next_wake_up_at + 4 * wake {
            // What is past its time by now is answered in this very turn.
            let late =
                self.requests.values().filter(|o| o.attempts.is_empty() && !self.can_be_queued(o, now));
            let late: Vec<RequestId> = late.map(|o| o.request.id).collect();
            late.into_iter().for_each(|id| self.reject_or_fail(id, actions));
            self.resumed_at = now;
            self.next_wake_up_at = now + wake;
            actions.push(Action::SetTimer { delay: wake, token: 0 });
        }
        self.now = self.now.max(now);
        match event {
            Event::Request(req) => self.on_request(req, actions),
            Event::AttemptEnded { .. } => self.on_attempt_ended(event, actions),
            Event::ClientDisconnected(id) => self.close_request(id, actions),
            Event::FirstByte { id, attempt } => self.on_first_byte(id, attempt, actions),
            Event::PeerMessage { from, bytes } => self.on_peer_message(from, &bytes, actions),
            Event::Endpoints(kind, list) => self.on_endpoints(kind, list, actions),
            Event::Timer(_) if self.now < self.next_wake_up_at => return,
            Event::Timer(_) | Event::HealthCheckEnded { .. } | Event::CounterUpdated { .. } => {}
        }
        if self.now >= self.next_wake_up_at {
            self.on_wake_up(actions);
            self.next_wake_up_at = self.now + wake;
            actions.push(Action::SetTimer { delay: wake, token: 0 });
        }
    }

    // ---- 1. A request arrives: its colour, its store, the ladder ----

    fn on_request(&mut self, mut req: Request, actions: &mut Vec<Action>) {
        let (class, plan) = (usize::from(req.class), usize::from(req.plan));
        let known = class < self.settings.classes.len() && plan < self.settings.plans.len();
        let sane = req.units.is_finite() && req.units >= 0.0;
        if self.requests.contains_key(&req.id) {
            return; // told twice: the first telling gets the answer
        }
        // With less than two wake-ups left nothing can be held, watched or served: answered at once.
        if !known || !sane || req.deadline < self.now + 2 * WAKE_TICKS * self.settings.tick {
            return self.reject(req.id, 0, actions);
        }
        let unseen = self.observe_customer(&mut req);
        let plan = usize::from(req.plan);
        if !self.passes_shedding(req.customer, plan, unseen) {
            return self.reject(req.id, Micros::MAX, actions);
        }
        let open = RequestState { request: req, arrived_at: self.now, ..RequestState::default() };
        let (now, may_wait) = (self.now, self.can_be_queued(&open, self.now));
        let (quota, ceiling) = self.wait_for_tokens(&req);
        let c = &self.customers[&req.customer];
        // A no may rest on older news than a yes: else a red customer's retries ask without end.
        let red = quota.is_some() && self.settings.plans[plan].concurrency_quota == 0;
        let yes = if self.report_interval > 0 { FRESH } else { 0 }; // a yes was for another request
        let known = c.is_quota_owner || now - c.granted_at.min(now) < if red { NO_AGAIN } else { yes };
        let short =
            ceiling.is_some() && quota.is_none() && c.hard_limit_owners != [self.settings.own_id.0; 2];
        if !may_wait || (known && !short) {
            self.requests.insert(req.id, open);
            return self.admit(req.id, true, actions);
        }
        if self.skips_grant_request(&req) {
            return self.reject(req.id, Micros::MAX, actions);
        }
        // The room is not known here: held until the homes' word comes, or for as long as that may take.
        self.requests.insert(req.id, RequestState { awaiting_grant: true, ..open });
        // In a large fleet the question is put twice: one lost on the way must not let a red customer in.
        let again = if self.report_interval > 0 { 1 } else { 2 };
        self.request_timers.push(Reverse((now + self.grant_wait(&req, now) / again, req.id)));
        let Some(c) = self.customers.get_mut(&req.customer) else { return };
        c.awaiting_grant.push(req.id);
        if c.awaiting_grant.len() == 1 || now - c.grant_requested_at > FRESH || short {
            c.grant_requested_at = now;
            c.owners_answered.clear();
            (c.requested_units, c.needs_hard_limit_grant) = (req.units, ceiling.is_some());
            self.queue_usage_report(req.customer, true, actions);
        }
    }

    /// How long a request may be held for its homes' word.
    fn grant_wait(&self, req: &Request, arrived: Micros) -> Micros {
        let left =
            (req.deadline - arrived).min(self.settings.classes[usize::from(req.class)].latency_objective);
        FRESH.min(left / 5)
    }

    /// Lets a request in if the stores have room; without it, one that is held stays so till the `last` word.
    pub(crate) fn admit(&mut self, id: RequestId, last: bool, actions: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        let (req, held) = (o.request, std::mem::take(&mut o.awaiting_grant));
        let (quota_wait, ceiling_wait) = self.wait_for_tokens(&req);
        let wait = quota_wait.into_iter().chain(ceiling_wait).reduce(f64::max);
        // The fuller the line, the fewer customers may join it; the same ones for an epoch, as on the ladder.
        let line = self.queue.len() as f64 / (self.concurrency_limit() * HOLD);
        let full =
            self.in_flight as f64 >= self.concurrency_limit() && self.epoch_draw(req.customer) >= 1.0 - line;
        if wait.is_some() && !last {
            self.requests.entry(id).and_modify(|o| o.awaiting_grant = held);
            return;
        }
        self.stop_awaiting_grant(req.customer, id, held && (wait.is_some() || full));
        if wait.is_some() || full {
            // Red, or no place and none soon.
            let pause = wait.map_or(Micros::MAX, |w| (w * SECOND) as Micros);
            self.rejection_rate += 0.05 * f64::from(u8::from(wait.is_none())) * (1.0 - self.rejection_rate);
            self.requests.remove(&id);
            self.reject(id, pause, actions);
            let counted = self
                .customers
                .get_mut(&req.customer)
                .is_some_and(|c| std::mem::take(&mut c.charged_by_owner));
            if held && (counted || self.report_interval > 0) {
                self.queue_usage_report(req.customer, false, actions); // a home may have counted it
            }
            return;
        }
        self.rejection_rate -= 0.05 * self.rejection_rate;
        self.charge(&req, 1.0);
        self.stop_awaiting_grant(req.customer, id, held);
        let few = self.report_interval > 0;
        let Some(c) = self.customers.get_mut(&req.customer) else { return };
        if !(std::mem::take(&mut c.charged_by_owner) && held) || few {
            let ask = !held && !c.is_quota_owner && few;
            self.queue_usage_report(req.customer, ask, actions);
        }
        self.queue.push_back(id);
        self.dispatch(actions);
        self.expire_if_overdue(id, actions);
    }

    fn reject(&self, id: RequestId, pause: Micros, actions: &mut Vec<Action>) {
        let most = if self.settings.limits.retry_after { self.settings.limits.max_retry_after } else { 0 };
        actions.push(Action::Reject { id, retry_after: pause.min(most) });
    }

    /// Seconds for which all use has been known here.
    pub(crate) fn seconds_of_known_usage(&self) -> f64 {
        self.usage_known_since.map_or(f64::MAX, |t| (self.now - t) as f64 / SECOND)
    }

    /// Notes the customer; true if it was unseen within the ageing time.
    fn observe_customer(&mut self, req: &mut Request) -> bool {
        let (now, life) = (self.now, self.seconds_of_known_usage());
        let plan = &self.settings.plans[usize::from(req.plan)];
        let most = self.settings.gateway_count.max(1) as f64;
        let sane = req.gateway_set_size.is_finite() && (0.0..most).contains(&req.gateway_set_start);
        let (first, width) = if sane {
            (req.gateway_set_start.floor(), req.gateway_set_size.clamp(1.0, most))
        } else {
            (0.0, most)
        };
        // A customer unseen here: its share, or one request, and what has filled since this start.
        let known = ((plan.burst / width).max(req.units) + plan.rate * life).min(plan.burst);
        // In a large fleet a start says little: most customers have all but full stores, and one home counts.
        let level = if self.report_interval > 0 { known } else { plan.burst };
        let (others, owed) = (plan.rate * (1.0 - 1.0 / width), plan.burst - level);
        let plan = usize::from(req.plan);
        let new = Customer {
            plan,
            tokens: level,
            withheld_tokens: owed,
            remote_rate: others,
            refilled_at: now,
            ..Customer::default()
        };
        self.record_identity(req.customer, first as u16, width as u16, new);
        let Some(c) = self.customers.get_mut(&req.customer) else { return true };
        let unseen = c.last_seen_at == 0 || now - c.last_seen_at > AGING;
        // A request is judged by its customer's plan, whatever it says itself.
        (c.last_seen_at, req.plan) = (now, c.plan as u16);
        unseen
    }

    /// Whether the rung lets this customer pass. Whom it cuts is fixed for an epoch, alike at all gateways:
    /// a coin for each request would let refused clients' retries in, too late to earn anything, until they
    /// fill the fleet and cause the next refusals. It hurts those cut for a whole epoch.
    fn passes_shedding(&self, customer: CustomerId, plan: usize, green: bool) -> bool {
        if self.shedding_stage == 0 || (green && self.shedding_stage < 2) {
            return true;
        }
        let top = self.settings.plans.iter().map(|p| p.price).fold(f64::MIN, f64::max);
        let differ = self.settings.plans.iter().any(|p| p.price < top);
        let share =
            if self.shedding_stage == LAST_RUNG && differ { 0.0 } else { AMBER[self.shedding_stage.min(3)] };
        (differ && self.settings.plans[plan].price >= top) || self.epoch_draw(customer) < share
    }

    fn epoch_draw(&self, customer: CustomerId) -> f64 {
        hash(customer.0 ^ (self.now / EPOCH) << 33)
    }

    // ---- 2. The alert: pressure, rungs, and the bound on what is out ----

    fn record_pressure(&mut self, ratio: f64) {
        let keep = decay(self.pressure_updated_at, self.now, PRESSURE_TAU).min(0.98);
        self.pressure = self.pressure * keep + ratio.min(4.0) * (1.0 - keep);
        self.pressure_updated_at = self.now;
        // Back to where it began at any pressure short of an alert: else a bound once cut stays cut.
        let below = if self.concurrency_per_backend < PLACES { ALERT_OFF } else { GROW };
        if self.pressure < below && self.in_flight as f64 > self.concurrency_limit() * 0.7 {
            self.concurrency_per_backend *= 1.0 + 2.0 / self.concurrency_limit().max(2.0).powi(2);
        }
    }

    /// The bound on what this gateway has out: those left when backends fall must not inherit their load.
    fn concurrency_limit(&self) -> f64 {
        (self.concurrency_per_backend * self.ready_backends.len() as f64 / self.fleet_size as f64).max(1.0)
    }

    fn update_shedding_stage(&mut self, actions: &mut Vec<Action>) {
        let (since, rung) = (self.now - self.stage_changed_at, self.shedding_stage);
        // Refusals alone hold no alert up: cutting causes refusals, and the fleet may be idle behind them.
        let refusing = self.pressure > ALERT_OFF && self.rejection_rate > AWAY;
        if (self.pressure > ALERT_ON || refusing) && since > RUNG_UP && rung < LAST_RUNG {
            self.shedding_stage += 1;
        } else if self.pressure < ALERT_OFF && since > RUNG_DOWN && rung > 0 {
            self.shedding_stage -= 1;
        }
        if rung != self.shedding_stage {
            self.stage_changed_at = self.now;
            let (now, p, limit, out) =
                (self.shedding_stage, self.pressure, self.concurrency_limit(), self.in_flight);
            let text = format!("ladder: rung {rung} to {now}, pressure {p:.2}, limit {limit:.0}, out {out}");
            actions.push(Action::Log(text));
        }
        // One cut in a memory of the pressure: answers sent before a cut must not cause the next one.
        if self.pressure > ALERT_ON && self.now - self.limit_reduced_at > (PRESSURE_TAU * SECOND) as Micros {
            self.concurrency_per_backend = (self.concurrency_per_backend * 0.85).max(PLACES / 6.0);
            self.limit_reduced_at = self.now;
        }
    }

    // ---- 3. Choice of a backend ----

    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.queue.front().copied() {
            let ready = self.requests.get(&id).is_some_and(|o| !o.answered && o.attempts_in_flight() == 0);
            if ready && (self.in_flight as f64 >= self.concurrency_limit() || !self.send_attempt(id, actions))
            {
                return;
            }
            self.queue.pop_front();
        }
    }

    /// How warm a backend is for sure, and whether this gateway alone may send it one more in the rule's
    /// window. Where its part is less than a request, it is drawn who may: one each would be a hundred.
    fn slow_start(&self, b: &Backend) -> (f64, bool) {
        let (rules, age) = (&self.settings.rules, self.now.saturating_sub(b.endpoint.started_at));
        if b.endpoint.started_at == 0 || age >= rules.slow_start_duration {
            return (1.0, true);
        }
        let warmth = rules.slow_start_floor
            + (1.0 - rules.slow_start_floor) * age as f64 / rules.slow_start_duration as f64;
        let span = rules.overload_window.max(1);
        let recent = b.recent_slow_start_sends.iter().filter(|t| **t + span > self.now).count() as f64;
        let rate = self.send_rate * decay(self.send_rate_updated_at, self.now, RATE_TAU);
        let fair = rate * b.size / self.ready_capacity.max(b.size) * span as f64 / SECOND;
        let budget = (rules.overload_factor * warmth * fair * COLD_MARGIN).max(1.0 / self.fleet_size as f64);
        // Drawn by each gateway at times of its own, and for longer than a window: the window slides, and
        // whoever wins in any part of it sends.
        let turn = span * COLD_TURN;
        let turns = (self.now + (hash(u64::from(self.settings.own_id.0)) * turn as f64) as u64) / turn;
        let lot = hash(b.endpoint.backend.0 ^ turns << 48 ^ u64::from(self.settings.own_id.0) << 32);
        (warmth, recent + lot < budget)
    }

    fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
        self.random_state = self.random_state.wrapping_add(1);
        let (noise, now) = (hash(self.random_state), self.now);
        let o = &self.requests[&id];
        let k = usize::from(o.request.class);
        // An attempt begins once its connection is up: by then, too, the window has to be open.
        let latest = now + self.settings.tick + self.settings.limits.connect_timeout;
        let bound = match (self.settings.classes[k].idempotency, o.first_possibly_executed()) {
            (Idempotency::Keyed { window, .. }, Some(a)) if latest >= a.sent_at + window => return None,
            (Idempotency::Keyed { scope: group, .. }, Some(a)) => Some((group, a.endpoint)),
            _ => None,
        };
        // Two drawn by their weight, and more the more of the load is its own: what many see as the
        // least would be the least for all of them at once.
        let (all, want) =
            (self.ready_backends.len(), 2 + 3 * self.ready_backends.len() / self.fleet_size as usize);
        // Always among the same few: connections seldom used are closed, and made anew at each request.
        let cover = COVER * all / self.fleet_size as usize;
        let want = if cover > SUBSET { want.min(MOST_CANDIDATES) } else { want };
        let n = if want < all && bound.is_none() { all.min(SUBSET.max(cover)) } else { all };
        let (mut sound, mut sick, mut best) = (0, 0, (f64::MAX, None));
        for step in 0..if want < all { 4 * n } else { n } {
            let Some(bid) = self.ready_backends.get(((noise * n as f64) as usize + step) % n) else {
                continue;
            };
            let Some(b) = self.backends.get(&bid) else { continue };
            let fits = bound.map_or(true, |(group, l): (IdempotencyScope, Endpoint)| {
                let (zone, cell) = (b.endpoint.zone == l.zone, b.endpoint.cell == l.cell);
                group == IdempotencyScope::Fleet
                    || (group == IdempotencyScope::Zone && zone)
                    || (group == IdempotencyScope::Cell && cell)
            });
            let tried = o.attempts.iter().any(|a| a.endpoint.backend == bid);
            let (warmth, may) = self.slow_start(b);
            let weight = b.size * warmth / b.relative_latency * all as f64 / self.ready_capacity / 2.0;
            if !fits || !may || (want < all && hash(self.random_state ^ (step as u64) << 40) > weight) {
                continue;
            }
            // Failing connections are laid to the zone as well: it may be cut off, with all that is in it.
            let zone = self.zone_health.get(&b.endpoint.zone).map_or(0.0, |z| z.failure_rate_at(now));
            let (h, doubt) = (&b.health[k], b.health[k].failure_rate_at(now).max(zone));
            let resting = h.consecutive_ejections > 0 && (now < h.ejected_until || b.in_flight > 0);
            let jitter = 1.0 + 0.1 * ((noise + step as f64 * 0.618_034) % 1.0);
            let far = if b.endpoint.zone == self.settings.zone { 1.0 } else { 1.05 };
            let load = f64::from(b.in_flight)
                + 1.0
                + b.reported_queue_depth * decay(b.reported_at, now, PRESSURE_TAU)
                    / self.fleet_size.min(4) as f64;
            let doubts = (1.0 + 10.0 * doubt) * if tried { 8.0 } else { 1.0 };
            let cost = load * jitter * far * doubts / if want < all { 1.0 } else { weight };
            // The sick come last, but none is shut out: else where most are sick the rest are pushed over.
            let cost = cost * if resting { 10.0 } else { 1.0 };
            best = if cost < best.0 { (cost, Some(bid)) } else { best };
            *if resting || doubt > DOUBTED { &mut sick } else { &mut sound } += 1;
            if sound >= want || sick > 4 * want {
                break;
            }
        }
        best.1
    }

    /// Sends a request's next attempt; false if no backend may take it now.
    fn send_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let (now, Some(bid)) = (self.now, self.choose_backend(id)) else { return false };
        let Some(o) = self.requests.get_mut(&id) else { return false };
        if o.attempts.is_empty() {
            self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(retry_store(self.fleet_size));
        }
        self.customers.entry(o.request.customer).and_modify(|c| c.in_flight += 1);
        let patience =
            o.useful_duration(self.settings.classes[usize::from(o.request.class)].latency_objective);
        self.request_timers.push(Reverse((now + (patience * SILENCE) as Micros, id)));
        self.in_flight += 1;
        self.send_rate = self.send_rate * decay(self.send_rate_updated_at, now, RATE_TAU) + 1.0 / RATE_TAU;
        self.send_rate_updated_at = now;
        if let Some(b) = self.backends.get_mut(&bid) {
            o.attempts.push(Attempt {
                endpoint: b.endpoint,
                sent_at: now,
                in_flight: true,
                cancelled: false,
                never_executed: false,
            });
            b.in_flight += 1;
            b.recent_slow_start_sends.retain(|t| *t + self.settings.rules.overload_window > now);
            b.recent_slow_start_sends.push_back(now);
        }
        // Past the aim an attempt earns nothing, but goes on holding one of its customer's few places. In a
        // small fleet the clients that come again would cost more.
        let (class, plan) = (
            &self.settings.classes[usize::from(o.request.class)],
            &self.settings.plans[usize::from(o.request.plan)],
        );
        let idle = self.report_interval == 0
            && plan.concurrency_quota > 0
            && class.late_weight == 0.0
            && class.latency_objective_stretch == 0.0;
        let expires =
            if idle { (o.arrived_at + class.latency_objective).max(now + self.settings.tick) } else { 0 };
        actions.push(Action::Send { id, backend: bid, expires_at: expires });
        true
    }

    // ---- 4. Answers: health, further attempts, the final answer ----

    /// An answer's lesson; one that a peer had (`own` false) counts, but rests nobody.
    pub(crate) fn record_observation(&mut self, bid: BackendId, class: usize, took: Option<f64>, own: bool) {
        let (now, aim) = (self.now, self.settings.classes[class].latency_objective.max(1) as f64);
        let Some(b) = self.backends.get_mut(&bid) else { return };
        if own {
            b.health[class].record(now, took.is_none(), 0.15);
        } else {
            // What is heard of a class seldom asked for would come too late for it: it counts for all.
            b.health.iter_mut().for_each(|h| h.record(now, took.is_none(), HEARSAY));
        }
        if own && self.report_interval == 0 && class <= MAX_CLASS {
            let sample = LatencySample {
                backend_tag: backend_tag(bid.0),
                class: class as u8,
                relative_latency: took.map(|t| t / aim),
            };
            // Bad ones go first: they are few, and all should know what a sick backend did to one.
            let bad =
                self.latency_samples.iter().filter(|queued| queued.sample.relative_latency.is_none()).count();
            let place = if took.is_none() { 0 } else { bad };
            let times = if took.is_none() { TELLINGS.1 } else { TELLINGS.0 };
            self.latency_samples.insert(place, QueuedSample { retransmissions: times, sample });
            self.latency_samples.truncate(MAX_SAMPLES);
        }
        let Some(took) = took.filter(|_| now != self.resumed_at) else { return };
        let u = &mut self.latency_baselines[class];
        let weight = if own { 0.1 } else { HEARSAY };
        b.relative_latency = (b.relative_latency
            + weight * ((took / u.recent.max(1.0)).min(4.0) - b.relative_latency))
            .max(0.3);
        u.sample_count += 1.0;
        u.recent += (took - u.recent) / u.sample_count.min(20.0);
        // Down at once, up by a percent a second: half a minute of overload must not pass for calm.
        let creep = 1.0 + (now - u.updated_at) as f64 / SECOND * CALM_CREEP;
        u.unloaded =
            if u.sample_count <= 20.0 { u.recent.min(aim * 0.3) } else { u.recent.min(u.unloaded * creep) };
        u.updated_at = now;
        let norm = (u.unloaded * CALM_MULTIPLE).min(aim * AIM_SHARE);
        self.record_pressure(took / norm.max(1.0));
    }

    fn record_outcome(&mut self, bid: BackendId, outcome: Outcome, took: Micros, class: Option<usize>) {
        let (Some(b), Some(class)) = (self.backends.get_mut(&bid), class) else { return };
        if matches!(outcome, Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut) {
            return;
        }
        let now = self.now;
        let bad = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        let reached = outcome != Outcome::ConnectFailed;
        self.zone_health.entry(b.endpoint.zone).or_default().record(
            now,
            !reached,
            if reached { 1.0 } else { 0.3 },
        );
        let h = &mut b.health[class];
        h.last_heard_at = now;
        if outcome == Outcome::Rejected {
            b.reported_queue_depth += self.fleet_size as f64;
            return self.record_pressure(2.0);
        }
        let sick = h.failure_rate_at(now) * 0.85 + if bad { 0.15 } else { 0.0 } > SICK_ERRORS;
        if bad && (sick || h.consecutive_ejections > 0) {
            h.eject(now);
        } else if !bad && !sick {
            h.consecutive_ejections = 0;
        }
        self.record_observation(bid, class, (!bad).then_some(took as f64), true);
    }

    fn on_attempt_ended(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded {
            id,
            attempt,
            backend,
            outcome,
            answered: complete,
            elapsed: took,
            charged_units: charged,
            load_report: report,
            ..
        } = event
        else {
            return;
        };
        let class = self.requests.get(&id).map(|o| usize::from(o.request.class));
        self.record_outcome(backend, outcome, took, class);
        if let (Some(b), Some(queue)) = (self.backends.get_mut(&backend), report.and_then(|r| r.queue_depth))
        {
            (b.reported_queue_depth, b.reported_at) = (queue.clamp(0.0, 1000.0), self.now);
        }
        let Some(o) = self.requests.get_mut(&id) else { return };
        let Some(a) = o.attempts.get_mut(usize::from(attempt)).filter(|a| a.in_flight) else { return };
        (a.in_flight, a.never_executed) = (false, outcome.never_executed());
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(b) = self.backends.get_mut(&a.endpoint.backend) {
            b.in_flight = b.in_flight.saturating_sub(1);
        }
        let left = a.endpoint.backend;
        let (customer, units) = (o.request.customer, o.request.units);
        let more = charged.filter(|_| self.settings.postpaid).map_or(0.0, |u| u - units);
        let mut news = more != 0.0;
        if let Some(c) = self.customers.get_mut(&customer) {
            (c.in_flight, c.tokens, c.total_units) =
                (c.in_flight.saturating_sub(1), c.tokens - more, c.total_units + more);
            news |= self.settings.plans[c.plan].concurrency_quota > 0;
        }
        o.answered |= complete || outcome == Outcome::Ok;
        if o.answered {
            self.close_request(id, actions);
        } else if o.attempts_in_flight() == 0 && !self.retry(id, actions) {
            self.reject_or_fail(id, actions);
        }
        self.remove_if_drained(left);
        if news {
            self.queue_usage_report(customer, false, actions);
        }
        self.dispatch(actions);
    }

    /// Tries a further attempt, where the class, the time and the budget allow one.
    fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let o = &self.requests[&id];
        let class = &self.settings.classes[usize::from(o.request.class)];
        let allowed =
            class.idempotency != Idempotency::NonIdempotent || o.first_possibly_executed().is_none();
        let useful =
            self.now + self.settings.tick < (o.arrived_at + class.latency_objective).min(o.request.deadline);
        let room = (o.attempts.len() as u32) < self.settings.limits.max_attempts;
        let single = o.attempts_in_flight() == 0 || self.settings.limits.hedging;
        let sent =
            allowed && useful && room && single && self.retry_tokens >= 1.0 && self.send_attempt(id, actions);
        self.retry_tokens -= f64::from(u8::from(sent));
        sent
    }

    /// The final answer of a request that is not served: refused where that is true, else failed.
    fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        let repeat = self.settings.classes[usize::from(o.request.class)].idempotency;
        if matches!(
            repeat,
            Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::Fleet, .. }
        ) || o.first_possibly_executed().is_none()
        {
            self.reject(id, RUNG_UP, actions);
        } else {
            actions.push(Action::Fail(id));
        }
        self.close_request(id, actions);
    }

    /// A request has ended: calls off what is out, forgets it once all is settled.
    fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        o.answered = true;
        o.cancel_attempts(None, self.settings.limits.cancellation && !o.streaming, actions);
        if o.attempts_in_flight() == 0 {
            let (req, unsent, held) = (o.request, o.attempts.is_empty(), o.awaiting_grant);
            self.requests.remove(&id);
            if held {
                self.stop_awaiting_grant(req.customer, id, true);
            } else if unsent {
                self.charge(&req, -1.0);
                self.queue_usage_report(req.customer, false, actions);
            }
        }
    }

    // ---- 5. Time passes: checks of requests, gossip, the list ----

    fn on_wake_up(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        while let Some(Reverse((_, id))) = self.request_timers.peek().copied().filter(|c| c.0 .0 <= now) {
            self.request_timers.pop();
            self.check_request(id, actions);
        }
        for id in std::mem::take(&mut self.queue) {
            if !self.expire_if_overdue(id, actions) {
                self.queue.push_back(id);
            }
        }
        self.update_shedding_stage(actions);
        self.dispatch(actions);
        let ready = |p: &u16| self.peers.get(p).is_some_and(|p| p.next_send_at <= now);
        let ready: Vec<u16> = self.peers_with_outbox.iter().copied().filter(ready).collect();
        ready.into_iter().for_each(|p| self.flush_outbox(p, actions));
        self.sweep(actions);
        if self.settings.discovery == Discovery::Poll && now >= self.next_poll_at {
            self.next_poll_at = now + (self.settings.rules.max_poll_interval / 2).max(1);
            actions.push(Action::WatchEndpoints(true));
        }
    }

    /// Whether a request has the time to be held for two wake-ups.
    fn can_be_queued(&self, o: &RequestState, now: Micros) -> bool {
        now + 2 * WAKE_TICKS * self.settings.tick <= o.request.deadline
    }

    /// Ends a request that has waited for a place for as long as it may; true if it need not wait.
    fn expire_if_overdue(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(o) = self.requests.get(&id).filter(|o| !o.answered && o.attempts_in_flight() == 0) else {
            return true;
        };
        let patience =
            o.useful_duration(self.settings.classes[usize::from(o.request.class)].latency_objective);
        let end = self.now > o.arrived_at + (patience * HOLD) as Micros || !self.can_be_queued(o, self.now);
        if end {
            self.reject_or_fail(id, actions);
        }
        end
    }

    fn check_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        if let Some((req, arrived)) =
            self.requests.get(&id).filter(|o| o.awaiting_grant).map(|o| (o.request, o.arrived_at))
        {
            let end = arrived + self.grant_wait(&req, arrived);
            if now >= end {
                return self.admit(id, true, actions); // the homes said nothing in time: by what is known here
            }
            self.request_timers.push(Reverse((end, id)));
            return self.queue_usage_report(req.customer, true, actions);
        }
        let Some(o) = self.requests.get_mut(&id).filter(|o| !o.answered && !o.streaming) else { return };
        let k = usize::from(o.request.class);
        let (once, patience) = (
            self.settings.classes[k].idempotency == Idempotency::NonIdempotent,
            o.useful_duration(self.settings.classes[k].latency_objective),
        );
        let Some(a) = o.attempts.iter_mut().rev().find(|a| a.in_flight && !a.cancelled) else { return };
        let (bid, hedge_at) = (a.endpoint.backend, a.sent_at + (patience * HEDGE) as Micros);
        let Some(b) = self.backends.get_mut(&bid) else { return };
        let silent = b.health[k].last_heard_at < a.sent_at;
        if !silent && now < hedge_at {
            return self.request_timers.push(Reverse((hedge_at, id)));
        }
        let (hedge, limits) = ((silent || self.shedding_stage == 0) && !once, &self.settings.limits);
        if hedge && !limits.hedging && silent && limits.cancellation && self.retry_tokens >= 1.0 {
            o.cancel_attempts(None, true, actions);
        }
        if silent && now >= b.health[k].ejected_until {
            b.health[k].eject(now);
            self.record_observation(bid, k, None, true);
        }
        if hedge && self.settings.limits.hedging {
            self.retry(id, actions);
        }
    }

    // ---- 6. The list of backends ----

    fn on_endpoints(&mut self, kind: EndpointUpdate, list: Vec<Endpoint>, actions: &mut Vec<Action>) {
        if kind == EndpointUpdate::PollFailed {
            return self.next_poll_at =
                self.next_poll_at.min(self.now + (self.settings.rules.max_poll_interval / 8).max(1));
        }
        if kind == EndpointUpdate::Delta {
            list.into_iter().for_each(|l| self.apply_change(l));
        } else {
            self.backends.values_mut().for_each(|b| b.ready = false); // absent from a whole list: gone
            list.into_iter().for_each(|l| self.upsert_endpoint(l));
            self.backends.retain(|_, b| b.ready || b.in_flight > 0);
            self.rebuild_index();
        }
        self.dispatch(actions);
    }

    /// Takes an entry of the list into the backend's record.
    pub(crate) fn upsert_endpoint(&mut self, l: Endpoint) {
        let b = self.backends.entry(l.backend).or_default();
        if b.health.is_empty() || l.started_at != b.endpoint.started_at {
            (b.relative_latency, b.reported_queue_depth) = (1.0, 0.0); // a new process, a new record
            b.health = vec![Health::default(); self.settings.classes.len()];
        }
        b.endpoint = l;
        let sized = self.settings.size_meaning == SizeMeaning::Capacity && l.size.is_finite() && l.size > 0.0;
        b.size = if sized { l.size } else { 1.0 };
        b.ready = l.availability == Availability::Ready;
    }
}
