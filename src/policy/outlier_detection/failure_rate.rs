//! Failure rates: the share of recent attempts that failed.

use crate::state::DecayingAverage;
use crate::{Duration, Instant};

/// Time constant with which the rate falls while no attempts are made: what was ejected or avoided is tried
/// again.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// The share of recent attempts that failed, from 0 to 1.
#[derive(Clone, Default)]
pub(super) struct FailureRate(DecayingAverage);

impl FailureRate {
    /// The rate now, from 0 to 1.
    pub(super) fn at(&self, now: Instant) -> f64 {
        self.0.at(now, TIME_CONSTANT)
    }

    /// Counts an attempt with a weight from 0 to 1; with 1 nothing is left of the rate before.
    pub(super) fn record(&mut self, now: Instant, failed: bool, weight: f64) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.0.record(now, sample, weight, TIME_CONSTANT);
    }
}
