//! Tests of [`super`].

use super::*;

/// Returns all backends of an index in order.
fn all(index: &EndpointIndex) -> Vec<BackendId> {
    (0..index.len()).map(|position| index.get(position).expect("position below len")).collect()
}

/// Backends are inserted and removed in random order, some with equal keys, until none is left. A backend
/// missing from the index would get no requests, and a stale one would get requests after its removal.
#[test]
fn index_equals_sorted_list_after_random_changes() {
    let mut random = fastrand::Rng::with_seed(7);
    for size in [0u64, 1, 3, 600, 5_000] {
        // With 4096 possible keys, many are equal.
        let key = |number: u64| number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 52;
        let mut expected: std::collections::BTreeSet<(u64, BackendId)> =
            (0..size).map(|number| (key(number), BackendId(number))).collect();
        let mut index = EndpointIndex::from_entries(expected.iter().copied().collect());
        for step in 0..4_000 {
            let number = random.u64(0..size.max(1) * 2);
            // Mostly insertions at first, then mostly removals.
            if random.u64(0..4) > u64::from(step > 1_500) * 2 {
                index.insert(key(number), BackendId(number));
                expected.insert((key(number), BackendId(number)));
            } else {
                index.remove(key(number), BackendId(number));
                expected.remove(&(key(number), BackendId(number)));
            }
            if step % 400 == 0 {
                assert_eq!(all(&index), expected.iter().map(|(_, id)| *id).collect::<Vec<_>>());
            }
        }
        for number in 0..size.max(1) * 2 {
            index.remove(key(number), BackendId(number));
        }
        assert_eq!((index.len(), index.get(0), index.blocks.len()), (0, None, 0));
    }
}

/// Fifty thousand backends are listed one by one. The cost of a change grows with the length of a block, so
/// with unlimited blocks each change in a large deployment would delay all requests.
#[test]
fn length_of_blocks_is_limited() {
    let mut index = EndpointIndex::default();
    for number in 0..50_000u64 {
        index.insert(number.wrapping_mul(0x9E37_79B9_7F4A_7C15), BackendId(number));
    }
    assert_eq!(index.len(), 50_000);
    assert!(index.blocks.iter().all(|block| (1..=MAX_BLOCK_ENTRIES).contains(&block.len())));
}
