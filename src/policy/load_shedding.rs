//! Load shedding: the pressure that answers show, the shedding stages, and the limit on attempts in flight.

use crate::{state::*, *};

/// Share of customers on ordinary plans that passes, by stage (paper, table I); customers unseen so far are
/// cut from stage 2 on.
const STAGE_ADMITTED_SHARE: [f64; 4] = [1.0, 0.9, 0.7, 0.5];
/// The stage that only the customers on the dearest plan pass.
const LAST_STAGE: usize = 4;
/// The least stay on a stage before a higher one, so that its effect is seen.
pub(crate) const MIN_STAGE_TIME_UP: Micros = 1_500_000;
/// The least stay on a stage before a lower one.
const MIN_STAGE_TIME_DOWN: Micros = 2_000_000;
/// How long the same customers are shed: longer than clients retry.
const SHEDDING_EPOCH: Micros = 10_000_000;
/// Pressure that raises an alert.
const HIGH_PRESSURE: f64 = 1.0;
/// Pressure that ends an alert: between the two nothing moves.
const LOW_PRESSURE: f64 = 0.75;
/// Attempts in flight at a backend, from all gateways, to begin with; the limit is then found by latency.
pub(crate) const INITIAL_CONCURRENCY: f64 = 10.0;
/// Pressure under which the concurrency limit may grow.
const GROWTH_PRESSURE: f64 = 0.4;
/// Share rejected for want of capacity that raises an alert while the pressure is not low.
const ALERT_REJECTION_RATE: f64 = 0.05;
/// Memory of the pressure in seconds: some dozen answers.
pub(crate) const PRESSURE_TIME_CONSTANT: f64 = 1.0;

impl Gateway {
    /// Whether the rung lets this customer pass. Whom it cuts is fixed for an epoch, alike at all gateways:
    /// a coin for each request would let refused clients' retries in, too late to earn anything, until they
    /// fill the fleet and cause the next refusals. It hurts those cut for a whole epoch.
    pub(crate) fn passes_shedding(&self, customer: CustomerId, plan: usize, green: bool) -> bool {
        if self.shedding_stage == 0 || (green && self.shedding_stage < 2) {
            return true;
        }
        let top = self.settings.plans.iter().map(|p| p.price).fold(f64::MIN, f64::max);
        let differ = self.settings.plans.iter().any(|p| p.price < top);
        let share = if self.shedding_stage == LAST_STAGE && differ {
            0.0
        } else {
            STAGE_ADMITTED_SHARE[self.shedding_stage.min(3)]
        };
        (differ && self.settings.plans[plan].price >= top) || self.epoch_draw(customer) < share
    }

    pub(crate) fn epoch_draw(&self, customer: CustomerId) -> f64 {
        hash(customer.0 ^ (self.now / SHEDDING_EPOCH) << 33)
    }

    pub(crate) fn record_pressure(&mut self, ratio: f64) {
        let keep = decay(self.pressure_updated_at, self.now, PRESSURE_TIME_CONSTANT).min(0.98);
        self.pressure = self.pressure * keep + ratio.min(4.0) * (1.0 - keep);
        self.pressure_updated_at = self.now;
        // Back to where it began at any pressure short of an alert: else a bound once cut stays cut.
        let below =
            if self.concurrency_per_backend < INITIAL_CONCURRENCY { LOW_PRESSURE } else { GROWTH_PRESSURE };
        if self.pressure < below && self.in_flight as f64 > self.concurrency_limit() * 0.7 {
            self.concurrency_per_backend *= 1.0 + 2.0 / self.concurrency_limit().max(2.0).powi(2);
        }
    }

    /// The bound on what this gateway has out: those left when backends fall must not inherit their load.
    pub(crate) fn concurrency_limit(&self) -> f64 {
        (self.concurrency_per_backend * self.ready_backends.len() as f64 / self.fleet_size as f64).max(1.0)
    }

    pub(crate) fn update_shedding_stage(&mut self, actions: &mut Vec<Action>) {
        let (since, rung) = (self.now - self.stage_changed_at, self.shedding_stage);
        // Refusals alone hold no alert up: cutting causes refusals, and the fleet may be idle behind them.
        let refusing = self.pressure > LOW_PRESSURE && self.rejection_rate > ALERT_REJECTION_RATE;
        if (self.pressure > HIGH_PRESSURE || refusing) && since > MIN_STAGE_TIME_UP && rung < LAST_STAGE {
            self.shedding_stage += 1;
        } else if self.pressure < LOW_PRESSURE && since > MIN_STAGE_TIME_DOWN && rung > 0 {
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
        if self.pressure > HIGH_PRESSURE
            && self.now - self.limit_reduced_at > (PRESSURE_TIME_CONSTANT * SECOND) as Micros
        {
            self.concurrency_per_backend =
                (self.concurrency_per_backend * 0.85).max(INITIAL_CONCURRENCY / 6.0);
            self.limit_reduced_at = self.now;
        }
    }
}
