//! What a gateway knows of a backend.

use crate::policy::{BackendHealth, RecentSends, ReportedQueue};
use crate::{Duration, Endpoint, Instant};

/// A backend that is ready, or that attempts are still in flight at.
#[derive(Default)]
pub(crate) struct Backend {
    /// Its latest entry of the endpoint list.
    pub endpoint: Endpoint,
    /// Its capacity relative to others, 1 where the list does not say.
    pub size: f64,
    /// It is listed as taking work.
    pub ready: bool,
    /// Attempts of this gateway in flight there.
    pub in_flight: u32,
    /// Failures, ejections and latencies, by class.
    pub(crate) health: BackendHealth,
    /// Requests waiting there as last reported.
    pub(crate) reported_queue: ReportedQueue,
    /// When attempts were sent there, within the overload window.
    pub(crate) recent_sends: RecentSends,
}

impl Backend {
    /// Records that an attempt is sent there; sends older than `window` are forgotten.
    pub(crate) fn begin_attempt(&mut self, now: Instant, window: Duration) {
        self.in_flight += 1;
        self.recent_sends.record(now, window);
    }

    /// Records that an attempt there has ended.
    pub(crate) fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
