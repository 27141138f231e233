//! Observations of attempts by this gateway or a peer, and the samples that are sent to peers.

use crate::gossip::{backend_tag, LatencySample, MAX_CLASS};
use crate::{BackendId, Duration};

/// Number of messages that carry the sample of a success.
const SUCCESS_COPIES: u8 = 12;
/// Number of messages that carry the sample of a failure. Such samples are sent before those of successes,
/// since each peer has to receive them soon.
const FAILURE_COPIES: u8 = 36;

/// Gateway that observed an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ObservationSource {
    /// This gateway.
    Own,
    /// A peer that reported the attempt.
    Peer,
}

/// Observed result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Observation {
    /// Backend that received the attempt.
    pub backend: BackendId,
    /// Class of the request.
    pub class: usize,
    /// Latency of the answer, in microseconds; `None` for a failure or silence.
    pub latency_micros: Option<f64>,
    pub source: ObservationSource,
}

impl Observation {
    /// Returns whether the attempt failed or was not answered.
    pub(crate) fn is_failure(&self) -> bool {
        self.latency_micros.is_none()
    }

    /// Returns the sample that is sent to peers, or `None` if the class cannot be encoded in a message.
    /// `objective` is the latency objective of the class.
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

    /// Returns the number of messages that carry the sample.
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
