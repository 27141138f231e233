//! A sorted list of backends with access by position.

use crate::BackendId;

/// Maximum number of entries in a block; a longer one is split in two.
const MAX_BLOCK_ENTRIES: usize = 512;

/// Backends sorted by a key, stored in blocks of limited length.
///
/// A change moves only the entries of one block, so that its cost hardly grows with the list. Access by
/// position sums the lengths of the preceding blocks.
#[derive(Default)]
pub(crate) struct EndpointIndex {
    /// Sorted, non-empty blocks, in ascending order of their entries.
    blocks: Vec<Vec<(u64, BackendId)>>,
    /// Number of entries in all blocks.
    len: usize,
}

impl EndpointIndex {
    /// Builds an index of entries, which may be in any order and contain duplicates.
    pub(crate) fn from_entries(mut entries: Vec<(u64, BackendId)>) -> EndpointIndex {
        entries.sort_unstable();
        entries.dedup();
        let blocks = entries.chunks(MAX_BLOCK_ENTRIES / 2).map(<[_]>::to_vec).collect();
        EndpointIndex { blocks, len: entries.len() }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the backend at a position, from 0.
    pub(crate) fn get(&self, position: usize) -> Option<BackendId> {
        let mut position_in_block = position;
        for block in &self.blocks {
            if let Some((_, id)) = block.get(position_in_block) {
                return Some(*id);
            }
            position_in_block -= block.len();
        }
        None
    }

    /// Returns the index of the block that contains an entry or into which it has to be inserted.
    fn block_of(&self, entry: &(u64, BackendId)) -> usize {
        self.blocks
            .partition_point(|block| block.first().is_some_and(|first| first <= entry))
            .saturating_sub(1)
    }

    /// Inserts a backend unless the index contains it.
    pub(crate) fn insert(&mut self, key: u64, id: BackendId) {
        let entry = (key, id);
        let block_index = self.block_of(&entry);
        let Some(block) = self.blocks.get_mut(block_index) else {
            self.len = 1;
            return self.blocks.push(vec![entry]);
        };
        let Err(position) = block.binary_search(&entry) else { return };
        block.insert(position, entry);
        self.len += 1;
        if block.len() > MAX_BLOCK_ENTRIES {
            let rest = block.split_off(MAX_BLOCK_ENTRIES / 2);
            self.blocks.insert(block_index + 1, rest);
        }
    }

    /// Removes a backend if the index contains it.
    pub(crate) fn remove(&mut self, key: u64, id: BackendId) {
        let entry = (key, id);
        let block_index = self.block_of(&entry);
        let Some(block) = self.blocks.get_mut(block_index) else { return };
        let Ok(position) = block.binary_search(&entry) else { return };
        block.remove(position);
        self.len -= 1;
        if block.is_empty() {
            self.blocks.remove(block_index);
        }
    }
}

#[cfg(test)]
mod tests;
