//! The clock of the event loop.

use ingress::{Duration, Instant, UnixTime};
use std::time::{SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at the current Unix time.
///
/// Later steps of the wall clock do not affect it, so that durations are exact.
pub struct Clock {
    monotonic_start: std::time::Instant,
    wall_clock_start: Instant,
}

impl Clock {
    /// Starts the clock at the wall clock's time.
    pub fn new() -> Self {
        Clock {
            monotonic_start: std::time::Instant::now(),
            wall_clock_start: Instant::from_micros(unix_time().as_micros()),
        }
    }

    /// Returns the time that has passed since the start, added to the wall clock's time at the start.
    pub fn now(&self) -> Instant {
        self.wall_clock_start + Duration::from_micros(self.monotonic_start.elapsed().as_micros() as u64)
    }
}

/// Returns the wall clock's time, which may be stepped.
pub fn unix_time() -> UnixTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixTime::from_micros(elapsed.as_micros() as u64)
}
