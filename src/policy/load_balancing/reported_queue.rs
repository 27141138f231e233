//! The queue of a backend, as it reported it.

use crate::state::decay;
use crate::{Duration, Instant};

/// Time constant with which a report counts less and less: the queue is another one by then.
const REPORT_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// The deepest queue that is believed, in requests: a wrong report must not keep a backend without load for
/// long.
const MAX_DEPTH: f64 = 1000.0;

/// The requests that wait at a backend, as it last reported them.
#[derive(Default)]
pub(crate) struct ReportedQueue {
    /// Requests of all gateways, as of the report.
    depth: f64,
    /// When the report came.
    reported_at: Instant,
}

impl ReportedQueue {
    /// Takes a report of so many requests.
    pub(crate) fn report(&mut self, depth: f64, now: Instant) {
        self.depth = depth.clamp(0.0, MAX_DEPTH);
        self.reported_at = now;
    }

    /// A rejection by the backend counts as one more request from each gateway: all of them meet a full
    /// queue.
    pub(crate) fn record_rejection(&mut self, fleet_size: u64) {
        self.depth += fleet_size as f64;
    }

    /// Forgets what an earlier process of the backend reported.
    pub(crate) fn clear(&mut self) {
        self.depth = 0.0;
    }

    /// The requests that may still wait; fewer the longer ago the report came.
    pub(super) fn depth_at(&self, now: Instant) -> f64 {
        self.depth * decay(self.reported_at, now, REPORT_TIME_CONSTANT)
    }
}

#[cfg(test)]
mod tests;
