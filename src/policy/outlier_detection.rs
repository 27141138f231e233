//! Outlier detection: which backends and zones fail or stay silent, and how latencies compare with the usual
//! ones.
//!
//! [`BackendHealth`] has the rules for one backend: when it is ejected and when it returns to service. Each
//! backend's record holds its own. [`OutlierDetector`] has the rules that concern several backends.

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

/// Weight of a connection that was made in the failure rate of its zone: it proves that the zone can be
/// reached.
const ZONE_SUCCESS_WEIGHT: f64 = 1.0;
/// Weight of a connection that failed in the failure rate of its zone.
const ZONE_FAILURE_WEIGHT: f64 = 0.3;
/// What a rejection by a backend counts as in the pressure: a latency of so many times the highest normal
/// one.
pub(crate) const REJECTION_LATENCY_RATIO: f64 = 2.0;

/// The end of an attempt of this gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    /// The time.
    pub now: Instant,
    /// The class of its request.
    pub class: usize,
    /// The zone of its backend.
    pub zone: u8,
    /// What it says of the backend.
    pub signal: HealthSignal,
}

/// The answer to an attempt, at this gateway or at a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerSample {
    /// The time.
    pub now: Instant,
    /// The class of its request.
    pub class: usize,
    /// How long it took, in microseconds.
    pub latency_micros: f64,
    /// Who measured that.
    pub source: ObservationSource,
}

/// Compares backends and zones with what is usual.
#[derive(Default)]
pub(crate) struct OutlierDetector {
    /// The share of recent connections to backends of a zone that failed, by zone.
    zones: BTreeMap<u8, FailureRate>,
    /// The usual latencies, by class.
    baselines: Vec<LatencyBaseline>,
}

impl OutlierDetector {
    /// A detector for these classes that has seen nothing yet.
    pub(crate) fn new(classes: &[Class], now: Instant) -> OutlierDetector {
        let baselines = classes.iter().map(|class| LatencyBaseline::new(class.latency_objective, now));
        OutlierDetector { zones: BTreeMap::new(), baselines: baselines.collect() }
    }

    /// The share of recent attempts of a class that failed at a backend, or of recent connections that failed
    /// in its zone if that is more: a zone that is cut off cannot be reached at any of its backends.
    pub(crate) fn failure_rate(&self, health: &BackendHealth, class: usize, zone: u8, now: Instant) -> f64 {
        let zone_failure_rate = self.zones.get(&zone).map_or(0.0, |zone| zone.at(now));
        health.failure_rate(class, now).max(zone_failure_rate)
    }

    /// What an answer of a class takes at backends that are not loaded, in microseconds.
    pub(crate) fn unloaded_micros(&self, class: usize) -> f64 {
        self.baselines[class].unloaded_micros()
    }

    /// Records the end of an attempt of this gateway, and returns the change of its backend's health.
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

    /// Records an answer's latency, and returns it as a ratio of the highest normal one.
    pub(crate) fn record_answer(&mut self, health: &mut BackendHealth, answer: &AnswerSample) -> f64 {
        let baseline = &mut self.baselines[answer.class];
        health.relative_latency.record(baseline.relative(answer.latency_micros), answer.source);
        baseline.record(answer.now, answer.latency_micros);
        baseline.latency_ratio(answer.latency_micros)
    }
}

#[cfg(test)]
mod tests;
