//! How long answers of a class take: of late, and at backends that are not loaded.

use crate::{Duration, Instant};

/// The latency that is presumed before any answer, as a share of the latency objective.
const INITIAL_LATENCY_SHARE: f64 = 0.15;
/// The most that the first answers may set the unloaded latency to, as a share of the latency objective.
const MAX_INITIAL_UNLOADED_SHARE: f64 = 0.3;
/// Answers over which the recent latency is a plain mean; from then on each has the weight of one in so many.
const RECENT_ANSWERS: f64 = 20.0;
/// Answers for which the unloaded latency is bounded by the latency objective alone.
const WARM_UP_ANSWERS: f64 = 20.0;
/// Growth in a second of the highest value that the unloaded latency may take, as a share of it.
const UNLOADED_LATENCY_GROWTH: f64 = 0.01;
/// The highest normal latency, as a multiple of the unloaded one ...
const UNLOADED_LATENCY_MULTIPLE: f64 = 3.5;
/// ... and as a share of the latency objective; the lesser of the two holds. Beyond it backends lose
/// throughput before objectives are missed.
const OBJECTIVE_SHARE: f64 = 0.6;
/// The highest ratio to the recent latency that one answer counts with.
const MAX_RELATIVE_LATENCY: f64 = 4.0;
/// The shortest latency that is divided by, in microseconds.
const MIN_DIVISOR_MICROS: f64 = 1.0;

/// The usual latencies of a class, over all backends.
pub(super) struct LatencyBaseline {
    /// The latency objective, in microseconds; at least 1.
    objective_micros: f64,
    /// The mean over recent answers, in microseconds.
    recent_micros: f64,
    /// What unloaded backends take, in microseconds.
    unloaded_micros: f64,
    /// Answers so far.
    answers: f64,
    /// When the latest answer came.
    updated_at: Instant,
}

impl LatencyBaseline {
    /// What is presumed before any answer has come.
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

    /// What unloaded backends take, in microseconds.
    pub(super) fn unloaded_micros(&self) -> f64 {
        self.unloaded_micros
    }

    /// A latency relative to that of recent answers; 1 is usual.
    pub(super) fn relative(&self, latency_micros: f64) -> f64 {
        (latency_micros / self.recent_micros.max(MIN_DIVISOR_MICROS)).min(MAX_RELATIVE_LATENCY)
    }

    /// A latency as a ratio of the highest normal one; above 1 backends are driven too hard.
    pub(super) fn latency_ratio(&self, latency_micros: f64) -> f64 {
        let by_unloaded = self.unloaded_micros * UNLOADED_LATENCY_MULTIPLE;
        let by_objective = self.objective_micros * OBJECTIVE_SHARE;
        latency_micros / by_unloaded.min(by_objective).max(MIN_DIVISOR_MICROS)
    }

    /// Counts an answer.
    pub(super) fn record(&mut self, now: Instant, latency_micros: f64) {
        self.answers += 1.0;
        self.recent_micros += (latency_micros - self.recent_micros) / self.answers.min(RECENT_ANSWERS);
        self.unloaded_micros = self.recent_micros.min(self.max_unloaded_micros(now));
        self.updated_at = now;
    }

    /// The most that the unloaded latency may be now, in microseconds. It falls at once and rises slowly: the
    /// latencies of an overload must not pass for those of unloaded backends.
    fn max_unloaded_micros(&self, now: Instant) -> f64 {
        if self.answers <= WARM_UP_ANSWERS {
            return self.objective_micros * MAX_INITIAL_UNLOADED_SHARE;
        }
        let seconds = now.duration_since(self.updated_at).as_secs_f64();
        let growth = 1.0 + seconds * UNLOADED_LATENCY_GROWTH;
        self.unloaded_micros * growth
    }
}
