//! Queue depth that a backend reports.

use crate::state::decay;
use crate::{Duration, Instant};

/// Time constant with which a report decays, since the queue changes after it.
const REPORT_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Maximum accepted queue depth, in requests. A wrong report must not keep a backend without load for long.
const MAX_DEPTH: f64 = 1000.0;

/// Estimated number of requests in a backend's queue, from its latest report.
#[derive(Default)]
pub(crate) struct ReportedQueue {
    /// Requests of all gateways at the time of the report.
    depth: f64,
    reported_at: Instant,
}

impl ReportedQueue {
    /// Records the queue depth that the backend reported.
    pub(crate) fn report(&mut self, depth: f64, now: Instant) {
        self.depth = depth.clamp(0.0, MAX_DEPTH);
        self.reported_at = now;
    }

    /// Records a rejection by the backend. It counts as one more request from each gateway, since all of
    /// them send to the same full queue.
    pub(crate) fn record_rejection(&mut self, fleet_size: u64) {
        self.depth += fleet_size as f64;
    }

    /// Discards what a previous process of the backend reported.
    pub(crate) fn clear(&mut self) {
        self.depth = 0.0;
    }

    /// Returns the estimated queue depth, which decays from the time of the report.
    pub(super) fn depth_at(&self, now: Instant) -> f64 {
        self.depth * decay(self.reported_at, now, REPORT_TIME_CONSTANT)
    }
}

#[cfg(test)]
mod tests;
