//! When an attempt is given up before its client's deadline.

use crate::{Class, Duration, Instant};

/// What the expiry of an attempt depends on.
#[derive(Clone, Copy)]
pub(crate) struct ExpiryContext<'a> {
    /// The time.
    pub now: Instant,
    /// When its request arrived.
    pub arrived_at: Instant,
    /// The class of its request.
    pub class: &'a Class,
    /// Whether its customer may have a limited number of attempts in flight.
    pub has_concurrency_quota: bool,
    /// Whether the way in which quotas are owned wants worthless attempts given up.
    pub gives_up_worthless_attempts: bool,
    /// The least time between two events with a new clock: an attempt has at least as long.
    pub tick: Duration,
}

/// When an attempt is given up; none for its client's deadline.
///
/// Past its latency objective an attempt may be worth nothing, but still counts towards its customer's
/// concurrency quota: giving it up makes room for another.
pub(crate) fn attempt_expiry(context: &ExpiryContext<'_>) -> Option<Instant> {
    let ExpiryContext { now, arrived_at, class, tick, .. } = *context;
    let is_worthless_when_late = class.late_weight == 0.0 && class.latency_objective_stretch == 0.0;
    if !context.gives_up_worthless_attempts || !context.has_concurrency_quota || !is_worthless_when_late {
        return None;
    }
    Some((arrived_at + class.latency_objective).max(now + tick))
}

#[cfg(test)]
mod tests;
