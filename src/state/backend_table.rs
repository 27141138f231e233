//! The backends that a gateway knows, kept up to date with the endpoint list.

use super::{unit_draw, Backend, EndpointIndex, Salt};
use crate::gossip::backend_tag;
use crate::policy::BackendHealth;
use crate::{Availability, BackendId, Endpoint, GatewayId, Settings, SizeMeaning};
use std::collections::btree_map::{BTreeMap, Entry};

/// Mixes the gateway into the seed of the order of its backends.
const GATEWAY_SALT: Salt = Salt::from_bit(48);

/// The backends of a gateway, with indexes of those that are ready.
#[derive(Default)]
pub(crate) struct BackendTable {
    /// Those that are ready, and those with attempts of this gateway in flight.
    backends: BTreeMap<BackendId, Backend>,
    /// The ready ones by the tags that messages between gateways use.
    by_tag: BTreeMap<u32, BackendId>,
    /// The ready ones, in this gateway's own order: gateways prefer different backends.
    ready: EndpointIndex,
    /// The sizes of the ready ones together.
    ready_capacity: f64,
    /// The gateway whose table this is.
    own_id: GatewayId,
    /// The number of request classes.
    class_count: usize,
    /// Whether the list gives capacities as sizes; otherwise all have the size 1.
    sizes_are_capacities: bool,
}

impl BackendTable {
    /// No backends yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        BackendTable {
            own_id: settings.own_id,
            class_count: settings.classes.len(),
            sizes_are_capacities: settings.size_meaning == SizeMeaning::Capacity,
            ..BackendTable::default()
        }
    }

    /// A backend's record.
    pub(crate) fn get(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    /// A backend's record, to change.
    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.backends.get_mut(&id)
    }

    /// The number of ready backends.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// The capacity of the ready backends together, in sizes.
    pub(crate) fn ready_capacity(&self) -> f64 {
        self.ready_capacity
    }

    /// The ready backend at a position in this gateway's own order, counted from 0.
    pub(crate) fn ready_at(&self, position: usize) -> Option<&Backend> {
        self.get(self.ready.get(position)?)
    }

    /// The ready backend with a tag, as messages between gateways name it.
    pub(crate) fn by_tag(&self, tag: u32) -> Option<BackendId> {
        self.by_tag.get(&tag).copied()
    }

    /// Replaces the endpoint list. Backends that are not on the new one are forgotten once no attempt is in
    /// flight there.
    pub(crate) fn replace_all(&mut self, endpoints: Vec<Endpoint>) {
        self.backends.values_mut().for_each(|backend| backend.ready = false);
        for endpoint in endpoints {
            self.upsert(endpoint);
        }
        self.backends.retain(|_, backend| backend.ready || backend.in_flight > 0);
        self.rebuild_index();
    }

    /// Applies a changed entry of the endpoint list, in time that hardly grows with the list.
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

    /// Forgets a backend that is not ready once no attempt is in flight there.
    pub(crate) fn remove_if_drained(&mut self, id: BackendId) {
        if self.backends.get(&id).is_some_and(|backend| !backend.ready && backend.in_flight == 0) {
            self.backends.remove(&id);
        }
    }

    /// The size of a backend that is ready.
    fn ready_size(&self, id: BackendId) -> Option<f64> {
        self.backends.get(&id).filter(|backend| backend.ready).map(|backend| backend.size)
    }

    /// Writes an entry of the endpoint list to the backend's record. What is known of an earlier process of
    /// the backend is forgotten.
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

    /// Builds the indexes of the ready backends anew.
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
            self.ready_capacity = 0.0; // without what rounding left of it
        }
    }

    /// The key of a backend in this gateway's own order. Floats that are not negative are ordered as their
    /// bits are.
    fn index_key(&self, id: BackendId) -> u64 {
        unit_draw(id.0 ^ GATEWAY_SALT.of(self.own_id.0.into())).to_bits()
    }
}

#[cfg(test)]
mod tests;
