//! Tests of [`super`].

use super::*;
use crate::{Duration, Instant};

/// Returns an empty table of a deployment in which sizes are capacities.
fn table() -> BackendTable {
    BackendTable::new(&Settings { size_meaning: SizeMeaning::Capacity, ..Settings::default() })
}

fn endpoint(id: u64, size: f64, availability: Availability) -> Endpoint {
    Endpoint { backend: BackendId(id), size, availability, ..Endpoint::default() }
}

/// Returns the ids of the ready backends in ascending order.
fn ready_ids(table: &BackendTable) -> Vec<u64> {
    let at = |position| table.ready_at(position).expect("position below ready_count").endpoint.backend.0;
    let mut ids: Vec<u64> = (0..table.ready_count()).map(at).collect();
    ids.sort_unstable();
    ids
}

/// Backends are listed, drain and become ready again. With an outdated index, requests would be sent to a
/// draining backend, or none to a backend that is ready again.
#[test]
fn indexes_follow_changes_of_the_endpoint_list() {
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

/// The endpoint list gives a backend an invalid size. With a size of zero, the backend would get no requests,
/// and with NaN, no backend could be chosen at all.
#[test]
fn invalid_size_is_replaced_by_one() {
    let mut table = table();
    table.replace_all([0.0, -1.0, f64::NAN].map(|size| endpoint(7, size, Availability::Ready)).to_vec());
    assert_eq!(table.ready_capacity(), 1.0);
}

/// A new list lacks a backend that still executes a request. Without the record, the end of that attempt
/// would not be counted.
#[test]
fn unlisted_backend_is_kept_while_attempts_are_in_flight() {
    let mut table = table();
    table.replace_all((1..=2).map(|id| endpoint(id, 1.0, Availability::Ready)).collect());
    let backend = table.get_mut(BackendId(1)).expect("backend 1 is listed");
    backend.begin_attempt(Instant::ZERO, Duration::ZERO);
    table.replace_all(Vec::new());
    assert_eq!(table.ready_count(), 0);
    assert!(table.get(BackendId(1)).is_some() && table.get(BackendId(2)).is_none());
    table.get_mut(BackendId(1)).expect("the record of backend 1 is kept").end_attempt();
    table.remove_if_drained(BackendId(1));
    assert!(table.get(BackendId(1)).is_none());
}

/// Two gateways have the same list. With the same order, all gateways would prefer the same few backends.
#[test]
fn order_of_backends_differs_between_gateways() {
    let order_of = |own_id| {
        let mut table = BackendTable::new(&Settings { own_id: GatewayId(own_id), ..Settings::default() });
        table.replace_all((0..50).map(|id| endpoint(id, 1.0, Availability::Ready)).collect());
        (0..50).map(|position| table.ready.get(position)).collect::<Vec<_>>()
    };
    assert_eq!(order_of(1), order_of(1));
    assert_ne!(order_of(1), order_of(2));
}
