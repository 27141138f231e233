//! Decides which unanswered polls of discovery stay pending beside the latest one.
//!
//! A crowded discovery answers polls in turn. A poll that is given up loses its place in the queue, and its
//! successor waits from the end of it: if every poll were given up sooner than discovery answers, none would
//! ever be answered. A poll whose response is late therefore stays pending. Its connection may as well be
//! dead, so the next poll does not wait for it.

use crate::{Duration, Instant};

/// Maximum number of polls that stay pending beside the latest one: a long poll, whose connection may be
/// dead, and a poll in the queue.
pub const MAX_EARLIER_POLLS: usize = 2;
/// Time in the queue of discovery after which a poll may be given up. A change counts as delivered after 6 s
/// in which discovery could be reached; the rest is for the transfer of the response.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(6500);

/// Place of a poll that stays pending beside its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierPollPlace {
    /// The poll stays pending, and so do all others.
    Free,
    /// The poll stays pending, and the one with this position is given up.
    Replaces(usize),
    /// The poll is given up: all others may still be answered, and have waited for longer.
    Occupied,
}

/// Returns the place of a poll that is followed by another at `now`, beside polls that stay pending already.
/// `expected_at` has their times of response if they did not wait in a queue, in the order of their starts.
pub fn earlier_poll_place(now: Instant, expected_at: &[Instant]) -> EarlierPollPlace {
    if expected_at.len() < MAX_EARLIER_POLLS {
        return EarlierPollPlace::Free;
    }
    let expired = expected_at.iter().position(|at| now >= *at + MAX_QUEUE_TIME);
    expired.map_or(EarlierPollPlace::Occupied, EarlierPollPlace::Replaces)
}

#[cfg(test)]
mod tests;
