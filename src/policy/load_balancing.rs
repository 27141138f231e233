//! Load balancing: which backend gets an attempt.
//!
//! A choice goes through a [`Subset`] of the ready backends, draws candidates by their weight, and takes the
//! one with the least cost ([`Candidate`]). [`SlowStart`] says whether a backend that came up a short
//! time ago may be sent an attempt.

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

/// The weight of a backend that is neither larger nor faster than others. A candidate is drawn with its
/// weight as the probability: below 1 a backend that is better than most is drawn more often than they are.
const MEAN_WEIGHT: f64 = 0.5;
/// Mixes the step of a choice into the seed of its draws.
const STEP_SALT: Salt = Salt::from_bit(40);

/// Why no backend was chosen. Where several reasons hold, it is the last of them in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NoBackend {
    /// The idempotency key may be forgotten before an attempt could begin.
    KeyExpired,
    /// No backend takes work.
    NoneReady,
    /// No backend that takes work is known to remember the idempotency key.
    OutOfScope,
    /// None was drawn, by chance.
    NotDrawn,
    /// Those that were drawn are in slow start, and have been sent as much as they can bear.
    SlowStart,
}

/// What a choice depends on.
#[derive(Clone, Copy)]
pub(crate) struct ChoiceContext<'a> {
    /// The time.
    pub now: Instant,
    /// Another number for each choice, by which its draws are made.
    pub seed: u64,
    /// The class of the request.
    pub class: usize,
    /// The request's attempts so far.
    pub attempts: &'a [Attempt],
    /// Where the attempt may go.
    pub scope: &'a RetryScope,
    /// The backends, with their load and health.
    pub backends: &'a BackendTable,
    /// Knows how the health of a backend and of its zone is to be read.
    pub outlier_detector: &'a OutlierDetector,
}

/// Chooses backends for attempts.
#[derive(Default)]
pub(crate) struct LoadBalancer {
    /// The zone of this gateway.
    zone: u8,
    /// Gateways that share the backends.
    fleet_size: u64,
    /// Limits what is sent to backends that came up a short time ago.
    slow_start: SlowStart,
}

/// What a choice has found so far.
struct Search {
    /// The cheapest candidate.
    best: Option<BackendId>,
    /// Its cost.
    best_cost: f64,
    /// Candidates that are not suspect.
    healthy: usize,
    /// Candidates that are.
    suspect: usize,
    /// Why backends were not candidates; [`NoBackend::NoneReady`] while none was looked at.
    skipped: NoBackend,
}

impl Search {
    /// Nothing is found yet.
    fn new() -> Search {
        Search { best: None, best_cost: f64::MAX, healthy: 0, suspect: 0, skipped: NoBackend::NoneReady }
    }

    /// Compares a candidate with the best one so far.
    fn add(&mut self, backend: BackendId, candidate: &Candidate) {
        let cost = candidate.cost();
        if cost < self.best_cost {
            (self.best, self.best_cost) = (Some(backend), cost);
        }
        let is_suspect = candidate.is_suspect();
        self.suspect += usize::from(is_suspect);
        self.healthy += usize::from(!is_suspect);
    }

    /// Passes over a backend that is no candidate.
    fn skip(&mut self, reason: NoBackend) {
        self.skipped = self.skipped.max(reason);
    }
}

impl LoadBalancer {
    /// The balancer of a gateway that has sent nothing yet.
    pub(crate) fn new(settings: &Settings, fleet_size: u64) -> LoadBalancer {
        LoadBalancer { zone: settings.zone, fleet_size, slow_start: SlowStart::new(settings, fleet_size) }
    }

    /// Records that an attempt is sent, to whichever backend.
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

    /// What the cost of a backend depends on, or why it is no candidate.
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

    /// How much of the load a backend should get: its present capacity over its latency, relative to the mean
    /// capacity of the ready backends. A backend that is as large and fast as the mean has [`MEAN_WEIGHT`].
    fn weight(&self, backend: &Backend, context: &ChoiceContext<'_>, subset: &Subset) -> f64 {
        let capacity = backend.size * self.slow_start.capacity_share(backend, context.now);
        let throughput = capacity / backend.health.relative_latency();
        throughput * subset.ready() as f64 / context.backends.ready_capacity() * MEAN_WEIGHT
    }
}

#[cfg(test)]
mod tests;
