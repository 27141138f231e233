//! Relative latency: the latency of a backend's answers compared with that of all backends.

use super::ObservationSource;

/// Weight of an answer to this gateway.
const OWN_WEIGHT: f64 = 0.1;
/// Weight of an answer that a peer reported.
const PEER_WEIGHT: f64 = 0.2;
/// Lower bound of the relative latency. It is a divisor, and a backend with fast answers must not attract
/// all the load.
const MIN_RELATIVE_LATENCY: f64 = 0.3;

/// Mean latency of a backend's answers, relative to the usual latency of their class.
pub(super) struct RelativeLatency(f64);

impl Default for RelativeLatency {
    fn default() -> Self {
        RelativeLatency(1.0)
    }
}

impl RelativeLatency {
    /// Returns the mean; 1 is normal.
    pub(super) fn get(&self) -> f64 {
        self.0
    }

    /// Records an answer by its latency relative to the usual latency of its class.
    pub(super) fn record(&mut self, ratio: f64, source: ObservationSource) {
        let weight = match source {
            ObservationSource::Own => OWN_WEIGHT,
            ObservationSource::Peer => PEER_WEIGHT,
        };
        let mean = self.0 + weight * (ratio - self.0);
        self.0 = mean.max(MIN_RELATIVE_LATENCY);
    }
}
