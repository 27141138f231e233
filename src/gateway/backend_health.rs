//! Tracks the health of backends: passes outcomes and latencies to the outlier detector, logs changes, and
//! shares latency samples with peers.

use crate::policy::{
    AnswerSample, Ejection, EndedAttempt, HealthChange, HealthSignal, Observation, ObservationSource,
    REJECTION_LATENCY_RATIO,
};
use crate::{AttemptEnded, BackendId, Gateway, Instant};

impl Gateway {
    /// Records the outcome and latency of an attempt with the health of its backend.
    pub(crate) fn record_outcome(&mut self, ended: &AttemptEnded, class: usize) {
        let now = self.now;
        let Some(signal) = HealthSignal::from_outcome(ended.outcome) else { return };
        let Some(backend) = self.backends.get_mut(ended.backend) else { return };
        let attempt = EndedAttempt { now, class, zone: backend.endpoint.zone, signal };
        let change = self.outlier_detector.record_outcome(&mut backend.health, &attempt);
        if let Some(change) = change {
            log_health_change(now, ended.backend, class, change);
        }
        if signal == HealthSignal::Rejection {
            backend.reported_queue.record_rejection(self.fleet_size);
            return self.record_pressure(REJECTION_LATENCY_RATIO);
        }
        let latency_micros = (signal == HealthSignal::Success).then_some(ended.elapsed.as_micros_f64());
        let observation =
            Observation { backend: ended.backend, class, latency_micros, source: ObservationSource::Own };
        self.queue_sample(&observation);
        self.record_latency(&observation);
    }

    /// Handles the ejection of a backend that did not answer an attempt of a class.
    pub(crate) fn on_silence_ejection(&mut self, backend: BackendId, class: usize, ejection: Ejection) {
        log_health_change(self.now, backend, class, HealthChange::Ejected(ejection));
        self.queue_sample(&Observation {
            backend,
            class,
            latency_micros: None,
            source: ObservationSource::Own,
        });
    }

    /// Records the outcome and latency of a peer's attempt.
    pub(crate) fn record_peer_observation(&mut self, observation: &Observation) {
        let Some(backend) = self.backends.get_mut(observation.backend) else { return };
        backend.health.record_peer_attempt(self.now, observation.is_failure());
        self.record_latency(observation);
    }

    /// Records an answer's latency, unless it includes a stall of the host.
    fn record_latency(&mut self, observation: &Observation) {
        let Observation { backend, class, latency_micros, source } = *observation;
        let Some(latency_micros) = latency_micros.filter(|_| self.now != self.resumed_at) else { return };
        let Some(backend) = self.backends.get_mut(backend) else { return };
        let answer = AnswerSample { now: self.now, class, latency_micros, source };
        let latency_ratio = self.outlier_detector.record_answer(&mut backend.health, &answer);
        self.record_pressure(latency_ratio);
    }

    /// Queues a sample of an observation for the peers, if the gateways of this fleet share latency samples.
    fn queue_sample(&mut self, observation: &Observation) {
        if !self.quota.ownership().shares_latency_samples() {
            return;
        }
        let objective = self.settings.classes[observation.class].latency_objective;
        if let Some(sample) = observation.to_sample(objective) {
            self.peers.queue_sample(sample, observation.copies());
        }
    }
}

/// Logs the ejection of a backend or its return to service.
fn log_health_change(now: Instant, backend: BackendId, class: usize, change: HealthChange) {
    let backend = backend.0;
    match change {
        HealthChange::Ejected(Ejection { reason, failure_rate, until }) => {
            let for_ms = until.duration_since(now).as_millis();
            tracing::debug!(
                target: "policy", backend, class, ?reason, failure_rate, for_ms, "backend ejected"
            );
        }
        HealthChange::Returned { failure_rate } => {
            tracing::debug!(target: "policy", backend, class, failure_rate, "backend returned to service");
        }
    }
}
