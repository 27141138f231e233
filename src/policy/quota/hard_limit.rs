//! One gateway's share of a customer's hard limit.

use super::time_to_refill;
use crate::state::MICROS_PER_SECOND;
use crate::{Duration, Plan};

/// Minimum fraction of a hard limit in the computation of waits, which would be infinite for a fraction of 0.
const MIN_FRACTION: f64 = 0.01;

/// A token bucket for this gateway's fraction of a hard limit, and the units that other gateways have granted
/// in addition.
#[derive(Default)]
pub(super) struct HardLimitShare {
    /// Fraction of the hard limit that this gateway holds.
    pub fraction: f64,
    /// Units in the bucket.
    pub tokens: f64,
    /// Units that other gateways granted for the waiting requests, and that no other request may use.
    pub granted: f64,
}

impl HardLimitShare {
    /// Sets the bucket to the tokens refilled since the gateway's start, `age` ago, and at most `max_tokens`.
    /// Usage before the start is unknown, so the bucket is assumed to have been empty then.
    pub(super) fn fill_since_start(&mut self, plan: &Plan, age: Duration, max_tokens: f64) {
        let refilled = plan.hard_limit_rate * age.as_micros_f64() / MICROS_PER_SECOND;
        self.tokens = (refilled.min(plan.hard_limit_burst) * self.fraction).min(max_tokens);
    }

    /// Adds the tokens of an elapsed time, up to the bucket's capacity.
    pub(super) fn refill(&mut self, plan: &Plan, seconds: f64) {
        self.tokens = (self.tokens + plan.hard_limit_rate * self.fraction * seconds)
            .min(plan.hard_limit_burst * self.fraction);
    }

    /// Returns whether the bucket is full, or the plan has no hard limit.
    pub(super) fn is_full(&self, plan: &Plan) -> bool {
        let capacity = plan.hard_limit_burst * self.fraction;
        plan.hard_limit_rate <= 0.0 || time_to_refill(self.tokens, capacity, plan.hard_limit_rate).is_none()
    }

    /// Takes units, from the granted ones first; negative units are returned to the bucket.
    pub(super) fn charge(&mut self, plan: &Plan, units: f64) {
        let granted = units.clamp(0.0, self.granted);
        self.granted -= granted;
        self.tokens = (self.tokens - units + granted).min(plan.hard_limit_burst * self.fraction);
    }

    /// Returns the seconds until the share may hold the units of a request; `None` if it holds them now, or
    /// if the plan has no hard limit.
    pub(super) fn wait_seconds(&self, plan: &Plan, units: f64) -> Option<f64> {
        let refill_rate = plan.hard_limit_rate * self.fraction.max(MIN_FRACTION);
        self.time_until(units, refill_rate).filter(|_| plan.hard_limit_rate > 0.0)
    }

    /// Returns the seconds until the share holds `units`, at a refill rate in units per second; `None` if it
    /// holds them now.
    fn time_until(&self, units: f64, refill_rate: f64) -> Option<f64> {
        time_to_refill(self.tokens + self.granted, units, refill_rate)
    }
}

#[cfg(test)]
mod tests;
