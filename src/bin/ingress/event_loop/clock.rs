//! The event loop's clock.

use ingress::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the Unix epoch, as it was read at the start. Later steps of the system's clock do
/// not reach it: all spans are real time.
pub struct Clock {
    /// When the clock was started.
    started: Instant,
    /// The Unix time of the start.
    offset: Micros,
}

impl Clock {
    /// Starts the clock from the system's.
    pub fn new() -> Self {
        Clock { started: Instant::now(), offset: unix_time() }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.offset + self.started.elapsed().as_micros() as Micros
    }
}

/// The Unix time by the system's clock, which may be stepped.
pub fn unix_time() -> Micros {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_micros() as Micros
}
