//! Load balancing: the choice of a backend among a subset, with slow start for those that came up lately.

use super::outlier_detection::SUSPECT_FAILURE_RATE;
use super::pressure::PRESSURE_TIME_CONSTANT;
use super::quota::USAGE_RATE_TIME_CONSTANT;
use super::RetryScope;
use crate::state::{decay, hash, Backend, RequestState, MICROS_PER_SECOND};
use crate::{Action, BackendId, Duration, Gateway, Instant, RequestId};

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

/// The part of the ready backends that one choice looks at.
struct Subset {
    /// All backends that take work.
    ready: usize,
    /// Healthy candidates to compare.
    wanted: usize,
    /// Backends that the candidates come from.
    size: usize,
}

impl Subset {
    /// Two candidates drawn by their weight, and more the more of the load is this gateway's own: what many
    /// see as the least loaded would be so for all of them at once. They come from the same few backends at
    /// every choice: connections seldom used are closed, and made anew for each request.
    fn new(ready: usize, fleet_size: u64, scope: &RetryScope) -> Subset {
        let covering = GATEWAYS_PER_BACKEND * ready / fleet_size as usize;
        let wanted = 2 + 3 * ready / fleet_size as usize;
        let wanted = if covering > MIN_SUBSET_SIZE { wanted.min(MAX_CANDIDATES) } else { wanted };
        let whole = wanted >= ready || matches!(scope, RetryScope::Within(..));
        let size = if whole { ready } else { ready.min(MIN_SUBSET_SIZE.max(covering)) };
        Subset { ready, wanted, size }
    }

    /// Whether candidates are drawn by their weight.
    fn is_sampled(&self) -> bool {
        self.wanted < self.ready
    }

    /// Backends looked at before the choice gives up: those not drawn count, too.
    fn steps(&self) -> usize {
        if self.is_sampled() {
            4 * self.size
        } else {
            self.size
        }
    }
}

/// A backend that may take an attempt.
struct Candidate {
    cost: f64,
    suspect: bool,
}

/// The deepest queue that a backend's report is believed.
pub(crate) const MAX_REPORTED_QUEUE_DEPTH: f64 = 1000.0;

impl Gateway {
    /// Whether this gateway alone may send a backend in slow start one more in the rule's window. Where its
    /// part is less than a request, it is drawn who may: one from each would be a hundred.
    fn slow_start_allows(&self, backend: &Backend) -> bool {
        let rules = &self.settings.rules;
        if !backend.in_slow_start(self.now, rules) {
            return true;
        }
        let window = rules.overload_window.max(Duration::MICROSECOND);
        let rate = self.send_rate.at(self.now, USAGE_RATE_TIME_CONSTANT);
        let fair_share = rate * backend.size / self.backends.ready_capacity.max(backend.size);
        let fair_sends = fair_share * window.as_micros_f64() / MICROS_PER_SECOND;
        let share = backend.slow_start_share(self.now, rules);
        let budget = rules.overload_factor * share * fair_sends * SLOW_START_MARGIN;
        let budget = budget.max(1.0 / self.fleet_size as f64);
        // Drawn by each gateway at its own times, and for longer than the window, since the window slides.
        let own_id = u64::from(self.settings.own_id.0);
        let period = window * LOTTERY_WINDOWS;
        let round = (self.now + period.mul_f64(hash(own_id))).period_index(period);
        let draw = hash(backend.endpoint.backend.0 ^ round << 48 ^ own_id << 32);
        backend.recent_sends(self.now, window) as f64 + draw < budget
    }

