//! Tests of [`super`].

use super::*;
use crate::{Duration, Instant};

/// A table for sizes that are capacities.
fn table() -> BackendTable {
    BackendTable::new(&Settings { size_meaning: SizeMeaning::Capacity, ..Settings::default() })
}

/// An entry of the endpoint list.
fn endpoint(id: u64, size: f64, availability: Availability) -> Endpoint {
    Endpoint { backend: BackendId(id), size, availability, ..Endpoint::default() }
}

/// The ready backends, sorted by id.
fn ready_ids(table: &BackendTable) -> Vec<u64> {
    let at = |position| table.ready_at(position).expect("there is one at each position").endpoint.backend.0;
    let mut ids: Vec<u64> = (0..table.ready_count()).map(at).collect();
    ids.sort_unstable();
    ids
}

/// Backends are listed, drain and come back. The ready ones, their capacity and their tags are always those of the
/// latest entries; an index that was left behind would send requests to a draining backend, or none to one that
/// came back.
#[test]
fn changes_of_the_list_keep_the_indexes() {
    let mut table = table();
    for (id, size) in [(1, 2.0), (2, 3.0), (3, 4.0)] {
        table.apply_change(endpoint(id, size, Availability::Ready));
    }
    assert_eq!((ready_ids(&table), table.ready_capacity()), (vec![1, 2, 3], 9.0));
    table.apply_change(endpoint(2, 3.0, Availability::Draining));
    assert_eq!((ready_ids(&table), table.ready_capacity()), (vec![1, 3], 6.0));
    assert_eq!(table.by_tag(backend_tag(2)), None);
    table.apply_change(endpoint(2, 5.0, Availability::Ready));
    assert_eq!((ready_ids(&table), table.ready_capacity()), (vec![1, 2, 3], 11.0));
    assert_eq!(table.by_tag(backend_tag(2)), Some(BackendId(2)));
}

/// The endpoint list gives a backend no size, or one that makes no sense. It counts as a backend of usual size;
/// with a size of zero it would get no requests, and with NaN no choice could be made at all.
#[test]
fn a_backend_without_a_size_has_the_size_one() {
    let mut table = table();
    table.replace_all([0.0, -1.0, f64::NAN].map(|size| endpoint(7, size, Availability::Ready)).to_vec());
    assert_eq!(table.ready_capacity(), 1.0);
}

/// A new list lacks a backend that is still executing a request. Its record is kept until that attempt has ended,
/// so that its end can be taken into account, but it gets nothing new.
#[test]
fn a_backend_that_is_not_listed_is_known_while_attempts_are_in_flight() {
    let mut table = table();
    table.replace_all((1..=2).map(|id| endpoint(id, 1.0, Availability::Ready)).collect());
    let backend = table.get_mut(BackendId(1)).expect("it is listed");
    backend.begin_attempt(Instant::ZERO, Duration::ZERO);
    table.replace_all(Vec::new());
    assert_eq!(table.ready_count(), 0);
    assert!(table.get(BackendId(1)).is_some() && table.get(BackendId(2)).is_none());
    table.get_mut(BackendId(1)).expect("it is known").end_attempt();
    table.remove_if_drained(BackendId(1));
    assert!(table.get(BackendId(1)).is_none());
}

/// Two gateways have the same list. Each keeps it in an order of its own and so prefers other backends; with one
/// order for all, the whole fleet would send to the same few backends.
#[test]
fn each_gateway_has_an_order_of_its_own() {
    let order_of = |own_id| {
        let mut table = BackendTable::new(&Settings { own_id: GatewayId(own_id), ..Settings::default() });
        table.replace_all((0..50).map(|id| endpoint(id, 1.0, Availability::Ready)).collect());
        (0..50).map(|position| table.ready.get(position)).collect::<Vec<_>>()
    };
    assert_eq!(order_of(1), order_of(1));
    assert_ne!(order_of(1), order_of(2));
}
