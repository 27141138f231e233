//! The event loop's clock.

use ingress::{Duration, Instant, UnixTime};
use std::time::{SystemTime, UNIX_EPOCH};

/// A monotonic clock that begins with the Unix time at its start.
///
/// Later steps of the wall clock do not change it, so its spans are real time.
pub struct Clock {
    /// The start, by the system's monotonic clock.
    started: std::time::Instant,
    /// The start, by the wall clock.
    started_at: Instant,
}

impl Clock {
    /// Starts the clock at the wall clock's time.
    pub fn new() -> Self {
        Clock {
            started: std::time::Instant::now(),
            started_at: Instant::from_micros(unix_time().as_micros()),
        }
    }

    /// The time.
    pub fn now(&self) -> Instant {
        self.started_at + Duration::from_micros(self.started.elapsed().as_micros() as u64)
    }
}

/// The time by the wall clock, which may be stepped.
pub fn unix_time() -> UnixTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixTime::from_micros(elapsed.as_micros() as u64)
}
