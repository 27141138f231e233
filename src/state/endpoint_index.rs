//! An index of backends by their position in a sorted list.

use crate::BackendId;

/// Entries of a part above which it is split in two.
const MAX_PART_LEN: usize = 512;

/// Backends sorted by a key, in parts of limited length.
///
/// A change moves the entries of one part only, so that its cost hardly grows with the list; a position is
/// found by counting through the parts.
#[derive(Default)]
pub(crate) struct EndpointIndex {
    /// Each sorted and not empty; the entries of one come before those of the next.
    parts: Vec<Vec<(u64, BackendId)>>,
    /// Entries of all parts.
    len: usize,
}

impl EndpointIndex {
    /// An index of these entries, in any order.
    pub(crate) fn of(mut entries: Vec<(u64, BackendId)>) -> EndpointIndex {
        entries.sort_unstable();
        entries.dedup();
        let parts = entries.chunks(MAX_PART_LEN / 2).map(<[_]>::to_vec).collect();
        EndpointIndex { parts, len: entries.len() }
    }

    /// The number of backends.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The backend at a position, counted from 0.
    pub(crate) fn get(&self, position: usize) -> Option<BackendId> {
        let mut position_in_part = position;
        for part in &self.parts {
            if let Some((_, id)) = part.get(position_in_part) {
                return Some(*id);
            }
            position_in_part -= part.len();
        }
        None
    }

    /// The number of the part that an entry is in, or belongs in.
    fn part_of(&self, entry: &(u64, BackendId)) -> usize {
        self.parts.partition_point(|part| part.first().is_some_and(|first| first <= entry)).saturating_sub(1)
    }

    /// Inserts a backend, if it is not there.
    pub(crate) fn insert(&mut self, key: u64, id: BackendId) {
        let entry = (key, id);
        let part_number = self.part_of(&entry);
        let Some(part) = self.parts.get_mut(part_number) else {
            self.len = 1;
            return self.parts.push(vec![entry]);
        };
        let Err(position) = part.binary_search(&entry) else { return };
        part.insert(position, entry);
        self.len += 1;
        if part.len() > MAX_PART_LEN {
            let rest = part.split_off(MAX_PART_LEN / 2);
            self.parts.insert(part_number + 1, rest);
        }
    }

    /// Removes a backend, if it is there.
    pub(crate) fn remove(&mut self, key: u64, id: BackendId) {
        let entry = (key, id);
        let part_number = self.part_of(&entry);
        let Some(part) = self.parts.get_mut(part_number) else { return };
        let Ok(position) = part.binary_search(&entry) else { return };
        part.remove(position);
        self.len -= 1;
        if part.is_empty() {
            self.parts.remove(part_number);
        }
    }
}

#[cfg(test)]
mod tests;
