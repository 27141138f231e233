//! How attempts went, as this gateway or a peer saw it, and what peers are told.

use crate::gossip::{backend_tag, LatencySample, MAX_CLASS};
use crate::{BackendId, Duration};

/// Messages that carry the sample of a success.
const SUCCESS_COPIES: u8 = 12;
/// Messages that carry the sample of a failure, which go before those of successes: each peer has to learn
/// of it soon.
const FAILURE_COPIES: u8 = 36;

/// Who saw how an attempt went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ObservationSource {
    /// This gateway.
    Own,
    /// A peer, which reported it.
    Peer,
}

/// How an attempt went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Observation {
    /// Where the attempt went.
    pub backend: BackendId,
    /// The class of its request.
    pub class: usize,
    /// How long the answer took, in microseconds; none for a failure or silence.
    pub latency_micros: Option<f64>,
    /// Who saw it.
    pub source: ObservationSource,
}

impl Observation {
    /// Whether the attempt failed or was not answered.
    pub(crate) fn is_failure(&self) -> bool {
        self.latency_micros.is_none()
    }

    /// What peers are told of it, by the latency objective of its class; none for a class that messages
    /// cannot name.
    pub(crate) fn to_sample(self, objective: Duration) -> Option<LatencySample> {
        if self.class > MAX_CLASS {
            return None;
        }
        let objective_micros = objective.max(Duration::MICROSECOND).as_micros_f64();
        Some(LatencySample {
            backend_tag: backend_tag(self.backend.0),
            class: self.class as u8,
            objective_ratio: self.latency_micros.map(|latency| latency / objective_micros),
        })
    }

    /// How many messages carry its sample.
    pub(crate) fn copies(&self) -> u8 {
        if self.is_failure() {
            FAILURE_COPIES
        } else {
            SUCCESS_COPIES
        }
    }
}

#[cfg(test)]
mod tests;
