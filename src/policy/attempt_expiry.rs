//! Expiry of attempts before the deadline of their client.

use crate::{Class, Duration, Instant};

/// Input of [`attempt_expiry`].
#[derive(Clone, Copy)]
pub(crate) struct ExpiryContext<'a> {
    pub now: Instant,
    /// Arrival time of the request.
    pub arrived_at: Instant,
    pub class: &'a Class,
    /// Whether the customer's plan limits the number of attempts in flight.
    pub has_concurrency_quota: bool,
    /// Whether attempts expire at the latency objective if a late answer has no value.
    pub expires_attempts_at_latency_objective: bool,
    /// Minimum time between two events with different clock readings; an attempt lasts at least this long.
    pub tick: Duration,
}

/// Returns the time at which an attempt expires, or `None` if it lasts until its client's deadline.
///
/// After the latency objective an attempt may have no value but still count towards its customer's
/// concurrency quota; its expiry makes room for another attempt.
pub(crate) fn attempt_expiry(context: &ExpiryContext<'_>) -> Option<Instant> {
    let ExpiryContext { now, arrived_at, class, tick, .. } = *context;
    let has_no_late_value = class.late_weight == 0.0 && class.latency_objective_stretch == 0.0;
    if !context.expires_attempts_at_latency_objective || !context.has_concurrency_quota || !has_no_late_value
    {
        return None;
    }
    Some((arrived_at + class.latency_objective).max(now + tick))
}

#[cfg(test)]
mod tests;
