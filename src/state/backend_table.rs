//! The backends that a gateway knows, kept up to date with the endpoint list.

use super::{hash, Backend, EndpointIndex, Health};
use crate::gossip::backend_tag;
use crate::{Availability, BackendId, Endpoint, GatewayId, Settings, SizeMeaning};
use std::collections::BTreeMap;

/// The backends of a gateway, and what is made from their list.
#[derive(Default)]
pub struct BackendTable {
    /// Those that are ready, and those with attempts in flight.
    backends: BTreeMap<BackendId, Backend>,
    /// The ready ones by the short names that messages use.
    by_tag: BTreeMap<u32, BackendId>,
    /// The ready ones, in an order of this gateway's own.
    pub ready: EndpointIndex,
    /// The sizes of the ready ones together.
    pub ready_capacity: f64,
    /// Whether backends of a zone could be connected to.
    pub zone_health: BTreeMap<u8, Health>,
    /// The gateway whose table this is.
    own_id: GatewayId,
    /// How many request classes there are.
    classes: usize,
    /// Whether the sizes of endpoints count.
    sizes_are_capacities: bool,
}

impl BackendTable {
    /// No backends yet.
    pub fn new(settings: &Settings) -> Self {
        BackendTable {
            own_id: settings.own_id,
            classes: settings.classes.len(),
            sizes_are_capacities: settings.size_meaning == SizeMeaning::Capacity,
            ..BackendTable::default()
        }
    }

    /// A backend's record.
    pub fn get(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    /// A backend's record, to change.
    pub fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.backends.get_mut(&id)
    }

    /// The ready backend with a tag, as messages between gateways name it.
    pub fn by_tag(&self, tag: u32) -> Option<BackendId> {
        self.by_tag.get(&tag).copied()
    }

    /// Takes a whole list: what is absent from it is gone, and remembered only while attempts are in flight
    /// there.
    pub fn replace_all(&mut self, endpoints: Vec<Endpoint>) {
        self.backends.values_mut().for_each(|backend| backend.ready = false);
        endpoints.into_iter().for_each(|endpoint| self.upsert(endpoint));
        self.backends.retain(|_, backend| backend.ready || backend.in_flight > 0);
        self.rebuild_index();
    }

    /// Takes a changed entry of the list. The index is kept up to date in time that hardly grows with the
    /// list.
    pub fn apply_change(&mut self, endpoint: Endpoint) {
        let id = endpoint.backend;
        let size_before =
            self.backends.get(&id).filter(|backend| backend.ready).map_or(0.0, |backend| backend.size);
        self.upsert(endpoint);
        let Some(backend) = self.backends.get(&id) else { return };
        let ready = backend.ready;
        let size = if ready { backend.size } else { 0.0 };
        self.ready_capacity += size - size_before;
        if ready {
            self.ready.insert(self.index_key(id), id);
            self.by_tag.insert(backend_tag(id.0), id);
        } else {
            self.remove_from_index(id);
            self.remove_if_drained(id);
        }
    }

    /// Forgets a backend that is not ready once no attempt is in flight there.
    pub fn remove_if_drained(&mut self, id: BackendId) {
        if self.backends.get(&id).is_some_and(|backend| !backend.ready && backend.in_flight == 0) {
            self.backends.remove(&id);
        }
    }

    /// Takes an entry of the list into the backend's record; a process that started anew has a new record.
    fn upsert(&mut self, endpoint: Endpoint) {
        let backend = self.backends.entry(endpoint.backend).or_default();
        if backend.health.is_empty() || endpoint.started_at != backend.endpoint.started_at {
            backend.relative_latency = 1.0;
            backend.reported_queue_depth = 0.0;
            backend.health = vec![Health::default(); self.classes];
        }
        backend.endpoint = endpoint;
        let has_size = self.sizes_are_capacities && endpoint.size.is_finite() && endpoint.size > 0.0;
        backend.size = if has_size { endpoint.size } else { 1.0 };
        backend.ready = endpoint.availability == Availability::Ready;
    }

    /// Indexes all that is ready.
    fn rebuild_index(&mut self) {
        let ready = || self.backends.values().filter(|backend| backend.ready);
        let ready_ids = || ready().map(|backend| backend.endpoint.backend);
        self.ready_capacity = ready().map(|backend| backend.size).sum();
        self.by_tag = ready_ids().map(|id| (backend_tag(id.0), id)).collect();
        self.ready = EndpointIndex::of(ready_ids().map(|id| (self.index_key(id), id)).collect());
    }

    /// Takes a backend that is no longer ready out of the index.
    fn remove_from_index(&mut self, id: BackendId) {
        self.ready.remove(self.index_key(id), id);
        let tag = backend_tag(id.0);
        if self.by_tag.get(&tag) == Some(&id) {
            self.by_tag.remove(&tag);
        }
        if self.ready.len() == 0 {
            self.ready_capacity = 0.0; // what rounding left of it
        }
    }

    /// Where a backend stands in this gateway's own order; a float from 0 up is ordered as its bits are.
    fn index_key(&self, id: BackendId) -> u64 {
        hash(id.0 ^ u64::from(self.own_id.0) << 48).to_bits()
    }
}
