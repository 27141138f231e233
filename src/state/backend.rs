//! What a gateway knows of a backend, and the index of those that are ready.

use crate::gossip::backend_tag;
use crate::state::*;
use crate::*;
use std::collections::VecDeque;

/// A backend's record with one class: it may be sick for that one alone.
#[derive(Clone, Default)]
pub struct Health {
    pub failure_rate: f64,
    pub updated_at: Micros,
    pub last_heard_at: Micros,
    pub ejected_until: Micros,
    pub consecutive_ejections: u32,
}

#[derive(Default)]
pub struct Backend {
    pub endpoint: Endpoint,
    pub size: f64,
    pub ready: bool,
    pub in_flight: u32,
    /// Mean answer time over what the class usually takes; 1 is normal.
    pub relative_latency: f64,
    pub health: Vec<Health>,
    /// Requests waiting as last reported, and when.
    pub reported_queue_depth: f64,
    pub reported_at: Micros,
    /// Recent sends while cold.
    pub recent_slow_start_sends: VecDeque<Micros>,
}

/// How long answers of a class take: lately, and on calm servers.
#[derive(Default)]
pub struct LatencyBaseline {
    pub recent: f64,
    pub unloaded: f64,
    pub sample_count: f64,
    pub updated_at: Micros,
}

impl Gateway {
    /// Where a backend stands in this gateway's own order; any number at or above 0 is ordered as its bits are.
    pub(crate) fn index_key(&self, id: BackendId) -> u64 {
        hash(id.0 ^ u64::from(self.settings.own_id.0) << 48).to_bits()
    }

    /// Takes a whole list: what is absent from it is gone, and remembered only while attempts are in flight there.
    pub(crate) fn replace_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.backends.values_mut().for_each(|backend| backend.ready = false);
        endpoints.into_iter().for_each(|endpoint| self.upsert_endpoint(endpoint));
        self.backends.retain(|_, backend| backend.ready || backend.in_flight > 0);
        self.rebuild_index();
    }

    /// Indexes all that is ready.
    fn rebuild_index(&mut self) {
        let ready = || self.backends.values().filter(|b| b.ready);
        self.ready_capacity = ready().map(|b| b.size).sum();
        self.backends_by_tag =
            ready().map(|b| (backend_tag(b.endpoint.backend.0), b.endpoint.backend)).collect();
        self.ready_backends = EndpointIndex::of(
            ready().map(|b| (self.index_key(b.endpoint.backend), b.endpoint.backend)).collect(),
        );
    }

    /// Takes a changed entry of the list, and keeps what is made from the list up to date: all of that costs hardly more
    /// where the list is long.
    pub(crate) fn apply_change(&mut self, l: Endpoint) {
        let (id, place) = (l.backend, self.index_key(l.backend));
        let before = self.backends.get(&id).filter(|b| b.ready).map_or(0.0, |b| b.size);
        self.upsert_endpoint(l);
        let Some(b) = self.backends.get(&id) else { return };
        let (ready, size) = (b.ready, if b.ready { b.size } else { 0.0 });
        self.ready_capacity += size - before;
        if ready {
            self.ready_backends.insert(place, id);
            self.backends_by_tag.insert(backend_tag(id.0), id);
            return;
        }
        self.ready_backends.remove(place, id);
        if self.backends_by_tag.get(&backend_tag(id.0)) == Some(&id) {
            self.backends_by_tag.remove(&backend_tag(id.0));
        }
        if self.ready_backends.len() == 0 {
            self.ready_capacity = 0.0; // what rounding left of it
        }
        self.remove_if_drained(id);
    }

    /// Takes an entry of the list into the backend's record.
    pub(crate) fn upsert_endpoint(&mut self, l: Endpoint) {
        let b = self.backends.entry(l.backend).or_default();
        if b.health.is_empty() || l.started_at != b.endpoint.started_at {
            (b.relative_latency, b.reported_queue_depth) = (1.0, 0.0); // a new process, a new record
            b.health = vec![Health::default(); self.settings.classes.len()];
        }
        b.endpoint = l;
        let sized = self.settings.size_meaning == SizeMeaning::Capacity && l.size.is_finite() && l.size > 0.0;
        b.size = if sized { l.size } else { 1.0 };
        b.ready = l.availability == Availability::Ready;
    }

    /// Forgets a backend that has left the list once nothing is out there.
    pub(crate) fn remove_if_drained(&mut self, id: BackendId) {
        if self.backends.get(&id).is_some_and(|b| !b.ready && b.in_flight == 0) {
            self.backends.remove(&id);
        }
    }
}
