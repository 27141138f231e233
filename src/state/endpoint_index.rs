//! The endpoint list as the decisions use it: an index that a change touches in time that hardly grows with
//! the list. No decision lives here.

use crate::BackendId;

/// Entries of a part from which it is split in two.
const MAX_PART_LEN: usize = 512;

/// Backends in the order of a key each, kept in parts: a change moves the entries of one part only.
#[derive(Default)]
pub struct EndpointIndex {
    /// Each sorted and not empty; the entries of one come before those of the next.
    parts: Vec<Vec<(u64, BackendId)>>,
    /// Entries of all parts.
    len: usize,
}

impl EndpointIndex {
    /// All of a list at once.
    pub fn of(mut all: Vec<(u64, BackendId)>) -> EndpointIndex {
        all.sort_unstable();
        all.dedup();
        let parts = all.chunks(MAX_PART_LEN / 2).map(<[_]>::to_vec).collect();
        EndpointIndex { parts, len: all.len() }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.len
    }

    /// The one at a position, counted from 0.
    pub fn get(&self, mut place: usize) -> Option<BackendId> {
        for part in &self.parts {
            if let Some((_, id)) = part.get(place) {
                return Some(*id);
            }
            place -= part.len();
        }
        None
    }

    /// The part that an entry is in, or belongs in.
    fn part(&self, entry: &(u64, BackendId)) -> usize {
        self.parts.partition_point(|part| part.first().is_some_and(|first| first <= entry)).saturating_sub(1)
    }

    /// Inserts one, if it is not there.
    pub fn insert(&mut self, key: u64, id: BackendId) {
        let entry = (key, id);
        let at = self.part(&entry);
        let Some(part) = self.parts.get_mut(at) else {
            self.len = 1;
            return self.parts.push(vec![entry]);
        };
        let Err(place) = part.binary_search(&entry) else { return };
        part.insert(place, entry);
        self.len += 1;
        if part.len() > MAX_PART_LEN {
            let rest = part.split_off(MAX_PART_LEN / 2);
            self.parts.insert(at + 1, rest);
        }
    }

    /// Takes one out, if it is there.
    pub fn remove(&mut self, key: u64, id: BackendId) {
        let entry = (key, id);
        let at = self.part(&entry);
        let Some(part) = self.parts.get_mut(at) else { return };
        let Ok(place) = part.binary_search(&entry) else { return };
        part.remove(place);
        self.len -= 1;
        if part.is_empty() {
            self.parts.remove(at);
        }
    }
}

#[cfg(test)]
mod tests;
