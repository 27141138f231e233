//! The part of the ready backends that one choice looks at.

use crate::policy::RetryScope;

/// The smallest subset, in backends, where there are more.
const MIN_SUBSET_SIZE: usize = 32;
/// Gateways that have a backend in their subsets on average, where the list is long. By chance a share of e
/// to the minus this of the backends is in no subset.
const GATEWAYS_PER_BACKEND: usize = 8;
/// Healthy candidates that are compared at least: two choices are enough to keep the loads alike.
const MIN_CANDIDATES: usize = 2;
/// Further candidates for each backend that there is for a gateway: where few gateways share the backends,
/// the least loaded of several isn't chosen by all gateways at once.
const CANDIDATES_PER_GATEWAY_BACKEND: usize = 3;
/// Candidates compared at most in a subset larger than the smallest: more find hardly better ones.
const MAX_CANDIDATES: usize = 8;
/// How many times a subset is gone through before the choice ends: not every backend is drawn each time.
const MAX_ROUNDS: usize = 4;
/// Suspect candidates seen for each target candidate, above which the choice ends.
const MAX_SUSPECTS_PER_CANDIDATE: usize = 4;

/// The part of the ready backends that one choice looks at.
///
/// A gateway's choices use the same few backends each time: connections that are seldom used are closed, and
/// would be made anew for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Subset {
    /// All backends that take work.
    ready: usize,
    /// Healthy candidates to compare.
    target_candidates: usize,
    /// Backends that the candidates come from.
    size: usize,
}

impl Subset {
    /// The subset of a choice among so many ready backends, which so many gateways share.
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

    /// All backends that take work.
    pub(super) fn ready(&self) -> usize {
        self.ready
    }

    /// Whether candidates are drawn by their weight; otherwise all are compared, and the weight is a part of
    /// the cost.
    pub(super) fn is_sampled(&self) -> bool {
        self.target_candidates < self.ready
    }

    /// How many times a backend is looked at before the choice ends; those that are not drawn count, too.
    pub(super) fn steps(&self) -> usize {
        if self.is_sampled() {
            MAX_ROUNDS * self.size
        } else {
            self.size
        }
    }

    /// The position at which a choice starts, by a number from 0 to 1.
    pub(super) fn start(&self, draw: f64) -> usize {
        (draw * self.size as f64) as usize
    }

    /// The position in the list of ready backends that a step looks at.
    pub(super) fn position(&self, start: usize, step: usize) -> usize {
        (start + step) % self.size
    }

    /// Whether the choice may end with so many candidates.
    pub(super) fn has_enough(&self, healthy: usize, suspect: usize) -> bool {
        healthy >= self.target_candidates || suspect > MAX_SUSPECTS_PER_CANDIDATE * self.target_candidates
    }
}

#[cfg(test)]
mod tests;
