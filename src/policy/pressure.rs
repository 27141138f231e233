//! Pressure: how far recent latencies are from the highest that pass for normal.
//!
//! What counts as an answer here:
//!
//! - a successful answer to an attempt of this gateway, by its latency;
//! - the sample of a successful answer that a peer sent, in a large fleet;
//! - a rejection by a backend, with a constant ratio.
//!
//! Errors, broken connections, timeouts and cancellations do not count, nor do latencies that were found with
//! the first event after the host stood still.

use crate::state::decay;
use crate::{Duration, Instant};

/// Pressure above which load is shed and the concurrency limit is reduced.
pub(crate) const HIGH_PRESSURE: f64 = 1.0;
/// Pressure below which shedding is taken back. Between the two the stage never falls.
pub(crate) const LOW_PRESSURE: f64 = 0.75;
/// Time constant of the mean over recent answers.
pub(crate) const PRESSURE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// The most that is kept of the mean at an answer: each one counts, however closely they follow each other.
const MAX_RETAINED_SHARE: f64 = 0.98;
/// The highest ratio that one answer counts with, so that a single very late one raises no alert.
const MAX_LATENCY_RATIO: f64 = 4.0;

/// The mean over recent answers of their latency as a ratio of the highest normal one.
///
/// It changes with answers only: while none come, it stays as it is.
#[derive(Default)]
pub(crate) struct Pressure {
    /// The mean; 1 where answers take as long as is barely normal.
    level: f64,
    /// When the latest answer came.
    updated_at: Instant,
}

impl Pressure {
    /// The mean; 1 where answers take as long as is barely normal.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Whether load has to be taken off.
    pub(crate) fn is_high(&self) -> bool {
        self.level > HIGH_PRESSURE
    }

    /// Records an answer, by its latency over the highest normal one, the latency ratio.
    pub(crate) fn record(&mut self, now: Instant, latency_ratio: f64) {
        let retained = decay(self.updated_at, now, PRESSURE_TIME_CONSTANT).min(MAX_RETAINED_SHARE);
        self.level = self.level * retained + latency_ratio.min(MAX_LATENCY_RATIO) * (1.0 - retained);
        self.updated_at = now;
    }
}

#[cfg(test)]
mod tests;
