//! The event loop's clock.

use ingress::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the Unix epoch, since backends' start times are given in Unix time and peers
/// compare theirs. It is set once; later steps of the system's clock do not reach it.
pub struct Clock {
    /// When the clock was started.
    started: Instant,
    /// The Unix time of the start.
    offset: Micros,
}

impl Clock {
    /// Starts the clock from the system's.
    pub fn new() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), offset: unix_time.as_micros() as Micros }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.offset + self.started.elapsed().as_micros() as Micros
    }
}
