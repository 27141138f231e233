//! Times in which the token buckets of a plan refill.

use crate::{Duration, Plan};

/// Units that a bucket may lack because sums were rounded.
const ROUNDING_MARGIN: f64 = 1e-9;
/// The longest time, in seconds, that buckets are taken to need to refill.
const MAX_REFILL_SECONDS: f64 = 1e6;

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
