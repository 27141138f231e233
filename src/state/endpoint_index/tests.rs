//! Tests of [`super`].

use super::*;

/// What an order holds, by its places.
fn all(order: &EndpointIndex) -> Vec<BackendId> {
    (0..order.len()).map(|n| order.get(n).expect("one at each place")).collect()
}

/// Against a list that is sorted anew behind each change: many, few and none, keys that are alike, what is there already and
/// what is not.
#[test]
fn it_is_the_sorted_list_after_any_changes() {
    let mut random = fastrand::Rng::with_seed(7);
    for size in [0u64, 1, 3, 600, 5_000] {
        let key = |n: u64| n.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 52; // few keys: many are alike
        let mut plain: std::collections::BTreeSet<(u64, BackendId)> =
            (0..size).map(|n| (key(n), BackendId(n))).collect();
        let mut order = EndpointIndex::of(plain.iter().copied().collect());
        for step in 0..4_000 {
            let n = random.u64(0..size.max(1) * 2);
            // Mostly in, then mostly out, down to none.
            if random.u64(0..4) > u64::from(step > 1_500) * 2 {
                order.insert(key(n), BackendId(n));
                plain.insert((key(n), BackendId(n)));
            } else {
                order.remove(key(n), BackendId(n));
                plain.remove(&(key(n), BackendId(n)));
            }
            if step % 400 == 0 {
                assert_eq!(all(&order), plain.iter().map(|e| e.1).collect::<Vec<_>>());
            }
        }
        for n in 0..size.max(1) * 2 {
            order.remove(key(n), BackendId(n));
        }
        assert_eq!((order.len(), order.get(0), order.parts.len()), (0, None, 0));
    }
}

/// Guards against work that grows with the list: a change touches the entries of one part.
#[test]
fn no_part_grows_with_the_list() {
    let mut order = EndpointIndex::default();
    for n in 0..50_000u64 {
        order.insert(n.wrapping_mul(0x9E37_79B9_7F4A_7C15), BackendId(n));
    }
    assert_eq!(order.len(), 50_000);
    assert!(order.parts.iter().all(|p| (1..=MOST_IN_PART).contains(&p.len())));
}
