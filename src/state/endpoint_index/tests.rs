//! Tests of [`super`].

use super::*;

/// The backends of an index, by position.
fn all(index: &EndpointIndex) -> Vec<BackendId> {
    (0..index.len()).map(|position| index.get(position).expect("there is one at each position")).collect()
}

/// Backends are added and removed in any order, some with equal keys, down to none. All along the index has to
/// equal a list that is sorted anew; a backend that is missing from it would never get a request, and one left over
/// would get requests after its removal.
#[test]
fn the_index_equals_a_sorted_list_after_any_changes() {
    let mut random = fastrand::Rng::with_seed(7);
    for size in [0u64, 1, 3, 600, 5_000] {
        let key = |number: u64| number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 52; // few keys: many are alike
        let mut expected: std::collections::BTreeSet<(u64, BackendId)> =
            (0..size).map(|number| (key(number), BackendId(number))).collect();
        let mut index = EndpointIndex::from_entries(expected.iter().copied().collect());
        for step in 0..4_000 {
            let number = random.u64(0..size.max(1) * 2);
            // Mostly in, then mostly out, down to none.
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

/// Fifty thousand backends are listed one by one. A change touches one block of the index, so blocks must stay small;
/// if one grew with the list, each change at a large deployment would hold up all requests.
#[test]
fn no_part_grows_with_the_list() {
    let mut index = EndpointIndex::default();
    for number in 0..50_000u64 {
        index.insert(number.wrapping_mul(0x9E37_79B9_7F4A_7C15), BackendId(number));
    }
    assert_eq!(index.len(), 50_000);
    assert!(index.blocks.iter().all(|block| (1..=MAX_BLOCK_LEN).contains(&block.len())));
}
