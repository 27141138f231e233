//! Subset of the ready backends that a gateway's choices are limited to.

use crate::policy::RetryScope;

/// Minimum size of a subset, if there are that many backends.
const MIN_SUBSET_SIZE: usize = 32;
/// Mean number of gateways that have a backend in their subset if there are many backends. By chance a
/// share of e^-8 of the backends is in no subset.
const GATEWAYS_PER_BACKEND: usize = 8;
/// Minimum number of healthy candidates to compare; two choices are enough to keep the loads balanced.
const MIN_CANDIDATES: usize = 2;
/// Additional candidates for each backend in a gateway's average share, `ready / fleet_size`. With few
/// gateways this prevents all of them from choosing the same least loaded backend at once.
const CANDIDATES_PER_GATEWAY_BACKEND: usize = 3;
/// Maximum number of candidates in a subset above the minimum size; more candidates hardly improve the
/// choice.
const MAX_CANDIDATES: usize = 8;
/// Passes over a subset before the choice ends; not every backend is drawn in each pass.
const MAX_ROUNDS: usize = 4;
/// Suspect candidates per target candidate above which the choice ends.
const MAX_SUSPECTS_PER_CANDIDATE: usize = 4;

/// Subset of the ready backends that a gateway's choices are limited to.
///
/// A gateway uses the same few backends for all its choices: rarely used connections are closed, and would
/// have to be established again for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Subset {
    /// Number of all ready backends.
    ready: usize,
    /// Number of healthy candidates to compare.
    target_candidates: usize,
    /// Number of backends in the subset.
    size: usize,
}

impl Subset {
    /// Returns the subset for a choice among `ready` backends that `fleet_size` gateways share.
    pub(super) fn new(ready: usize, fleet_size: u64, scope: &RetryScope) -> Subset {
        let fleet_size = fleet_size as usize;
        let covering_size = GATEWAYS_PER_BACKEND * ready / fleet_size;
        let mut target_candidates = MIN_CANDIDATES + CANDIDATES_PER_GATEWAY_BACKEND * ready / fleet_size;
        if covering_size > MIN_SUBSET_SIZE {
            target_candidates = target_candidates.min(MAX_CANDIDATES);
        }
        let uses_all = target_candidates >= ready || matches!(scope, RetryScope::Within(..));
        let size = if uses_all { ready } else { ready.min(MIN_SUBSET_SIZE.max(covering_size)) };
        Subset { ready, target_candidates, size }
    }

    /// Returns the number of all ready backends.
    pub(super) fn ready(&self) -> usize {
        self.ready
    }

    /// Returns whether candidates are drawn by weight. Otherwise all are compared, and the weight is part
    /// of the cost.
    pub(super) fn is_sampled(&self) -> bool {
        self.target_candidates < self.ready
    }

    /// Returns the maximum number of backends examined by the choice, including those that are not drawn.
    pub(super) fn steps(&self) -> usize {
        if self.is_sampled() {
            MAX_ROUNDS * self.size
        } else {
            self.size
        }
    }

    /// Returns the position at which a choice starts, for a random number from 0 to 1.
    pub(super) fn start(&self, draw: f64) -> usize {
        (draw * self.size as f64) as usize
    }

    /// Returns the position in the list of ready backends that a step examines.
    pub(super) fn position(&self, start: usize, step: usize) -> usize {
        (start + step) % self.size
    }

    /// Returns whether the choice may end with this number of candidates.
    pub(super) fn has_enough(&self, healthy: usize, suspect: usize) -> bool {
        healthy >= self.target_candidates || suspect > MAX_SUSPECTS_PER_CANDIDATE * self.target_candidates
    }
}

#[cfg(test)]
mod tests;