    /// Chooses a backend for a request's next attempt; none if none may take it now.
    fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
        self.random_state = self.random_state.wrapping_add(1);
        let state = self.requests.get(id)?;
        let scope = self.retry_scope(state)?;
        let subset = Subset::new(self.backends.ready.len(), self.fleet_size, &scope);
        let start = (hash(self.random_state) * subset.size as f64) as usize;
        let (mut healthy, mut suspect) = (0, 0);
        let (mut best, mut best_cost) = (None, f64::MAX);
        for step in 0..subset.steps() {
            let backend = self.backends.ready.get((start + step) % subset.size);
            let Some(backend) = backend.and_then(|id| self.backends.get(id)) else { continue };
            if !scope.includes(&backend.endpoint) {
                continue;
            }
            let Some(candidate) = self.candidate(backend, state, &subset, step) else { continue };
            if candidate.cost < best_cost {
                (best, best_cost) = (Some(backend.endpoint.backend), candidate.cost);
            }
            suspect += usize::from(candidate.suspect);
            healthy += usize::from(!candidate.suspect);
            if healthy >= subset.wanted || suspect > 4 * subset.wanted {
                break;
            }
        }
        best
    }

    /// What it would cost to send a backend the next attempt; none if it may not take it, or is not drawn.
    fn candidate(
        &self,
        backend: &Backend,
        state: &RequestState,
        subset: &Subset,
        step: usize,
    ) -> Option<Candidate> {
        let now = self.now;
        let capacity = backend.size * backend.slow_start_share(now, &self.settings.rules);
        let weight = capacity / backend.relative_latency * subset.ready as f64;
        let weight = weight / self.backends.ready_capacity / 2.0;
        let passed_over = subset.is_sampled() && hash(self.random_state ^ (step as u64) << 40) > weight;
        if passed_over || !self.slow_start_allows(backend) {
            return None;
        }
        let health = &backend.health[usize::from(state.request.class)];
        // Failing connections count for the zone as well: it may be cut off, with all that is in it.
        let zone = self.backends.zone_health.get(&backend.endpoint.zone);
        let zone_failure_rate = zone.map_or(0.0, |zone| zone.failure_rate(now));
        let failure_rate = health.failure_rate(now).max(zone_failure_rate);
        let ejected =
            health.consecutive_ejections > 0 && (now < health.ejected_until || backend.in_flight > 0);
        let tried = state.attempts.iter().any(|attempt| attempt.endpoint.backend == backend.endpoint.backend);
        let jitter = 1.0 + 0.1 * ((hash(self.random_state) + step as f64 * 0.618_034) % 1.0);
        let distance = if backend.endpoint.zone == self.settings.zone { 1.0 } else { 1.05 };
        let queue_depth =
            backend.reported_queue_depth * decay(backend.reported_at, now, PRESSURE_TIME_CONSTANT);
        let load = f64::from(backend.in_flight) + 1.0 + queue_depth / self.fleet_size.min(4) as f64;
        let risk = (1.0 + 10.0 * failure_rate) * if tried { 8.0 } else { 1.0 };
        let cost = load * jitter * distance * risk / if subset.is_sampled() { 1.0 } else { weight };
        // The ejected come last, but none is shut out: else where most are ejected the rest are pushed over.
        let cost = cost * if ejected { 10.0 } else { 1.0 };
        Some(Candidate { cost, suspect: ejected || failure_rate > SUSPECT_FAILURE_RATE })
    }

    /// Sends a request's next attempt; false if no backend may take it now.
    pub(crate) fn send_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(backend) = self.choose_backend(id) else { return false };
        let Some(state) = self.requests.get(id) else { return false };
        if state.attempts.is_empty() {
            self.retry_policy.record_first_attempt();
        }
        let objective = self.class_of(&state.request).latency_objective;
        let check_at = self.retry_policy.first_check_at(self.now, state.useful_duration(objective));
        self.requests.check_at(check_at, id);
        self.send_rate.record(self.now, USAGE_RATE_TIME_CONSTANT);
        self.begin_attempt(id, backend);
        actions.push(Action::Send { id, backend, expires_at: self.attempt_expiry(id) });
        true
    }

    /// When an attempt is given up; none for the client's deadline. Past its objective an attempt may earn
    /// nothing, but still counts towards its customer's concurrency quota. In a small fleet clients that come
    /// again would cost more.
    fn attempt_expiry(&self, id: RequestId) -> Option<Instant> {
        let state = self.requests.get(id)?;
        let class = self.class_of(&state.request);
        let worthless_when_late = class.late_weight == 0.0 && class.latency_objective_stretch == 0.0;
        let capped = self.plan_of(&state.request).concurrency_quota > 0;
        if self.all_gateways_own_quotas() || !capped || !worthless_when_late {
            return None;
        }
        Some((state.arrived_at + class.latency_objective).max(self.now + self.settings.tick))
    }
}
