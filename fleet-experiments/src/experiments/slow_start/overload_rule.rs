//! Overload rule: limits the number of requests to a backend in slow start. Computes the share of the limit
//! that was sent.

use super::SlowStartScenario;
use crate::simulation::START;
use ingress::{Duration, Instant};

/// Length of the window to which the rule applies.
pub const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);
/// Share of its capacity that a backend serves at its start.
pub const SLOW_START_FLOOR: f64 = 0.23;
/// Time from the start of a backend until it serves its full capacity.
pub const SLOW_START_DURATION: Duration = Duration::from_secs(15);
/// Time at which half of the backends restart, after the fleet has run for some time.
pub const RESTART: Instant = START.saturating_add(Duration::from_secs(5));
/// End of the slow start of the restarted backends.
pub const SLOW_START_END: Instant = RESTART.saturating_add(SLOW_START_DURATION);

/// Returns the number of requests that may be sent to a restarted backend from its restart until `until`.
fn budget(scenario: &SlowStartScenario, until: Instant) -> f64 {
    let age = until.duration_since(RESTART).min(SLOW_START_DURATION).as_secs_f64();
    let duration = SLOW_START_DURATION.as_secs_f64();
    let capacity_served = SLOW_START_FLOOR * age + (1.0 - SLOW_START_FLOOR) * age * age / duration / 2.0;
    scenario.overload_factor * scenario.capacity * capacity_served
}

/// Returns the requests sent to a backend during slow start, as a share of its budget.
pub fn budget_used(scenario: &SlowStartScenario, sends: &[Instant]) -> f64 {
    sends.len() as f64 / budget(scenario, SLOW_START_END)
}

/// Returns the maximum number of requests in any window within the slow start of a backend, as a share of
/// the number that the rule allows there. `sends` must be sorted.
///
/// For a budget of N, the rule allows N + 2 sqrt(N) + 2 requests, or N + 3 sqrt(N) + 3 if N is below 30.
/// This function applies the first bound to every N, which is stricter than the rule.
pub fn peak_window(scenario: &SlowStartScenario, sends: &[Instant]) -> f64 {
    let mut peak = 0.0;
    for (first, window_start) in sends.iter().enumerate() {
        let window_end = *window_start + OVERLOAD_WINDOW;
        if window_end > SLOW_START_END {
            break;
        }
        let sent = sends[first..].partition_point(|sent_at| *sent_at < window_end) as f64;
        let allowed = budget(scenario, window_end) - budget(scenario, *window_start);
        peak = f64::max(peak, sent / (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
    peak
}
