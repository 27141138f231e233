//! Outlier detection: failure rates of backends and zones, ejection, return, and what latencies say.

use super::EjectionReason;
use crate::gossip::{backend_tag, LatencySample, MAX_CLASS};
use crate::state::{Health, LatencyBaseline, Observation, Source};
use crate::{AttemptEnded, Class, Duration, Gateway, Instant, Outcome};

/// An answer weighs on the pressure by its latency over the lesser of two: a multiple of its class's
/// latency on unloaded backends, and a share of its objective. Backends driven harder lose throughput
/// before objectives are missed.
const UNLOADED_LATENCY_MULTIPLE: f64 = 3.5;
/// See [`UNLOADED_LATENCY_MULTIPLE`].
const OBJECTIVE_SHARE: f64 = 0.6;
/// Growth of the unloaded latency by itself, in a second.
const UNLOADED_LATENCY_GROWTH: f64 = 0.01;
/// Failure rate of recent answers from which a backend gets a trickle only.
const EJECTION_FAILURE_RATE: f64 = 0.25;
/// How long it stays ejected before one attempt tries it again; doubles up to 2^3.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
/// Memory of failures: an ejected backend is tried again by and by.
const FAILURE_RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Failure rate from which a backend is looked past in the choice.
pub(crate) const SUSPECT_FAILURE_RATE: f64 = 0.4;
/// Messages that carry the sample of a good answer.
const SUCCESS_RETRANSMISSIONS: u8 = 12;
/// Messages that carry the sample of a failure.
const FAILURE_RETRANSMISSIONS: u8 = 36;
/// Weight of an observation that a peer made: there are as many as one's own in ten seconds.
const PEER_OBSERVATION_WEIGHT: f64 = 0.2;
/// Weight of an own answer for the failure rate.
const OWN_FAILURE_WEIGHT: f64 = 0.15;
/// Weight of an own answer for the relative latency of its backend.
const OWN_LATENCY_WEIGHT: f64 = 0.1;
/// Answers over which the recent latency is a plain mean, and behind which the unloaded one follows it.
const BASELINE_SAMPLES: f64 = 20.0;

impl Health {
    /// Takes it out of the choice for a while, which doubles with each ejection in a row.
    pub(crate) fn eject(&mut self, now: Instant) {
        self.ejected_until = now + BASE_EJECTION_TIME * (1 << self.consecutive_ejections.min(3));
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }

    pub(crate) fn failure_rate(&self, now: Instant) -> f64 {
        self.failures.at(now, FAILURE_RATE_TIME_CONSTANT)
    }

    fn record(&mut self, now: Instant, failed: bool, weight: f64) {
        self.failures.record(now, f64::from(u8::from(failed)), weight, FAILURE_RATE_TIME_CONSTANT);
    }
}

/// What answers of a class are taken to last before any has come.
pub(crate) fn initial_baseline(class: &Class, now: Instant) -> LatencyBaseline {
    let latency = class.latency_objective.as_micros_f64() * 0.15;
    LatencyBaseline { recent: latency, unloaded: latency, sample_count: 0.0, updated_at: now }
}

impl Gateway {
    /// Takes in how an attempt went; what a peer saw counts for less, and ejects no backend.
    pub(crate) fn record_observation(&mut self, seen: Observation) {
        let Some(backend) = self.backends.get_mut(seen.backend) else { return };
        let failed = seen.latency.is_none();
        if seen.source == Source::Own {
            backend.health[seen.class].record(self.now, failed, OWN_FAILURE_WEIGHT);
            self.queue_sample(&seen);
        } else {
            // What peers see of a class seldom asked for would come too late for it: it counts for all.
            let health = backend.health.iter_mut();
            health.for_each(|health| health.record(self.now, failed, PEER_OBSERVATION_WEIGHT));
        }
        if self.now != self.resumed_at {
            self.record_latency(&seen);
        }
    }

