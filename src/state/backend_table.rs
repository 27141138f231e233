//! The table of a gateway's backends, updated from the endpoint list.

use super::{unit_draw, Backend, EndpointIndex, Salt};
use crate::gossip::backend_tag;
use crate::policy::BackendHealth;
use crate::{Availability, BackendId, Endpoint, GatewayId, Settings, SizeMeaning};
use std::collections::btree_map::{BTreeMap, Entry};

/// Salt for a gateway's index in the draws that order its backends.
const GATEWAY_SALT: Salt = Salt::from_bit(48);

/// The backends of a gateway, with indexes of the ready ones.
#[derive(Default)]
pub(crate) struct BackendTable {
    /// Backends that are ready or have attempts of this gateway in flight.
    backends: BTreeMap<BackendId, Backend>,
    /// Ready backends by the tag that identifies them in messages between gateways.
    by_tag: BTreeMap<u32, BackendId>,
    /// Ready backends in an order specific to this gateway, so that gateways prefer different backends.
    ready: EndpointIndex,
    /// Sum of the sizes of the ready backends.
    ready_capacity: f64,
    own_id: GatewayId,
    class_count: usize,
    /// Whether sizes in the endpoint list are capacities; otherwise every backend has the size 1.
    sizes_are_capacities: bool,
}

impl BackendTable {
    /// Creates an empty table.
    pub(crate) fn new(settings: &Settings) -> Self {
        BackendTable {
            own_id: settings.own_id,
            class_count: settings.classes.len(),
            sizes_are_capacities: settings.size_meaning == SizeMeaning::Capacity,
            ..BackendTable::default()
        }
    }

    pub(crate) fn get(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.backends.get_mut(&id)
    }

    pub(crate) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Returns the sum of the sizes of the ready backends.
    pub(crate) fn ready_capacity(&self) -> f64 {
        self.ready_capacity
    }

    /// Returns the ready backend at a position, from 0, in this gateway's order.
    pub(crate) fn ready_at(&self, position: usize) -> Option<&Backend> {
        self.get(self.ready.get(position)?)
    }

    /// Returns the ready backend with a tag, as used in messages between gateways.
    pub(crate) fn by_tag(&self, tag: u32) -> Option<BackendId> {
        self.by_tag.get(&tag).copied()
    }

    /// Replaces the endpoint list. Backends that the new list lacks are removed once they have no attempt in
    /// flight.
    pub(crate) fn replace_all(&mut self, endpoints: Vec<Endpoint>) {
        self.backends.values_mut().for_each(|backend| backend.ready = false);
        for endpoint in endpoints {
            self.upsert(endpoint);
        }
        self.backends.retain(|_, backend| backend.ready || backend.in_flight > 0);
        self.rebuild_index();
    }

    /// Applies a changed entry of the endpoint list. The cost hardly grows with the length of the list.
    pub(crate) fn apply_change(&mut self, endpoint: Endpoint) {
        let id = endpoint.backend;
        let ready_size_before = self.ready_size(id);
        self.upsert(endpoint);
        let ready_size = self.ready_size(id);
        self.ready_capacity += ready_size.unwrap_or(0.0) - ready_size_before.unwrap_or(0.0);
        if ready_size.is_some() {
            self.ready.insert(self.index_key(id), id);
            self.by_tag.insert(backend_tag(id.0), id);
        } else {
            self.remove_from_index(id);
            self.remove_if_drained(id);
        }
    }

    /// Removes a backend that is not ready and has no attempt in flight.
    pub(crate) fn remove_if_drained(&mut self, id: BackendId) {
        if self.backends.get(&id).is_some_and(|backend| !backend.ready && backend.in_flight == 0) {
            self.backends.remove(&id);
        }
    }

    /// Returns the size of a backend, or `None` if it is not ready.
    fn ready_size(&self, id: BackendId) -> Option<f64> {
        self.backends.get(&id).filter(|backend| backend.ready).map(|backend| backend.size)
    }

    /// Updates a backend's record from its entry in the endpoint list. Health and reported queue are reset if
    /// the backend's process has restarted.
    fn upsert(&mut self, endpoint: Endpoint) {
        let backend = match self.backends.entry(endpoint.backend) {
            Entry::Occupied(known) if known.get().endpoint.started_at == endpoint.started_at => {
                known.into_mut()
            }
            entry => {
                let backend = entry.or_default();
                backend.health = BackendHealth::new(self.class_count);
                backend.reported_queue.clear();
                backend
            }
        };
        backend.endpoint = endpoint;
        let has_size = self.sizes_are_capacities && endpoint.size.is_finite() && endpoint.size > 0.0;
        backend.size = if has_size { endpoint.size } else { 1.0 };
        backend.ready = endpoint.availability == Availability::Ready;
    }

    /// Rebuilds the indexes of the ready backends.
    fn rebuild_index(&mut self) {
        let ready = || self.backends.values().filter(|backend| backend.ready);
        let ready_ids = || ready().map(|backend| backend.endpoint.backend);
        self.ready_capacity = ready().map(|backend| backend.size).sum();
        self.by_tag = ready_ids().map(|id| (backend_tag(id.0), id)).collect();
        self.ready = EndpointIndex::from_entries(ready_ids().map(|id| (self.index_key(id), id)).collect());
    }

    /// Removes a backend that is not ready from the indexes.
    fn remove_from_index(&mut self, id: BackendId) {
        self.ready.remove(self.index_key(id), id);
        let tag = backend_tag(id.0);
        if self.by_tag.get(&tag) == Some(&id) {
            self.by_tag.remove(&tag);
        }
        if self.ready.len() == 0 {
            self.ready_capacity = 0.0; // Discards the accumulated rounding error.
        }
    }

    /// Returns the sort key of a backend in this gateway's order. Non-negative floats have the same order as
    /// their bits.
    fn index_key(&self, id: BackendId) -> u64 {
        unit_draw(id.0 ^ GATEWAY_SALT.of(self.own_id.0.into())).to_bits()
    }
}

#[cfg(test)]
mod tests;
