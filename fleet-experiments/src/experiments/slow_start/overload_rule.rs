//! The overload rule: how much a backend in slow start may be sent, and how much of that was used.

use super::SlowStartScenario;
use crate::simulation::START;
use ingress::{Duration, Instant};

/// The window that the rule is about.
pub const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);
/// The share of its capacity that a backend serves as it starts.
pub const SLOW_START_FLOOR: f64 = 0.23;
/// How long a backend takes from its start until it serves its capacity.
pub const SLOW_START_DURATION: Duration = Duration::from_secs(15);
/// When half of the backends restart: the fleet has run for a while by then.
pub const RESTART: Instant = START.saturating_add(Duration::from_secs(5));
/// When their slow start is over.
pub const SLOW_START_END: Instant = RESTART.saturating_add(SLOW_START_DURATION);

/// How many requests a restarted backend may be sent from its restart until `until`.
fn budget(scenario: &SlowStartScenario, until: Instant) -> f64 {
    let age = until.duration_since(RESTART).min(SLOW_START_DURATION).as_secs_f64();
    let duration = SLOW_START_DURATION.as_secs_f64();
    let capacity_served = SLOW_START_FLOOR * age + (1.0 - SLOW_START_FLOOR) * age * age / duration / 2.0;
    scenario.overload_factor * scenario.capacity * capacity_served
}

/// Requests sent to a backend, as a share of its budget over the slow start.
pub fn budget_used(scenario: &SlowStartScenario, sends: &[Instant]) -> f64 {
    sends.len() as f64 / budget(scenario, SLOW_START_END)
}

/// The fullest window within the slow start of a backend, as a share of what the rule allows there. `sends`
/// is sorted.
///
/// The rule allows N + 2 sqrt(N) + 2 requests where N are the budget, and N + 3 sqrt(N) + 3 for N under 30.
/// Here the first bound holds for every N: the experiment is the stricter one.
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
