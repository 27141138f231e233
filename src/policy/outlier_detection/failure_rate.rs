//! Failure rate: the share of recent attempts that failed.

use crate::state::DecayingAverage;
use crate::{Duration, Instant};

/// Time constant with which the rate decays without attempts, so that backends that were ejected or avoided
/// are tried again.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Share of recent attempts that failed, from 0 to 1.
#[derive(Clone, Default)]
pub(super) struct FailureRate(DecayingAverage);

impl FailureRate {
    /// Returns the rate at `now`, from 0 to 1.
    pub(super) fn at(&self, now: Instant) -> f64 {
        self.0.at(now, TIME_CONSTANT)
    }

    /// Records an attempt with a weight from 0 to 1; a weight of 1 replaces the previous rate.
    pub(super) fn record(&mut self, now: Instant, failed: bool, weight: f64) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.0.record(now, sample, weight, TIME_CONSTANT);
    }
}
