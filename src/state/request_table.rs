//! All requests that are not finished, the queue of those that wait for a backend, and the times to look at
//! them again.

use super::RequestState;
use crate::{Instant, RequestId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// The requests of a gateway.
#[derive(Default)]
pub(crate) struct RequestTable {
    /// By identifier.
    requests: BTreeMap<RequestId, RequestState>,
    /// Admitted requests that wait for a backend, in the order in which they came.
    pub queue: VecDeque<RequestId>,
    /// The scheduled looks at requests, the earliest first.
    checks: BinaryHeap<Reverse<(Instant, RequestId)>>,
    /// Attempts in flight, of all requests.
    pub in_flight: u32,
}

impl RequestTable {
    /// Whether a request is not finished.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// A request's state.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// A request's state, to change.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// All requests that are not finished.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.values()
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, state: RequestState) {
        self.requests.insert(state.request.id, state);
    }

    /// Forgets a request.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// Schedules another look at a request.
    pub(crate) fn schedule_check(&mut self, time: Instant, id: RequestId) {
        self.checks.push(Reverse((time, id)));
    }

    /// Takes out the next request that is to be looked at by now.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<RequestId> {
        let Reverse((time, id)) = self.checks.peek().copied()?;
        if time > now {
            return None;
        }
        self.checks.pop();
        Some(id)
    }
}
