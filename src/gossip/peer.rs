//! The record that a gateway keeps of each peer, with the peer's outbox.

use crate::{CustomerId, Duration, Instant};
use std::collections::BTreeMap;

/// A customer whose usage waits to be reported to a peer.
#[derive(Clone, Copy, Default)]
pub(crate) struct OutboxEntry {
    /// Number of further messages that include it.
    pub copies_left: u8,
    /// Whether the next message requests a grant; later copies of the report do not.
    pub requests_grant: bool,
}

/// The circumstances of the first message from a peer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerStart {
    /// No message of an earlier process was received.
    FirstHeard,
    /// Messages of an earlier process were received.
    Restarted,
}

/// The age of a peer's process compared with this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerAge {
    /// The peer's process started before this one.
    Older,
    /// The peer's process started at the same time as this one or later.
    NotOlder,
}

/// The status of a received message by its incarnation and sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageStatus {
    /// Sent before the peer's restart, a duplicate, or overtaken by a later message.
    Outdated,
    /// A newer message of the current incarnation.
    Current,
    /// The first message of an incarnation.
    NewIncarnation(PeerStart),
}

/// Maximum network delay of a message.
///
/// After this time, a message of a superseded incarnation means that the superseded process still runs, and a
/// sequence number that is not higher means that the numbers have wrapped.
const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(1);
/// Lowest sequence number of the first message received from a peer with which the peer counts as started
/// before this gateway.
///
/// From a peer that starts later, one of the first few messages is received even if some are lost.
const MIN_FIRST_SEQUENCE_OF_OLDER_PEER: u16 = 16;

/// An incarnation that was replaced by a later one.
#[derive(Clone, Copy)]
struct SupersededIncarnation {
    incarnation: u32,
    /// Time at which the first message of its successor was received.
    at: Instant,
}

/// The receive state of a peer, and its outbox.
#[derive(Default)]
pub(super) struct Peer {
    /// Current incarnation; 0 before the first message. Incarnations identify processes but do not order
    /// them, since they are read from a wall clock, which can be set back.
    incarnation: u32,
    /// The previous incarnation.
    superseded: Option<SupersededIncarnation>,
    /// Sequence number of the first message received of the current incarnation.
    first_sequence: u16,
    /// Sequence number of the last message received.
    last_sequence: u16,
    /// Number of messages sent to the peer, wrapping.
    pub(super) sent_messages: u16,
    /// Time at which the last current message was received.
    pub(super) last_received_at: Option<Instant>,
    /// Earliest time to send the next message.
    pub(super) next_send_at: Instant,
    /// First customer of the next batch: the one after the last customer sent.
    next_customer: CustomerId,
    /// Customers whose usage has to be reported to the peer.
    pub(super) outbox: BTreeMap<CustomerId, OutboxEntry>,
}

impl Peer {
    /// Records the incarnation and sequence number of a received message, and returns its status. Outdated
    /// messages are not recorded.
    pub(super) fn receive(&mut self, incarnation: u32, sequence: u16, now: Instant) -> MessageStatus {
        let same_incarnation = incarnation == self.incarnation;
        let is_behind = sequence.wrapping_sub(self.last_sequence) as i16 <= 0;
        let received_recently =
            self.last_received_at.is_some_and(|received_at| now < received_at + MAX_MESSAGE_DELAY);
        let overtaken = is_behind && received_recently;
        if (same_incarnation && overtaken) || self.was_recently_superseded(incarnation, now) {
            return MessageStatus::Outdated;
        }
        (self.last_sequence, self.last_received_at) = (sequence, Some(now));
        if same_incarnation {
            return MessageStatus::Current;
        }
        let restarted = self.incarnation > 0;
        let superseded = SupersededIncarnation { incarnation: self.incarnation, at: now };
        self.superseded = restarted.then_some(superseded);
        (self.incarnation, self.first_sequence) = (incarnation, sequence);
        MessageStatus::NewIncarnation(if restarted { PeerStart::Restarted } else { PeerStart::FirstHeard })
    }

    /// Returns whether a message of this incarnation may have been delayed since before the peer's restart.
    fn was_recently_superseded(&self, incarnation: u32, now: Instant) -> bool {
        let superseded = self.superseded.filter(|superseded| superseded.incarnation == incarnation);
        superseded.is_some_and(|superseded| now < superseded.at + MAX_MESSAGE_DELAY)
    }

    /// Compares the age of the peer's process with this one, by the messages received. If these are
    /// inconclusive, the incarnations decide; they depend on the wall clocks.
    pub(super) fn age(&self, own_incarnation: u32) -> PeerAge {
        let restarted_since = self.superseded.is_some();
        let missed_first_messages = self.first_sequence >= MIN_FIRST_SEQUENCE_OF_OLDER_PEER;
        if !restarted_since && (missed_first_messages || self.incarnation < own_incarnation) {
            PeerAge::Older
        } else {
            PeerAge::NotOlder
        }
    }

    /// Returns whether the peer's process and this one started within `window` of each other, by their wall
    /// clocks.
    pub(super) fn started_within(&self, window: Duration, own_incarnation: u32) -> bool {
        u64::from(self.incarnation.abs_diff(own_incarnation)) <= window.as_millis()
    }

    /// Takes the entries of the next message from the outbox, at most `max_customers`. Each batch continues
    /// after the previous one and wraps around: otherwise the last customers would never be sent while more
    /// of them change than fit in a message.
    pub(super) fn next_batch(&mut self, max_customers: usize) -> Vec<(CustomerId, OutboxEntry)> {
        let rotated = self.outbox.range(self.next_customer..).chain(self.outbox.range(..self.next_customer));
        let batch: Vec<_> = rotated.take(max_customers).map(|(id, entry)| (*id, *entry)).collect();
        self.next_customer = batch.last().map_or(self.next_customer, |(id, _)| CustomerId(id.0 + 1));
        for (id, entry) in &batch {
            let copies_left = entry.copies_left - 1;
            self.outbox.insert(*id, OutboxEntry { copies_left, requests_grant: false });
        }
        self.outbox.retain(|_, entry| entry.copies_left > 0);
        batch
    }
}

#[cfg(test)]
mod tests;
