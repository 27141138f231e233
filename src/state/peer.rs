//! What a gateway knows of a peer, and what it is still to be sent.

use crate::gossip::{LatencySample, MAX_USAGE_REPORTS};
use crate::{CustomerId, Micros};
use std::collections::BTreeMap;

/// What a peer is still to be sent about a customer.
#[derive(Clone, Copy, Default)]
pub struct OutboxEntry {
    /// How many more messages carry it.
    pub retransmissions: u8,
    pub requests_grant: bool,
}

/// A sample on its way to the peers.
pub struct QueuedSample {
    /// How many more messages carry it.
    pub retransmissions: u8,
    pub sample: LatencySample,
}

#[derive(Default)]
pub struct Peer {
    pub incarnation: u32,
    pub last_sequence: u16,
    pub sent_messages: u16,
    /// When it was last heard.
    pub last_heard_at: Micros,
    /// When the next message may go.
    pub next_send_at: Micros,
    /// Where the last message ended.
    pub last_sent: CustomerId,
    /// Customers to tell it of: how many more times, and whether to ask.
    pub outbox: BTreeMap<CustomerId, OutboxEntry>,
}

impl Peer {
    /// Takes from the outbox what the next message carries. It goes round from where the last one ended: else the last
    /// customers would never be sent when more change than fit.
    pub fn next_batch(&mut self) -> Vec<(CustomerId, OutboxEntry)> {
        let rotated = self.outbox.range(self.last_sent..).chain(self.outbox.range(..self.last_sent));
        let batch: Vec<_> = rotated.take(MAX_USAGE_REPORTS).map(|(id, entry)| (*id, *entry)).collect();
        self.last_sent = batch.last().map_or(self.last_sent, |(id, _)| CustomerId(id.0 + 1));
        for (id, entry) in &batch {
            let retransmissions = entry.retransmissions - 1;
            self.outbox.insert(*id, OutboxEntry { retransmissions, requests_grant: false });
        }
        self.outbox.retain(|_, entry| entry.retransmissions > 0);
        batch
    }
}
