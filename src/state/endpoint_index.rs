//! An index of backends by their position in a sorted list.

use crate::BackendId;

/// Entries of a block above which it is split in two.
const MAX_BLOCK_LEN: usize = 512;

/// Backends sorted by a key, in blocks of limited length.
///
/// A change moves the entries of one block only, so that its cost hardly grows with the list; a position is
/// found by counting through the blocks.
#[derive(Default)]
pub(crate) struct EndpointIndex {
    /// Each sorted and not empty; the entries of one come before those of the next.
    blocks: Vec<Vec<(u64, BackendId)>>,
    /// Entries of all blocks.
    len: usize,
}

impl EndpointIndex {
    /// An index of these entries, in any order.
    pub(crate) fn from_entries(mut entries: Vec<(u64, BackendId)>) -> EndpointIndex {
        entries.sort_unstable();
        entries.dedup();
        let blocks = entries.chunks(MAX_BLOCK_LEN / 2).map(<[_]>::to_vec).collect();
        EndpointIndex { blocks, len: entries.len() }
    }

    /// The number of backends.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The backend at a position, counted from 0.
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

    /// The number of the block that an entry is in, or belongs in.
    fn block_of(&self, entry: &(u64, BackendId)) -> usize {
        self.blocks
            .partition_point(|block| block.first().is_some_and(|first| first <= entry))
            .saturating_sub(1)
    }

    /// Inserts a backend, if it is not there.
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
        if block.len() > MAX_BLOCK_LEN {
            let rest = block.split_off(MAX_BLOCK_LEN / 2);
            self.blocks.insert(block_index + 1, rest);
        }
    }

    /// Removes a backend, if it is there.
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
