//! Outlier detection: finds backends and zones that fail or are silent, and compares the latencies of
//! backends.
//!
//! [`BackendHealth`] holds the rules for a single backend: its ejection and its return to service. It is
//! part of each backend's record. [`OutlierDetector`] holds the rules that concern several backends.

mod failure_rate;
mod health;
mod health_signal;
mod latency_baseline;
mod observation;
mod relative_latency;

use crate::{Class, Instant};
use failure_rate::FailureRate;
pub(crate) use health::{BackendHealth, Ejection, HealthChange, SilenceCheck};
pub(crate) use health_signal::HealthSignal;
use latency_baseline::LatencyBaseline;
pub(crate) use observation::{Observation, ObservationSource};
use std::collections::BTreeMap;

/// Weight of an established connection in the failure rate of its zone; a single one proves that the zone
/// can be reached.
const ZONE_SUCCESS_WEIGHT: f64 = 1.0;
/// Weight of a failed connection in the failure rate of its zone.
const ZONE_FAILURE_WEIGHT: f64 = 0.3;
/// Latency ratio that is recorded in the pressure for a rejection by a backend, as a multiple of the highest
/// normal latency.
pub(crate) const REJECTION_LATENCY_RATIO: f64 = 2.0;

/// The end of an attempt of this gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub now: Instant,
    /// Class of the request.
    pub class: usize,
    /// Zone of the backend.
    pub zone: u8,
    pub signal: HealthSignal,
}

/// Latency of an answer, measured by this gateway or a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerSample {
    pub now: Instant,
    /// Class of the request.
    pub class: usize,
    pub latency_micros: f64,
    /// Gateway that measured the latency.
    pub source: ObservationSource,
}

/// Detects failing zones, and compares the latencies of backends with the usual ones.
#[derive(Default)]
pub(crate) struct OutlierDetector {
    /// Share of recent connections to backends of a zone that failed, by zone.
    zones: BTreeMap<u8, FailureRate>,
    /// Latency baselines by class.
    baselines: Vec<LatencyBaseline>,
}

impl OutlierDetector {
    /// Creates a detector without observations.
    pub(crate) fn new(classes: &[Class], now: Instant) -> OutlierDetector {
        let baselines = classes.iter().map(|class| LatencyBaseline::new(class.latency_objective, now));
        OutlierDetector { zones: BTreeMap::new(), baselines: baselines.collect() }
    }

    /// Returns the share of recent attempts of a class that failed at a backend, or the share of recent
    /// connections to its zone that failed if that is higher. An unreachable zone affects all its backends.
    pub(crate) fn failure_rate(&self, health: &BackendHealth, class: usize, zone: u8, now: Instant) -> f64 {
        let zone_failure_rate = self.zones.get(&zone).map_or(0.0, |zone| zone.at(now));
        health.failure_rate(class, now).max(zone_failure_rate)
    }

    /// Returns the latency of a class at unloaded backends, in microseconds.
    pub(crate) fn unloaded_micros(&self, class: usize) -> f64 {
        self.baselines[class].unloaded_micros()
    }

    /// Records the end of an attempt of this gateway. Returns the change of its backend's health, if any.
    pub(crate) fn record_outcome(
        &mut self,
        health: &mut BackendHealth,
        attempt: &EndedAttempt,
    ) -> Option<HealthChange> {
        let connect_failed = attempt.signal == HealthSignal::ConnectFailure;
        let weight = if connect_failed { ZONE_FAILURE_WEIGHT } else { ZONE_SUCCESS_WEIGHT };
        self.zones.entry(attempt.zone).or_default().record(attempt.now, connect_failed, weight);
        health.record_outcome(attempt.class, attempt.signal, attempt.now)
    }

    /// Records an answer's latency. Returns its ratio to the highest normal latency.
    pub(crate) fn record_answer(&mut self, health: &mut BackendHealth, answer: &AnswerSample) -> f64 {
        let baseline = &mut self.baselines[answer.class];
        health.relative_latency.record(baseline.relative(answer.latency_micros), answer.source);
        baseline.record(answer.now, answer.latency_micros);
        baseline.latency_ratio(answer.latency_micros)
    }
}

#[cfg(test)]
mod tests;
