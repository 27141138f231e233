//! One gateway's share of a customer's hard limit.

use super::time_to_refill;
use crate::state::MICROS_PER_SECOND;
use crate::{Duration, Plan};

/// The smallest share of a hard limit by which a wait is computed: without any it would be endless.
const MIN_FRACTION: f64 = 0.01;

/// A token bucket for this gateway's fraction of the hard limit, and what other gateways have granted in
/// addition.
#[derive(Default)]
pub(super) struct HardLimitShare {
    /// The fraction of the hard limit that is this gateway's own.
    pub fraction: f64,
    /// Units in the bucket.
    pub tokens: f64,
    /// Units granted for the requests that wait, and for those alone.
    pub granted: f64,
}

impl HardLimitShare {
    /// Fills the bucket with what was refilled since the gateway's start, `max_tokens` at most: as usage
    /// before the start is not known, the bucket is taken to have been empty then.
    pub(super) fn fill_since_start(&mut self, plan: &Plan, age: Duration, max_tokens: f64) {
        let refilled = plan.hard_limit_rate * age.as_micros_f64() / MICROS_PER_SECOND;
        self.tokens = (refilled.min(plan.hard_limit_burst) * self.fraction).min(max_tokens);
    }

    /// Adds the tokens of so many seconds, up to the bucket's capacity.
    pub(super) fn refill(&mut self, plan: &Plan, seconds: f64) {
        self.tokens = (self.tokens + plan.hard_limit_rate * self.fraction * seconds)
            .min(plan.hard_limit_burst * self.fraction);
    }

    /// Draws units, from the granted ones first; negative units are given back to the bucket.
    pub(super) fn charge(&mut self, plan: &Plan, units: f64) {
        let granted = units.clamp(0.0, self.granted);
        self.granted -= granted;
        self.tokens = (self.tokens - units + granted).min(plan.hard_limit_burst * self.fraction);
    }

    /// Seconds until the share may have the units of a request; none if it has them now, or if there is no
    /// hard limit.
    pub(super) fn wait_seconds(&self, plan: &Plan, units: f64) -> Option<f64> {
        let refill_rate = plan.hard_limit_rate * self.fraction.max(MIN_FRACTION);
        self.time_until(units, refill_rate).filter(|_| plan.hard_limit_rate > 0.0)
    }

    /// Seconds until the share has so many units, at a refill rate in units a second; none if it has them
    /// now.
    fn time_until(&self, units: f64, refill_rate: f64) -> Option<f64> {
        time_to_refill(self.tokens + self.granted, units, refill_rate)
    }
}

#[cfg(test)]
mod tests;
