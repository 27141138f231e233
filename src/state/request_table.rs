//! The table of unfinished requests, with the queue for backends and the scheduled checks.

use super::RequestState;
use crate::{Instant, RequestId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// All unfinished requests of a gateway.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
    /// Admitted requests that wait for a backend, in order of admission.
    pub queue: VecDeque<RequestId>,
    /// Scheduled checks of requests, the earliest first.
    checks: BinaryHeap<Reverse<(Instant, RequestId)>>,
    /// Number of attempts in flight, of all requests.
    pub in_flight: u32,
}

impl RequestTable {
    /// Returns whether a request is unfinished.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.values()
    }

    pub(crate) fn insert(&mut self, state: RequestState) {
        self.requests.insert(state.request.id, state);
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    pub(crate) fn schedule_check(&mut self, time: Instant, id: RequestId) {
        self.checks.push(Reverse((time, id)));
    }

    /// Removes the earliest scheduled check that is due, and returns its request.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<RequestId> {
        let Reverse((time, id)) = self.checks.peek().copied()?;
        if time > now {
            return None;
        }
        self.checks.pop();
        Some(id)
    }
}
