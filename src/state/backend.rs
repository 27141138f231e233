//! The record that a gateway keeps of each backend.

use crate::policy::{BackendHealth, RecentSends, ReportedQueue};
use crate::{Duration, Endpoint, Instant};

/// A backend that is ready or has attempts in flight.
#[derive(Default)]
pub(crate) struct Backend {
    /// Latest entry of the endpoint list.
    pub endpoint: Endpoint,
    /// Capacity relative to other backends; 1 if the endpoint list gives none.
    pub size: f64,
    /// Whether the endpoint list contains the backend as [`Availability::Ready`](crate::Availability::Ready).
    pub ready: bool,
    /// Number of this gateway's attempts in flight.
    pub in_flight: u32,
    /// Failure rates, ejections and latencies by class.
    pub(crate) health: BackendHealth,
    /// Estimated number of requests in the backend's queue, from its latest report.
    pub(crate) reported_queue: ReportedQueue,
    /// Send times of attempts within the overload window.
    pub(crate) recent_sends: RecentSends,
}

impl Backend {
    /// Records an attempt that is sent at `now`, and removes sends older than `window`.
    pub(crate) fn begin_attempt(&mut self, now: Instant, window: Duration) {
        self.in_flight += 1;
        self.recent_sends.record(now, window);
    }

    /// Records that an attempt has ended.
    pub(crate) fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
