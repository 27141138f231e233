//! Load balancing: chooses the backend for an attempt.
//!
//! A choice starts from a [`Subset`] of the ready backends, draws candidates by weight, and selects the one
//! with the lowest cost ([`Candidate`]). [`SlowStart`] limits the attempts sent to backends that started
//! recently.

mod candidate;
mod reported_queue;
mod slow_start;
mod subset;

use super::{OutlierDetector, RetryScope};
use crate::state::{unit_draw, Attempt, Backend, BackendTable, Salt};
use crate::{BackendId, Instant, Settings};
use candidate::Candidate;
pub(crate) use reported_queue::ReportedQueue;
pub(crate) use slow_start::RecentSends;
use slow_start::SlowStart;
use subset::Subset;

/// Weight of a backend of mean size and speed. A candidate is drawn with its weight as the probability; a
/// value below 1 lets better backends be drawn more often than average ones.
const MEAN_WEIGHT: f64 = 0.5;
/// Salt of the step of a choice in the seed of its draws.
const STEP_SALT: Salt = Salt::from_bit(40);

/// Reason why no backend was chosen. If several reasons apply, the last one in this order is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NoBackend {
    /// The idempotency key may expire before an attempt could begin.
    KeyExpired,
    /// No backend accepts new attempts.
    NoneReady,
    /// No ready backend shares the idempotency key.
    OutOfScope,
    /// By chance, the draws by weight selected no candidate.
    NotDrawn,
    /// The backends that were drawn are in slow start and have received their maximum number of attempts.
    SlowStart,
}

/// Input of the choice of a backend.
#[derive(Clone, Copy)]
pub(crate) struct ChoiceContext<'a> {
    pub now: Instant,
    /// Seed of the draws; differs for each choice.
    pub seed: u64,
    pub class: usize,
    pub attempts: &'a [Attempt],
    /// Backends that the attempt may use.
    pub scope: &'a RetryScope,
    /// All backends, with their load and health.
    pub backends: &'a BackendTable,
    /// Provides the failure rates of backends and zones.
    pub outlier_detector: &'a OutlierDetector,
}

/// Chooses backends for attempts.
#[derive(Default)]
pub(crate) struct LoadBalancer {
    /// Zone of this gateway.
    zone: u8,
    /// Number of gateways that share the backends.
    fleet_size: u64,
    /// Limits the attempts sent to backends that started recently.
    slow_start: SlowStart,
}

/// Intermediate result of a choice.
struct Search {
    /// Candidate with the lowest cost.
    best: Option<BackendId>,
    best_cost: f64,
    /// Number of candidates that are not suspect.
    healthy: usize,
    suspect: usize,
    /// Reason why backends were not candidates; [`NoBackend::NoneReady`] until one was skipped.
    skipped: NoBackend,
}

impl Search {
    fn new() -> Search {
        Search { best: None, best_cost: f64::MAX, healthy: 0, suspect: 0, skipped: NoBackend::NoneReady }
    }

    /// Replaces the best candidate if this one costs less, and counts it as healthy or suspect.
    fn add(&mut self, backend: BackendId, candidate: &Candidate) {
        let cost = candidate.cost();
        if cost < self.best_cost {
            (self.best, self.best_cost) = (Some(backend), cost);
        }
        let is_suspect = candidate.is_suspect();
        self.suspect += usize::from(is_suspect);
        self.healthy += usize::from(!is_suspect);
    }

    /// Records why a backend is not a candidate.
    fn skip(&mut self, reason: NoBackend) {
        self.skipped = self.skipped.max(reason);
    }
}

impl LoadBalancer {
    /// Creates the load balancer of a gateway that has sent nothing yet.
    pub(crate) fn new(settings: &Settings, fleet_size: u64) -> LoadBalancer {
        LoadBalancer { zone: settings.zone, fleet_size, slow_start: SlowStart::new(settings, fleet_size) }
    }

    /// Records that an attempt is sent, to any backend.
    pub(crate) fn record_send(&mut self, now: Instant) {
        self.slow_start.record_send(now);
    }

    /// Chooses the backend for a request's next attempt.
    pub(crate) fn choose(&self, context: &ChoiceContext<'_>) -> Result<BackendId, NoBackend> {
        let subset = Subset::new(context.backends.ready_count(), self.fleet_size, context.scope);
        let draw = unit_draw(context.seed);
        let start = subset.start(draw);
        let mut search = Search::new();
        for step in 0..subset.steps() {
            let position = subset.position(start, step);
            let Some(backend) = context.backends.ready_at(position) else { continue };
            match self.candidate(backend, context, &subset, draw, step) {
                Ok(candidate) => search.add(backend.endpoint.backend, &candidate),
                Err(reason) => search.skip(reason),
            }
            if subset.has_enough(search.healthy, search.suspect) {
                break;
            }
        }
        search.best.ok_or(search.skipped)
    }

    /// Returns the properties of a backend that determine its cost, or the reason why it is not a
    /// candidate.
    fn candidate(
        &self,
        backend: &Backend,
        context: &ChoiceContext<'_>,
        subset: &Subset,
        draw: f64,
        step: usize,
    ) -> Result<Candidate, NoBackend> {
        let ChoiceContext { now, class, .. } = *context;
        let Backend { endpoint, health, in_flight, .. } = backend;
        if !context.scope.includes(endpoint) {
            return Err(NoBackend::OutOfScope);
        }
        let weight = self.weight(backend, context, subset);
        let is_sampled = subset.is_sampled();
        if is_sampled && unit_draw(context.seed ^ STEP_SALT.of(step as u64)) > weight {
            return Err(NoBackend::NotDrawn);
        }
        if !self.slow_start.allows(backend, context.backends.ready_capacity(), now) {
            return Err(NoBackend::SlowStart);
        }
        Ok(Candidate {
            in_flight: *in_flight,
            queue_depth: backend.reported_queue.depth_at(now),
            fleet_size: self.fleet_size,
            in_own_zone: endpoint.zone == self.zone,
            failure_rate: context.outlier_detector.failure_rate(health, class, endpoint.zone, now),
            was_tried: context.attempts.iter().any(|attempt| attempt.endpoint.backend == endpoint.backend),
            is_ejected: health.is_ejected(class, *in_flight, now),
            weight: if is_sampled { 1.0 } else { weight },
            draw,
            step,
        })
    }

    /// Returns the share of the load that a backend should receive: its current capacity divided by its
    /// latency, relative to the mean capacity of the ready backends. A backend of mean size and speed has
    /// [`MEAN_WEIGHT`].
    fn weight(&self, backend: &Backend, context: &ChoiceContext<'_>, subset: &Subset) -> f64 {
        let capacity = backend.size * self.slow_start.capacity_share(backend, context.now);
        let throughput = capacity / backend.health.relative_latency();
        throughput * subset.ready() as f64 / context.backends.ready_capacity() * MEAN_WEIGHT
    }
}

#[cfg(test)]
mod tests;
