//! Load balancing: the choice of a backend among a subset, with slow start for those that came up lately.

use super::load_shedding::PRESSURE_TIME_CONSTANT;
use super::outlier_detection::SUSPECT_FAILURE_RATE;
use super::quota::USAGE_RATE_TIME_CONSTANT;
use super::retry::{retry_burst, RETRY_RATIO, SILENCE_SHARE};
use crate::{state::*, *};
use std::cmp::Reverse;

/// Part of the rule's budget spent on a backend in slow start. The budget is computed from what is sent,
/// which may be two and a half times what backends bear before answers show it; the rest is for chance.
const SLOW_START_MARGIN: f64 = 0.35;
/// Windows of the rule for which it stays drawn who may send a backend in slow start one more.
const LOTTERY_WINDOWS: u64 = 4;
/// Backends that a sliver of the load goes to: each once in a few seconds.
const MIN_SUBSET_SIZE: usize = 32;
/// Gateways that have a backend in their subsets, where the list is long: the part of the backends that are
/// in no subset is e to the minus this.
const GATEWAYS_PER_BACKEND: usize = 8;
/// Candidates looked at before such a subset: more find hardly better ones.
const MAX_CANDIDATES: usize = 8;

impl Gateway {
    /// How warm a backend is for sure, and whether this gateway alone may send it one more in the rule's
    /// window. Where its part is less than a request, it is drawn who may: one each would be a hundred.
    pub(crate) fn slow_start(&self, b: &Backend) -> (f64, bool) {
        let (rules, age) = (&self.settings.rules, self.now.saturating_sub(b.endpoint.started_at));
        if b.endpoint.started_at == 0 || age >= rules.slow_start_duration {
            return (1.0, true);
        }
        let warmth = rules.slow_start_floor
            + (1.0 - rules.slow_start_floor) * age as f64 / rules.slow_start_duration as f64;
        let span = rules.overload_window.max(1);
        let recent = b.recent_slow_start_sends.iter().filter(|t| **t + span > self.now).count() as f64;
        let rate = self.send_rate * decay(self.send_rate_updated_at, self.now, USAGE_RATE_TIME_CONSTANT);
        let fair = rate * b.size / self.ready_capacity.max(b.size) * span as f64 / SECOND;
        let budget =
            (rules.overload_factor * warmth * fair * SLOW_START_MARGIN).max(1.0 / self.fleet_size as f64);
        // Drawn by each gateway at times of its own, and for longer than a window: the window slides, and
        // whoever wins in any part of it sends.
        let turn = span * LOTTERY_WINDOWS;
        let turns = (self.now + (hash(u64::from(self.settings.own_id.0)) * turn as f64) as u64) / turn;
        let lot = hash(b.endpoint.backend.0 ^ turns << 48 ^ u64::from(self.settings.own_id.0) << 32);
        (warmth, recent + lot < budget)
    }

    pub(crate) fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
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
        let cover = GATEWAYS_PER_BACKEND * all / self.fleet_size as usize;
        let want = if cover > MIN_SUBSET_SIZE { want.min(MAX_CANDIDATES) } else { want };
        let n = if want < all && bound.is_none() { all.min(MIN_SUBSET_SIZE.max(cover)) } else { all };
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
                + b.reported_queue_depth * decay(b.reported_at, now, PRESSURE_TIME_CONSTANT)
                    / self.fleet_size.min(4) as f64;
            let doubts = (1.0 + 10.0 * doubt) * if tried { 8.0 } else { 1.0 };
            let cost = load * jitter * far * doubts / if want < all { 1.0 } else { weight };
            // The sick come last, but none is shut out: else where most are sick the rest are pushed over.
            let cost = cost * if resting { 10.0 } else { 1.0 };
            best = if cost < best.0 { (cost, Some(bid)) } else { best };
            *if resting || doubt > SUSPECT_FAILURE_RATE { &mut sick } else { &mut sound } += 1;
            if sound >= want || sick > 4 * want {
                break;
            }
        }
        best.1
    }

    /// Sends a request's next attempt; false if no backend may take it now.
    pub(crate) fn send_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let (now, Some(bid)) = (self.now, self.choose_backend(id)) else { return false };
        let Some(o) = self.requests.get_mut(&id) else { return false };
        if o.attempts.is_empty() {
            self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(retry_burst(self.fleet_size));
        }
        self.quota.customers.entry(o.request.customer).and_modify(|c| c.in_flight += 1);
        let patience =
            o.useful_duration(self.settings.classes[usize::from(o.request.class)].latency_objective);
        self.request_timers.push(Reverse((now + (patience * SILENCE_SHARE) as Micros, id)));
        self.in_flight += 1;
        self.send_rate = self.send_rate * decay(self.send_rate_updated_at, now, USAGE_RATE_TIME_CONSTANT)
            + 1.0 / USAGE_RATE_TIME_CONSTANT;
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
        let idle = self.quota.report_interval == 0
            && plan.concurrency_quota > 0
            && class.late_weight == 0.0
            && class.latency_objective_stretch == 0.0;
        let expires =
            if idle { (o.arrived_at + class.latency_objective).max(now + self.settings.tick) } else { 0 };
        actions.push(Action::Send { id, backend: bid, expires_at: expires });
        true
    }
}
