//! The version of the endpoint list in use, and whether a response applies to that list.
//!
//! Several polls may be pending at once, so that a response may describe an older list than the one in use.

/// Version and kind of the list in a response, and the version in use when its poll started.
#[derive(Clone, Copy)]
pub struct ResponseVersion {
    pub index: u64,
    /// Whether the list is complete, or was requested as such.
    pub is_snapshot: bool,
    pub index_at_start: u64,
}

/// Use of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applicability {
    /// The list in use is updated.
    Applies,
    /// The response is discarded: another one arrived first, and has a later list or that of another process
    /// of discovery. Which of them cannot be distinguished, so the next poll requests a snapshot.
    Outdated,
}

/// Version of the endpoint list in use.
#[derive(Clone, Copy, Debug)]
pub struct ListVersion {
    pub index: u64,
    /// Whether the next poll requests a snapshot, because changes after `index` may be those of another
    /// process of discovery, which counts from its own start.
    pub needs_snapshot: bool,
}

impl ListVersion {
    /// Records a response, and returns whether its list applies.
    pub fn record_response(&mut self, response: ResponseVersion) -> Applicability {
        let ResponseVersion { index, is_snapshot, index_at_start } = response;
        let is_lower = index < self.index;
        // Changes since a higher version than the one in use leave out those between the two.
        let leaves_out_changes = !is_snapshot && index_at_start > self.index;
        if index_at_start != self.index && (is_lower || leaves_out_changes) {
            self.needs_snapshot = true;
            return Applicability::Outdated;
        }
        // Changes since the version of another process would leave out all that it had before.
        self.needs_snapshot = !is_snapshot && (is_lower || self.needs_snapshot);
        self.index = index;
        Applicability::Applies
    }
}

#[cfg(test)]
mod tests;
