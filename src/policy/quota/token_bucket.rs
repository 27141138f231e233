//! The token bucket of a customer's quota, and the times in which buckets refill.

use crate::{Duration, Plan};

/// Units that a bucket may lack because sums were rounded.
const ROUNDING_MARGIN: f64 = 1e-9;
/// The longest time, in seconds, that buckets are taken to need to refill.
const MAX_REFILL_SECONDS: f64 = 1e6;

/// The token bucket of a customer's quota over all gateways, as far as known to one of them. A token is a
/// unit.
#[derive(Default)]
pub(super) struct QuotaBucket {
    /// Tokens in the bucket; negative for a debt.
    tokens: f64,
    /// Tokens that were missing when the bucket was made, because usage before this gateway's start is not
    /// known.
    withheld: f64,
}

impl QuotaBucket {
    /// A bucket with so many tokens. What it lacks to be full is withheld.
    pub(super) fn new(plan: &Plan, tokens: f64) -> QuotaBucket {
        QuotaBucket { tokens, withheld: plan.burst - tokens }
    }

    /// Tokens in the bucket; negative for a debt.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens of so many seconds at a rate in units a second, up to the bucket's capacity.
    pub(super) fn refill(&mut self, plan: &Plan, rate: f64, seconds: f64) {
        self.tokens = (self.tokens + rate * seconds).min(plan.burst);
    }

    /// Draws units; negative units are given back. A debt is as large as the bucket at most.
    pub(super) fn charge_clamped(&mut self, plan: &Plan, units: f64) {
        self.tokens = (self.tokens - units).clamp(-plan.burst, plan.burst);
    }

    /// Draws units that were used or granted already, whatever debt that leaves.
    pub(super) fn deduct_unclamped(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Replaces a charge for units that were granted by one for those that were used. The bucket's level
    /// stays within `min_tokens` and the bucket's capacity.
    pub(super) fn settle_clamped(
        &mut self,
        plan: &Plan,
        granted_units: f64,
        used_units: f64,
        min_tokens: f64,
    ) {
        self.tokens = (self.tokens + granted_units - used_units).clamp(min_tokens, plan.burst);
    }

    /// Sets the level to what an owner says.
    pub(super) fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Lowers the level to so many tokens, if it is higher.
    pub(super) fn lower_to(&mut self, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
    }

    /// Takes units off the withheld tokens: they were used before this gateway's start.
    pub(super) fn deduct_withheld(&mut self, units: f64) {
        self.withheld -= units;
    }

    /// Adds the withheld tokens: nothing was used before this gateway's start.
    pub(super) fn release_withheld(&mut self) {
        self.tokens += std::mem::take(&mut self.withheld).max(0.0);
    }
}

/// Seconds until a bucket with so many tokens has those for `units`, at a refill rate in units a second; none
/// if it has them now.
pub(super) fn time_to_refill(tokens: f64, units: f64, refill_rate: f64) -> Option<f64> {
    let is_lacking = tokens + ROUNDING_MARGIN < units;
    is_lacking.then(|| (units - tokens) / refill_rate)
}

/// The time in which both buckets of a plan refill from empty; some days for a bucket that never does.
pub(super) fn refill_time(plan: &Plan) -> Duration {
    // Without any rate this is 0 / 0, a NaN, which becomes a duration of zero.
    let seconds = (plan.burst / plan.rate).max(plan.hard_limit_burst / plan.hard_limit_rate);
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_REFILL_SECONDS))
}

#[cfg(test)]
mod tests;