    /// Has peers told of an observation, in a large fleet: many know of a failure before they meet it.
    fn queue_sample(&mut self, seen: &Observation) {
        if self.all_gateways_own_quotas() || seen.class > MAX_CLASS {
            return;
        }
        let objective =
            self.settings.classes[seen.class].latency_objective.max(Duration::MICROSECOND).as_micros_f64();
        let sample = LatencySample {
            backend_tag: backend_tag(seen.backend.0),
            class: seen.class as u8,
            relative_latency: seen.latency.map(|latency| latency / objective),
        };
        let failed = seen.latency.is_none();
        let retransmissions = if failed { FAILURE_RETRANSMISSIONS } else { SUCCESS_RETRANSMISSIONS };
        self.peers.queue_sample(sample, retransmissions);
    }

    /// Compares a latency with what the class usually takes, and follows both.
    fn record_latency(&mut self, seen: &Observation) {
        let Some(latency) = seen.latency else { return };
        let Some(backend) = self.backends.get_mut(seen.backend) else { return };
        let objective =
            self.settings.classes[seen.class].latency_objective.max(Duration::MICROSECOND).as_micros_f64();
        let baseline = &mut self.latency_baselines[seen.class];
        let own = seen.source == Source::Own;
        let weight = if own { OWN_LATENCY_WEIGHT } else { PEER_OBSERVATION_WEIGHT };
        let ratio = (latency / baseline.recent.max(1.0)).min(4.0);
        let relative = backend.relative_latency + weight * (ratio - backend.relative_latency);
        backend.relative_latency = relative.max(0.3);
        baseline.sample_count += 1.0;
        baseline.recent += (latency - baseline.recent) / baseline.sample_count.min(BASELINE_SAMPLES);
        // Down at once, up by a percent a second: half a minute of overload must not pass for unloaded.
        let seconds = self.now.duration_since(baseline.updated_at).as_secs_f64();
        let growth = 1.0 + seconds * UNLOADED_LATENCY_GROWTH;
        let most = if baseline.sample_count <= BASELINE_SAMPLES {
            objective * 0.3
        } else {
            baseline.unloaded * growth
        };
        baseline.unloaded = baseline.recent.min(most);
        baseline.updated_at = self.now;
        let normal = (baseline.unloaded * UNLOADED_LATENCY_MULTIPLE).min(objective * OBJECTIVE_SHARE);
        self.record_pressure(latency / normal.max(1.0));
    }

    /// Takes in the outcome of an own attempt of a class, and ejects the backend where too many fail.
    pub(crate) fn record_outcome(&mut self, ended: &AttemptEnded, class: usize) {
        let (now, outcome) = (self.now, ended.outcome);
        let Some(backend) = self.backends.get(ended.backend) else { return };
        if matches!(outcome, Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut) {
            return;
        }
        let connected = outcome != Outcome::ConnectFailed;
        let zone = self.backends.zone_health.entry(backend.endpoint.zone).or_default();
        zone.record(now, !connected, if connected { 1.0 } else { 0.3 });
        let Some(backend) = self.backends.get_mut(ended.backend) else { return };
        let health = &mut backend.health[class];
        health.last_heard_at = now;
        if outcome == Outcome::Rejected {
            backend.reported_queue_depth += self.fleet_size as f64;
            return self.record_pressure(2.0);
        }
        let failed = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        let rate = health.failure_rate(now) * 0.85 + if failed { 0.15 } else { 0.0 };
        let outlier = rate > EJECTION_FAILURE_RATE;
        if failed && (outlier || health.consecutive_ejections > 0) {
            health.eject(now);
            let (backend, reason) = (ended.backend.0, EjectionReason::Failures);
            tracing::debug!(target: "policy", backend, class, ?reason, "ejected");
        } else if !failed && !outlier {
            health.consecutive_ejections = 0;
        }
        let latency = (!failed).then_some(ended.elapsed.as_micros_f64());
        let source = Source::Own;
        self.record_observation(Observation { backend: ended.backend, class, latency, source });
    }
}
