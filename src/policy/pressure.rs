//! Pressure: the ratio of recent latencies to the highest normal latency.
//!
//! The pressure includes:
//!
//! - successful answers to attempts of this gateway, by their latency;
//! - samples of successful answers that peers sent, in a large fleet;
//! - rejections by a backend, with a constant ratio.
//!
//! Errors, broken connections, timeouts and cancellations are not included, nor are latencies measured at
//! the first event after a stall of the host.

use crate::state::decay;
use crate::{Duration, Instant};

/// Pressure above which load is shed and the concurrency limit is reduced.
pub(crate) const HIGH_PRESSURE: f64 = 1.0;
/// Pressure below which the shedding stage falls. Between the two thresholds it never falls.
pub(crate) const LOW_PRESSURE: f64 = 0.75;
/// Time constant of the mean over recent answers.
pub(crate) const PRESSURE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Maximum share of the previous mean that is kept at an answer, so that an answer counts even if no time has
/// passed since the previous one.
const MAX_RETAINED_SHARE: f64 = 0.98;
/// Maximum ratio recorded for one answer, so that a single very late answer causes no shedding.
const MAX_LATENCY_RATIO: f64 = 4.0;

/// Mean over recent answers of the ratio of their latency to the highest normal one.
///
/// The mean changes only with an answer; without answers it keeps its value.
#[derive(Default)]
pub(crate) struct Pressure {
    /// 1 if answers take exactly the highest normal latency.
    level: f64,
    /// Time of the latest answer.
    updated_at: Instant,
}

impl Pressure {
    /// Returns the mean; 1 if answers take exactly the highest normal latency.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Returns whether the load has to be reduced.
    pub(crate) fn is_high(&self) -> bool {
        self.level > HIGH_PRESSURE
    }

    /// Records an answer by the ratio of its latency to the highest normal one.
    pub(crate) fn record(&mut self, now: Instant, latency_ratio: f64) {
        let retained = decay(self.updated_at, now, PRESSURE_TIME_CONSTANT).min(MAX_RETAINED_SHARE);
        self.level = self.level * retained + latency_ratio.min(MAX_LATENCY_RATIO) * (1.0 - retained);
        self.updated_at = now;
    }
}

#[cfg(test)]
mod tests;
