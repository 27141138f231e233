//! Outlier detection: failure rates of backends and zones, ejection, return, and what latencies say.

use crate::{gossip::*, state::*, *};

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
const BASE_EJECTION_TIME: Micros = 500_000;
/// Memory of failures in seconds: an ejected backend is tried again by and by.
const FAILURE_RATE_TIME_CONSTANT: f64 = 4.0;
/// Failure rate from which a backend is looked past in the choice.
pub(crate) const SUSPECT_FAILURE_RATE: f64 = 0.4;
/// Messages that carry the sample of a good answer.
const SUCCESS_RETRANSMISSIONS: u8 = 12;
/// Messages that carry the sample of a failure.
const FAILURE_RETRANSMISSIONS: u8 = 36;
/// Weight of an observation that a peer made: there are as many as one's own in ten seconds.
const PEER_OBSERVATION_WEIGHT: f64 = 0.2;

impl Health {
    pub(crate) fn eject(&mut self, now: Micros) {
        self.ejected_until = now + (BASE_EJECTION_TIME << self.consecutive_ejections.min(3));
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }

    pub(crate) fn failure_rate_at(&self, now: Micros) -> f64 {
        self.failure_rate * decay(self.updated_at, now, FAILURE_RATE_TIME_CONSTANT)
    }

    pub(crate) fn record(&mut self, now: Micros, bad: bool, weight: f64) {
        let errors = self.failure_rate_at(now);
        self.failure_rate = errors + weight * (f64::from(u8::from(bad)) - errors);
        self.updated_at = now;
    }
}

impl Gateway {
    /// An answer's lesson; one that a peer had (`own` false) counts, but rests nobody.
    pub(crate) fn record_observation(&mut self, bid: BackendId, class: usize, took: Option<f64>, own: bool) {
        let (now, aim) = (self.now, self.settings.classes[class].latency_objective.max(1) as f64);
        let Some(b) = self.backends.get_mut(&bid) else { return };
        if own {
            b.health[class].record(now, took.is_none(), 0.15);
        } else {
            // What is heard of a class seldom asked for would come too late for it: it counts for all.
            b.health.iter_mut().for_each(|h| h.record(now, took.is_none(), PEER_OBSERVATION_WEIGHT));
        }
        if own && self.quota.report_interval == 0 && class <= MAX_CLASS {
            let sample = LatencySample {
                backend_tag: backend_tag(bid.0),
                class: class as u8,
                relative_latency: took.map(|t| t / aim),
            };
            // Bad ones go first: they are few, and all should know what a sick backend did to one.
            let bad = self
                .peers
                .latency_samples
                .iter()
                .filter(|queued| queued.sample.relative_latency.is_none())
                .count();
            let place = if took.is_none() { 0 } else { bad };
            let times = if took.is_none() { FAILURE_RETRANSMISSIONS } else { SUCCESS_RETRANSMISSIONS };
            self.peers.latency_samples.insert(place, QueuedSample { retransmissions: times, sample });
            self.peers.latency_samples.truncate(MAX_SAMPLES);
        }
        let Some(took) = took.filter(|_| now != self.resumed_at) else { return };
        let u = &mut self.latency_baselines[class];
        let weight = if own { 0.1 } else { PEER_OBSERVATION_WEIGHT };
        b.relative_latency = (b.relative_latency
            + weight * ((took / u.recent.max(1.0)).min(4.0) - b.relative_latency))
            .max(0.3);
        u.sample_count += 1.0;
        u.recent += (took - u.recent) / u.sample_count.min(20.0);
        // Down at once, up by a percent a second: half a minute of overload must not pass for calm.
        let creep = 1.0 + (now - u.updated_at) as f64 / SECOND * UNLOADED_LATENCY_GROWTH;
        u.unloaded =
            if u.sample_count <= 20.0 { u.recent.min(aim * 0.3) } else { u.recent.min(u.unloaded * creep) };
        u.updated_at = now;
        let norm = (u.unloaded * UNLOADED_LATENCY_MULTIPLE).min(aim * OBJECTIVE_SHARE);
        self.record_pressure(took / norm.max(1.0));
    }

    pub(crate) fn record_outcome(
        &mut self,
        bid: BackendId,
        outcome: Outcome,
        took: Micros,
        class: Option<usize>,
    ) {
        let (Some(b), Some(class)) = (self.backends.get_mut(&bid), class) else { return };
        if matches!(outcome, Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut) {
            return;
        }
        let now = self.now;
        let bad = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        let reached = outcome != Outcome::ConnectFailed;
        self.zone_health.entry(b.endpoint.zone).or_default().record(
            now,
            !reached,
            if reached { 1.0 } else { 0.3 },
        );
        let h = &mut b.health[class];
        h.last_heard_at = now;
        if outcome == Outcome::Rejected {
            b.reported_queue_depth += self.fleet_size as f64;
            return self.record_pressure(2.0);
        }
        let sick = h.failure_rate_at(now) * 0.85 + if bad { 0.15 } else { 0.0 } > EJECTION_FAILURE_RATE;
        if bad && (sick || h.consecutive_ejections > 0) {
            h.eject(now);
        } else if !bad && !sick {
            h.consecutive_ejections = 0;
        }
        self.record_observation(bid, class, (!bad).then_some(took as f64), true);
    }
}
