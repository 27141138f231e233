//! Latency baseline of a class: the latency of recent answers, and that of answers from unloaded backends.

use crate::{Duration, Instant};

/// Latency that is assumed before the first answer, as a share of the latency objective.
const INITIAL_LATENCY_SHARE: f64 = 0.15;
/// Maximum unloaded latency during warm-up, as a share of the latency objective.
const MAX_INITIAL_UNLOADED_SHARE: f64 = 0.3;
/// Number of answers up to which the recent latency is their mean; afterwards it is an exponential average.
const RECENT_ANSWERS: f64 = 20.0;
/// Number of answers during which only the latency objective bounds the unloaded latency.
const WARM_UP_ANSWERS: f64 = 20.0;
/// Growth per second of the upper bound of the unloaded latency, as a share of it.
const UNLOADED_LATENCY_GROWTH: f64 = 0.01;
/// Highest normal latency, as a multiple of the unloaded latency.
const UNLOADED_LATENCY_MULTIPLE: f64 = 3.5;
/// Highest normal latency, as a share of the latency objective; the lower of the two limits applies. At
/// higher latencies backends lose throughput before the objective is missed.
const OBJECTIVE_SHARE: f64 = 0.6;
/// Upper bound of the ratio of one answer's latency to the recent latency.
const MAX_RELATIVE_LATENCY: f64 = 4.0;
/// Minimum divisor of a latency ratio, in microseconds.
const MIN_DIVISOR_MICROS: f64 = 1.0;

/// Usual latencies of a class over all backends.
pub(super) struct LatencyBaseline {
    /// Latency objective, at least 1.
    objective_micros: f64,
    /// Mean latency of recent answers.
    recent_micros: f64,
    /// Latency of unloaded backends.
    unloaded_micros: f64,
    /// Number of answers so far.
    answers: f64,
    /// Time of the latest answer.
    updated_at: Instant,
}

impl LatencyBaseline {
    /// Creates a baseline with the latency that is assumed before the first answer.
    pub(super) fn new(objective: Duration, now: Instant) -> LatencyBaseline {
        let presumed_micros = objective.as_micros_f64() * INITIAL_LATENCY_SHARE;
        LatencyBaseline {
            objective_micros: objective.max(Duration::MICROSECOND).as_micros_f64(),
            recent_micros: presumed_micros,
            unloaded_micros: presumed_micros,
            answers: 0.0,
            updated_at: now,
        }
    }

    /// Returns the latency of unloaded backends, in microseconds.
    pub(super) fn unloaded_micros(&self) -> f64 {
        self.unloaded_micros
    }

    /// Returns the ratio of a latency to that of recent answers; 1 is usual.
    pub(super) fn relative(&self, latency_micros: f64) -> f64 {
        (latency_micros / self.recent_micros.max(MIN_DIVISOR_MICROS)).min(MAX_RELATIVE_LATENCY)
    }

    /// Returns the ratio of a latency to the highest normal one; above 1 the backends are overloaded.
    pub(super) fn latency_ratio(&self, latency_micros: f64) -> f64 {
        let by_unloaded = self.unloaded_micros * UNLOADED_LATENCY_MULTIPLE;
        let by_objective = self.objective_micros * OBJECTIVE_SHARE;
        latency_micros / by_unloaded.min(by_objective).max(MIN_DIVISOR_MICROS)
    }

    /// Records the latency of an answer.
    pub(super) fn record(&mut self, now: Instant, latency_micros: f64) {
        self.answers += 1.0;
        self.recent_micros += (latency_micros - self.recent_micros) / self.answers.min(RECENT_ANSWERS);
        self.unloaded_micros = self.recent_micros.min(self.max_unloaded_micros(now));
        self.updated_at = now;
    }

    /// Returns the upper bound of the unloaded latency at `now`, in microseconds. The unloaded latency
    /// falls immediately but rises slowly, so that the latencies of an overload are not mistaken for those of
    /// unloaded backends.
    fn max_unloaded_micros(&self, now: Instant) -> f64 {
        if self.answers <= WARM_UP_ANSWERS {
            return self.objective_micros * MAX_INITIAL_UNLOADED_SHARE;
        }
        let seconds = now.duration_since(self.updated_at).as_secs_f64();
        let growth = 1.0 + seconds * UNLOADED_LATENCY_GROWTH;
        self.unloaded_micros * growth
    }
}
