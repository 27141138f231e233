//! Wake-ups of a gateway for work that depends only on time: deadlines, late attempts, messages to peers.

use crate::{Duration, Instant};

/// Ticks of the host between two wake-ups; more frequent wake-ups would cost processor time.
const TICKS_PER_INTERVAL: u64 = 5;
/// Missed wake-ups after which the host counts as stalled.
const MAX_MISSED_WAKE_UPS: u64 = 4;

/// Returns the time between two wake-ups of a gateway whose host has this tick.
pub(crate) fn wake_up_interval(tick: Duration) -> Duration {
    tick * TICKS_PER_INTERVAL
}

/// Schedule of a gateway's wake-ups.
#[derive(Default)]
pub(crate) struct WakeUpSchedule {
    interval: Duration,
    /// Time of the next wake-up; `None` before the first event.
    due_at: Option<Instant>,
}

impl WakeUpSchedule {
    /// Creates the schedule of a gateway whose host has this tick.
    pub(crate) fn new(tick: Duration) -> Self {
        WakeUpSchedule { interval: wake_up_interval(tick).max(Duration::MICROSECOND), due_at: None }
    }

    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.due_at.is_none_or(|due_at| now >= due_at)
    }

    /// Returns whether the host stalled for so long that several wake-ups were missed.
    pub(crate) fn was_host_stalled(&self, now: Instant) -> bool {
        self.due_at.is_some_and(|due_at| now > due_at + self.interval * MAX_MISSED_WAKE_UPS)
    }

    /// Schedules the next wake-up. Returns the time until then.
    pub(crate) fn schedule_next(&mut self, now: Instant) -> Duration {
        self.due_at = Some(now + self.interval);
        self.interval
    }
}

#[cfg(test)]
mod tests;
