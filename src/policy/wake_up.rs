//! When a gateway looks at all that depends on time alone: deadlines, late attempts, messages to peers.

use crate::{Duration, Instant};

/// Ticks of the host between two wake-ups: fewer would cost processor time.
const TICKS_PER_INTERVAL: u64 = 5;
/// Wake-ups that may be missed before the host is taken to have stood still.
const MAX_MISSED_WAKE_UPS: u64 = 4;

/// The time between two wake-ups of a gateway whose host has this tick.
pub(crate) fn wake_up_interval(tick: Duration) -> Duration {
    tick * TICKS_PER_INTERVAL
}

/// When the gateway is woken next.
#[derive(Default)]
pub(crate) struct WakeUpSchedule {
    /// The time between two wake-ups.
    interval: Duration,
    /// When the next one is due; none before the first event.
    due_at: Option<Instant>,
}

impl WakeUpSchedule {
    /// The schedule of a gateway whose host has this tick.
    pub(crate) fn new(tick: Duration) -> Self {
        WakeUpSchedule { interval: wake_up_interval(tick).max(Duration::MICROSECOND), due_at: None }
    }

    /// Whether a wake-up is due.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.due_at.is_none_or(|due_at| now >= due_at)
    }

    /// Whether the host stood still, so that wake-ups were missed.
    pub(crate) fn was_host_stalled(&self, now: Instant) -> bool {
        self.due_at.is_some_and(|due_at| now > due_at + self.interval * MAX_MISSED_WAKE_UPS)
    }

    /// Schedules the next wake-up, and returns how long it is until then.
    pub(crate) fn schedule_next(&mut self, now: Instant) -> Duration {
        self.due_at = Some(now + self.interval);
        self.interval
    }
}

#[cfg(test)]
mod tests;
