//! Load shedding: the pressure that answers show, the shedding stages, and the limit on attempts in flight.

use crate::gateway::GatewayLoad;
use crate::state::{decay, hash, LoadShedder};
use crate::{Action, CustomerId, Duration, Instant, Plan, Request};

/// Share of customers on ordinary plans that passes, by stage (paper, table I).
const STAGE_ADMITTED_SHARE: [f64; 4] = [1.0, 0.9, 0.7, 0.5];
/// The stage that only the customers on the dearest plan pass.
const LAST_STAGE: usize = 4;
/// The least stay on a stage before a higher one, so that its effect is seen.
pub(crate) const MIN_STAGE_TIME_UP: Duration = Duration::from_millis(1500);
/// The least stay on a stage before a lower one.
const MIN_STAGE_TIME_DOWN: Duration = Duration::from_secs(2);
/// How long the same customers are shed: longer than clients retry.
const SHEDDING_EPOCH: Duration = Duration::from_secs(10);
/// Pressure that raises an alert.
const HIGH_PRESSURE: f64 = 1.0;
/// Pressure that ends an alert: between the two nothing moves.
const LOW_PRESSURE: f64 = 0.75;
/// Attempts in flight at a backend, from all gateways, to begin with; the limit is then found by latency.
const INITIAL_CONCURRENCY: f64 = 10.0;
/// Pressure under which the concurrency limit may grow.
const GROWTH_PRESSURE: f64 = 0.4;
/// Share rejected for want of capacity that raises an alert while the pressure is not low.
const ALERT_REJECTION_RATE: f64 = 0.05;
/// Memory of the pressure: some dozen answers.
pub(crate) const PRESSURE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// The stage from which customers unseen so far are shed like others.
const FIRST_STAGE_FOR_UNSEEN: usize = 2;
/// Weight of a new answer for the rejection rate.
const REJECTION_WEIGHT: f64 = 0.05;
/// Factor on the concurrency limit when the pressure is high.
const LIMIT_DECREASE: f64 = 0.85;

impl LoadShedder {
    pub(crate) fn new() -> Self {
        LoadShedder { concurrency_per_backend: INITIAL_CONCURRENCY, ..LoadShedder::default() }
    }

    /// Whether nobody is shed.
    pub(crate) fn is_idle(&self) -> bool {
        self.stage == 0
    }

    /// Whether the stage lets a customer pass. Whom it sheds is fixed for an epoch, alike at all gateways: a
    /// draw for each request would admit rejected clients' retries, too late to earn anything, until they
    /// fill the fleet and cause the next rejections.
    pub(crate) fn admits(&self, now: Instant, request: &Request, plans: &[Plan], unseen: bool) -> bool {
        if self.stage == 0 || (unseen && self.stage < FIRST_STAGE_FOR_UNSEEN) {
            return true;
        }
        let top_price = plans.iter().map(|plan| plan.price).fold(f64::MIN, f64::max);
        let prices_differ = plans.iter().any(|plan| plan.price < top_price);
        if prices_differ && plans[usize::from(request.plan)].price >= top_price {
            return true;
        }
        if prices_differ && self.stage == LAST_STAGE {
            return false;
        }
        epoch_draw(now, request.customer) < STAGE_ADMITTED_SHARE[self.stage.min(3)]
    }

    /// Takes in how an answer compares with the highest latency that passes for normal.
    pub(crate) fn record_pressure(&mut self, now: Instant, ratio: f64, load: GatewayLoad) {
        let keep = decay(self.pressure_updated_at, now, PRESSURE_TIME_CONSTANT).min(0.98);
        self.pressure = self.pressure * keep + ratio.min(4.0) * (1.0 - keep);
        self.pressure_updated_at = now;
        // Back to where it began at any pressure short of an alert: else a limit once reduced stays reduced.
        let reduced = self.concurrency_per_backend < INITIAL_CONCURRENCY;
        let growth_pressure = if reduced { LOW_PRESSURE } else { GROWTH_PRESSURE };
        let limit = self.concurrency_limit(load);
        if self.pressure < growth_pressure && f64::from(load.in_flight) > limit * 0.7 {
            self.concurrency_per_backend *= 1.0 + 2.0 / limit.max(2.0).powi(2);
        }
    }

    /// Attempts that may be in flight: the backends left when others fall must not inherit their load.
    pub(crate) fn concurrency_limit(&self, load: GatewayLoad) -> f64 {
        (self.concurrency_per_backend * load.ready_backends as f64 / load.fleet_size as f64).max(1.0)
    }

    pub(crate) fn record_admission(&mut self) {
        self.rejection_rate -= REJECTION_WEIGHT * self.rejection_rate;
    }

    pub(crate) fn record_rejection(&mut self) {
        self.rejection_rate += REJECTION_WEIGHT * (1.0 - self.rejection_rate);
    }

    /// Moves by at most one stage, and reduces the concurrency limit under pressure.
    pub(crate) fn update(&mut self, now: Instant, load: GatewayLoad, actions: &mut Vec<Action>) {
        let stage = self.next_stage(now);
        if stage != self.stage {
            self.stage_changed_at = now;
            actions.push(self.stage_change(stage, self.concurrency_limit(load), load.in_flight));
            self.stage = stage;
        }
        // One reduction in a memory of the pressure: answers sent before it must not cause the next one.
        let settled = now.duration_since(self.limit_reduced_at) > PRESSURE_TIME_CONSTANT;
        if self.pressure > HIGH_PRESSURE && settled {
            let reduced = self.concurrency_per_backend * LIMIT_DECREASE;
            self.concurrency_per_backend = reduced.max(INITIAL_CONCURRENCY / 6.0);
            self.limit_reduced_at = now;
        }
    }

    /// The stage for now, one up or down at most.
    fn next_stage(&self, now: Instant) -> usize {
        let since = now.duration_since(self.stage_changed_at);
        // Rejections alone hold no alert up: shedding causes them, and the fleet may be idle behind them.
        let rejecting = self.pressure > LOW_PRESSURE && self.rejection_rate > ALERT_REJECTION_RATE;
        let alert = self.pressure > HIGH_PRESSURE || rejecting;
        if alert && since > MIN_STAGE_TIME_UP && self.stage < LAST_STAGE {
            self.stage + 1
        } else if self.pressure < LOW_PRESSURE && since > MIN_STAGE_TIME_DOWN && self.stage > 0 {
            self.stage - 1
        } else {
            self.stage
        }
    }
}

/// A number from 0 to 1, the same for a customer at all gateways for an epoch.
pub(crate) fn epoch_draw(now: Instant, customer: CustomerId) -> f64 {
    hash(customer.0 ^ now.period_index(SHEDDING_EPOCH) << 33)
}
