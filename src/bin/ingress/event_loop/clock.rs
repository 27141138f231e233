//! The event loop's clock.

use ingress::{Duration, Instant, UnixTime};
use std::time::{SystemTime, UNIX_EPOCH};

/// A monotonic clock that begins with the Unix time at its start.
///
/// Later steps of the wall clock do not change it, so its spans are real time.
pub struct Clock {
    /// The start, by the system's monotonic clock.
    monotonic_start: std::time::Instant,
    /// The start, by the wall clock.
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

    /// The time.
    pub fn now(&self) -> Instant {
        self.wall_clock_start + Duration::from_micros(self.monotonic_start.elapsed().as_micros() as u64)
    }
}

/// The time by the wall clock, which may be stepped.
pub fn unix_time() -> UnixTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixTime::from_micros(elapsed.as_micros() as u64)
}
