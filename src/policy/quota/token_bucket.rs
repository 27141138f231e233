//! The token bucket of a customer's quota, and the computation of refill times.

use crate::{Duration, Plan};

/// Tolerance for floating-point rounding errors in the level of a bucket, in units.
const ROUNDING_MARGIN: f64 = 1e-9;
/// Upper bound of the computed refill time of a plan's buckets, in seconds.
const MAX_REFILL_SECONDS: f64 = 1e6;

/// One gateway's view of the token bucket of a customer's quota, which all gateways share. A token is one
/// unit.
#[derive(Default)]
pub(super) struct QuotaBucket {
    /// Tokens in the bucket; negative for a debt.
    tokens: f64,
    /// Tokens that the bucket initially lacked to be full, because usage before this gateway's start is
    /// unknown.
    withheld: f64,
}

impl QuotaBucket {
    /// Creates a bucket with a number of tokens. The rest of the plan's burst is withheld.
    pub(super) fn new(plan: &Plan, tokens: f64) -> QuotaBucket {
        QuotaBucket { tokens, withheld: plan.burst - tokens }
    }

    /// Returns the tokens in the bucket; negative for a debt.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns whether the bucket holds the plan's burst.
    pub(super) fn is_full(&self, plan: &Plan) -> bool {
        self.tokens + ROUNDING_MARGIN >= plan.burst
    }

    /// Adds the tokens of an elapsed time at a rate in units per second, up to the bucket's capacity.
    pub(super) fn refill(&mut self, plan: &Plan, rate: f64, seconds: f64) {
        self.tokens = (self.tokens + rate * seconds).min(plan.burst);
    }

    /// Takes units from the bucket; negative units are returned to it. Limits the debt to the bucket's
    /// capacity.
    pub(super) fn charge_clamped(&mut self, plan: &Plan, units: f64) {
        self.tokens = (self.tokens - units).clamp(-plan.burst, plan.burst);
    }

    /// Deducts units that are already used or granted, without a limit on the debt.
    pub(super) fn deduct_unclamped(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Replaces the charge for granted units by one for the units that were used. The level stays between
    /// `min_tokens` and the bucket's capacity.
    pub(super) fn settle_clamped(
        &mut self,
        plan: &Plan,
        granted_units: f64,
        used_units: f64,
        min_tokens: f64,
    ) {
        self.tokens = (self.tokens + granted_units - used_units).clamp(min_tokens, plan.burst);
    }

    /// Sets the level to the one that an owner reported.
    pub(super) fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Lowers the level to a number of tokens if it is higher.
    pub(super) fn lower_to(&mut self, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
    }

    /// Deducts units that were used before this gateway's start from the withheld tokens.
    pub(super) fn deduct_withheld(&mut self, units: f64) {
        self.withheld -= units;
    }

    /// Adds the withheld tokens that are left; later calls add nothing.
    pub(super) fn release_withheld(&mut self) {
        self.tokens += std::mem::take(&mut self.withheld).max(0.0);
    }
}

/// Returns the seconds until a bucket with `tokens` holds `units`, at a refill rate in units per second;
/// `None` if it holds them now.
pub(super) fn time_to_refill(tokens: f64, units: f64, refill_rate: f64) -> Option<f64> {
    let is_lacking = tokens + ROUNDING_MARGIN < units;
    is_lacking.then(|| (units - tokens) / refill_rate)
}

/// Returns the time in which both buckets of a plan refill from empty; [`MAX_REFILL_SECONDS`] for a bucket
/// without a refill rate.
pub(super) fn refill_time(plan: &Plan) -> Duration {
    // A limit that the plan does not have gives 0 / 0, a NaN. `max` ignores a single NaN; the conversion
    // turns the NaN of a plan without limits into a duration of zero.
    let seconds = (plan.burst / plan.rate).max(plan.hard_limit_burst / plan.hard_limit_rate);
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_REFILL_SECONDS))
}

#[cfg(test)]
mod tests;
