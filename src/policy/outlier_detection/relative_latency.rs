//! How long a backend's answers take, compared with those of all backends.

use super::ObservationSource;

/// Weight of an answer to this gateway.
const OWN_WEIGHT: f64 = 0.1;
/// Weight of an answer that a peer reported.
const PEER_WEIGHT: f64 = 0.2;
/// The least that it falls to: it is a divisor, and a backend whose answers are fast must not draw all the
/// load.
const MIN_RELATIVE_LATENCY: f64 = 0.3;

/// The mean over a backend's answers of their latency, relative to what answers of their class usually take.
pub(super) struct RelativeLatency(f64);

impl Default for RelativeLatency {
    fn default() -> Self {
        RelativeLatency(1.0)
    }
}

impl RelativeLatency {
    /// The mean; 1 is normal.
    pub(super) fn get(&self) -> f64 {
        self.0
    }

    /// Counts an answer, by its latency relative to what its class usually takes.
    pub(super) fn record(&mut self, ratio: f64, source: ObservationSource) {
        let weight = match source {
            ObservationSource::Own => OWN_WEIGHT,
            ObservationSource::Peer => PEER_WEIGHT,
        };
        let mean = self.0 + weight * (ratio - self.0);
        self.0 = mean.max(MIN_RELATIVE_LATENCY);
    }
}
