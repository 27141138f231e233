//! The other gateways, and what waits to be sent to them.

use super::{OutboxEntry, Peer, QueuedSample};
use crate::gossip::{LatencySample, MAX_SAMPLES};
use crate::{CustomerId, Instant};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The peers of a gateway, their outboxes, and the latency samples that go along with any message.
#[derive(Default)]
pub struct PeerTable {
    /// The record of each peer.
    pub by_gateway: BTreeMap<u16, Peer>,
    /// Peers with something in their outbox.
    with_outbox: BTreeSet<u16>,
    /// Samples for the next messages, failures first, and the latest before older ones.
    latency_samples: VecDeque<QueuedSample>,
}

impl PeerTable {
    /// The record of a peer, a new one if there was none.
    pub fn entry(&mut self, peer: u16) -> &mut Peer {
        self.by_gateway.entry(peer).or_default()
    }

    /// Whether all peers with a record started within so many milliseconds of an incarnation.
    pub fn all_started_within(&self, window_ms: u32, incarnation: u32) -> bool {
        self.by_gateway.values().all(|peer| peer.incarnation.abs_diff(incarnation) <= window_ms)
    }

    /// Puts a customer into a peer's outbox. A request for a grant that waits there already still goes.
    pub fn queue(&mut self, peer: u16, customer: CustomerId, entry: OutboxEntry) {
        let queued = self.entry(peer).outbox.entry(customer).or_default();
        queued.retransmissions = entry.retransmissions;
        queued.requests_grant |= entry.requests_grant;
        self.with_outbox.insert(peer);
    }

    /// Puts a customer into a peer's outbox for one message, in place of what waits there.
    pub fn queue_single_report(&mut self, peer: u16, customer: CustomerId) {
        let entry = OutboxEntry { retransmissions: 1, requests_grant: false };
        self.entry(peer).outbox.insert(customer, entry);
        self.with_outbox.insert(peer);
    }

    /// Takes from a peer's outbox what the next message carries; none for a peer that has no record.
    pub fn next_batch(&mut self, peer: u16) -> Option<Vec<(CustomerId, OutboxEntry)>> {
        let record = self.by_gateway.get_mut(&peer)?;
        let batch = record.next_batch();
        if record.outbox.is_empty() {
            self.with_outbox.remove(&peer);
        }
        Some(batch)
    }

    /// Peers with something in their outbox that may be sent a message now.
    pub fn ready_to_send(&self, now: Instant) -> Vec<u16> {
        let ready = |peer: &u16| self.by_gateway.get(peer).is_some_and(|peer| peer.next_send_at <= now);
        self.with_outbox.iter().copied().filter(ready).collect()
    }

    /// Puts a sample before older ones, failures before others; the last ones go where there are too many.
    pub fn queue_sample(&mut self, sample: LatencySample, retransmissions: u8) {
        let is_failure = |queued: &&QueuedSample| queued.sample.relative_latency.is_none();
        let failures = self.latency_samples.iter().filter(is_failure).count();
        let position = if sample.relative_latency.is_none() { 0 } else { failures };
        self.latency_samples.insert(position, QueuedSample { retransmissions, sample });
        self.latency_samples.truncate(MAX_SAMPLES);
    }

    /// The latency samples that the next message carries. Each goes with several messages.
    pub fn take_samples(&mut self) -> Vec<LatencySample> {
        let samples = self.latency_samples.iter().map(|queued| queued.sample).collect();
        self.latency_samples.iter_mut().for_each(|queued| queued.retransmissions -= 1);
        self.latency_samples.retain(|queued| queued.retransmissions > 0);
        samples
    }
}
