//! What a gateway knows of a peer, and what waits to be sent to it.

use crate::{CustomerId, Duration, Instant};
use std::collections::BTreeMap;

/// A customer whose usage waits to be reported to a peer.
#[derive(Clone, Copy, Default)]
pub(crate) struct OutboxEntry {
    /// How many messages carry it from now on, the next one included.
    pub copies_left: u8,
    /// Whether the next message requests a grant.
    pub requests_grant: bool,
}

/// How a process of a peer came to be heard for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerStart {
    /// No earlier process of the peer was known.
    FirstHeard,
    /// It follows another one, whose messages were heard.
    Restarted,
}

/// Whether a peer's process has run for longer than the one here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerAge {
    /// It started before this one.
    Older,
    /// It started with this one or later.
    NotOlder,
}

/// What the incarnation and the sequence number of a message say of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageStatus {
    /// It is from before the peer's restart, a repeat, or overtaken by a later one.
    Outdated,
    /// It is a newer one of the incarnation that is known.
    Current,
    /// It is the first one of an incarnation.
    NewIncarnation(PeerStart),
}

/// How long a message may be on its way. After this, one of an earlier incarnation says that it still runs,
/// and one whose sequence number seems to have gone back says that the numbers have wrapped meanwhile.
const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(1);
/// Messages that a peer sent before the first one that came here, from which on it has run for longer than
/// this gateway: a process that starts is heard within its first few, whatever is lost.
const MIN_FIRST_SEQUENCE_OF_OLDER_PEER: u16 = 16;

/// An incarnation in whose place there is another one.
#[derive(Clone, Copy)]
struct SupersededIncarnation {
    /// Its number.
    incarnation: u32,
    /// When the next one was first heard.
    at: Instant,
}

/// A peer's record.
#[derive(Default)]
pub(super) struct Peer {
    /// The latest incarnation known; 0 for none. It tells processes apart and does not order them: it is read
    /// from a wall clock, which may be stepped.
    incarnation: u32,
    /// The one before.
    superseded: Option<SupersededIncarnation>,
    /// The sequence number of the first message of this incarnation that was received.
    first_sequence: u16,
    /// The sequence number of the last message received.
    last_sequence: u16,
    /// Messages sent to it, wrapping.
    pub(super) sent_messages: u16,
    /// When a message was last received.
    pub(super) last_received_at: Option<Instant>,
    /// When the next message may be sent.
    pub(super) next_send_at: Instant,
    /// Where in the outbox the last message ended.
    next_customer: CustomerId,
    /// The customers to report to it.
    pub(super) outbox: BTreeMap<CustomerId, OutboxEntry>,
}

impl Peer {
    /// Records a message's incarnation and sequence number, and tells whether it is to be handled.
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

    /// Whether a message of this incarnation may have been on its way since before the peer's restart.
    fn was_recently_superseded(&self, incarnation: u32, now: Instant) -> bool {
        let superseded = self.superseded.filter(|superseded| superseded.incarnation == incarnation);
        superseded.is_some_and(|superseded| now < superseded.at + MAX_MESSAGE_DELAY)
    }

    /// Whether the peer's process started before the one here, as far as messages tell; wall clocks decide
    /// only where they do not.
    pub(super) fn age(&self, own_incarnation: u32) -> PeerAge {
        let restarted_since = self.superseded.is_some();
        let missed_first_messages = self.first_sequence >= MIN_FIRST_SEQUENCE_OF_OLDER_PEER;
        if !restarted_since && (missed_first_messages || self.incarnation < own_incarnation) {
            PeerAge::Older
        } else {
            PeerAge::NotOlder
        }
    }

    /// Whether the peer's process and the one here started within a time of each other, by their wall clocks.
    pub(super) fn started_within(&self, window: Duration, own_incarnation: u32) -> bool {
        u64::from(self.incarnation.abs_diff(own_incarnation)) <= window.as_millis()
    }

    /// Takes from the outbox what the next message carries, `max_customers` customers at most. It goes round from
    /// where the last one ended: otherwise the last customers would never be sent when more change than fit.
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
