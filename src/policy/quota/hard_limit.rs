//! One gateway's share of a customer's hard limit.

use super::time_to_refill;
use crate::Plan;

/// A token bucket for this gateway's fraction of the hard limit, and what other gateways have granted
/// besides.
#[derive(Default)]
pub struct HardLimitShare {
    /// The two gateways that hold most of the hard limit, and grant it.
    pub owners: [u16; 2],
    /// The fraction of the hard limit that is this gateway's own.
    pub fraction: f64,
    /// Tokens in the bucket.
    pub tokens: f64,
    /// Units granted for the requests that wait, and for those alone.
    pub granted: f64,
}

impl HardLimitShare {
    /// Adds the tokens of so many seconds, up to the bucket's capacity.
    pub fn refill(&mut self, plan: &Plan, seconds: f64) {
        self.tokens = (self.tokens + plan.hard_limit_rate * self.fraction * seconds)
            .min(plan.hard_limit_burst * self.fraction);
    }

    /// Draws units, from the granted ones first; negative units are given back to the bucket.
    pub fn charge(&mut self, plan: &Plan, units: f64) {
        let granted = units.clamp(0.0, self.granted);
        self.granted -= granted;
        self.tokens = (self.tokens - units + granted).min(plan.hard_limit_burst * self.fraction);
    }

    /// Seconds until the share has so many units, at a refill rate; none if it has them now.
    pub fn time_until(&self, units: f64, refill_rate: f64) -> Option<f64> {
        time_to_refill(self.tokens + self.granted, units, refill_rate)
    }
}

#[cfg(test)]
mod tests;
