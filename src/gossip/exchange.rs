//! The exchange of messages with peers: outboxes, encoding, and the order and incarnation of received
//! messages.

use super::peer::{MessageStatus, OutboxEntry, Peer, PeerAge, PeerStart};
use super::{incarnation_of, Body, LatencySample, Message, MAX_SAMPLES, MAX_USAGE_REPORTS};
use crate::{CustomerId, Duration, GatewayId, Instant, Settings};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use thiserror::Error;

/// A valid, current message of a peer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ReceivedMessage {
    pub message: Message,
    /// Set with the first message of a peer's process.
    pub start: Option<PeerStart>,
    /// Age of the sender's process compared with this one.
    pub sender_age: PeerAge,
}

/// The reason why a received message is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum IgnoredMessage {
    /// The bytes cannot be decoded.
    #[error("message is malformed")]
    Malformed,
    /// The sender is this gateway, or not a gateway of the fleet.
    #[error("sender is not a peer of this gateway")]
    UnknownSender,
    /// The message was sent before the peer's restart, is a duplicate, or was overtaken by a later one.
    #[error("message is outdated")]
    Outdated,
}

/// A latency sample queued for the next messages to any peers.
struct QueuedSample {
    /// Number of further messages that include it.
    copies_left: u8,
    sample: LatencySample,
}

/// The records of a gateway's peers with their outboxes, and the latency samples for the next messages.
#[derive(Default)]
pub(crate) struct PeerExchange {
    own_id: GatewayId,
    /// Number of gateways in the fleet, including this one.
    gateway_count: u16,
    /// Identifies this process among the successive processes of this gateway, see [`incarnation_of`].
    incarnation: u32,
    /// Minimum time between two messages to a peer.
    send_interval: Duration,
    peers: BTreeMap<u16, Peer>,
    /// Peers whose outbox is not empty.
    nonempty_outboxes: BTreeSet<u16>,
    /// Number of entries in all outboxes together.
    queued_reports: usize,
    /// Maximum of `queued_reports`, or `None` for no limit.
    max_queued_reports: Option<usize>,
    /// Samples for the next messages: failures before other samples, and within each group the latest first.
    latency_samples: VecDeque<QueuedSample>,
}

impl PeerExchange {
    /// Creates the exchange of a gateway that starts at `started_at`.
    pub(crate) fn new(settings: &Settings, started_at: Instant, send_interval: Duration) -> PeerExchange {
        PeerExchange {
            own_id: settings.own_id,
            gateway_count: settings.gateway_count,
            incarnation: incarnation_of(started_at),
            send_interval,
            ..PeerExchange::default()
        }
    }

    /// Decodes a message and records its sender's incarnation and sequence number.
    ///
    /// # Errors
    ///
    /// Returns the reason why the message has to be ignored.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        from: GatewayId,
        bytes: &[u8],
    ) -> Result<ReceivedMessage, IgnoredMessage> {
        let message = Message::decode(bytes).ok_or(IgnoredMessage::Malformed)?;
        if from == self.own_id || from.0 >= self.gateway_count {
            return Err(IgnoredMessage::UnknownSender);
        }
        let own_incarnation = self.incarnation;
        let peer = self.peer_mut(from.0);
        let start = match peer.receive(message.incarnation, message.sequence, now) {
            MessageStatus::Outdated => return Err(IgnoredMessage::Outdated),
            MessageStatus::Current => None,
            MessageStatus::NewIncarnation(start) => Some(start),
        };
        let sender_age = peer.age(own_incarnation);
        Ok(ReceivedMessage { message, start, sender_age })
    }

    /// Encodes the next message to a peer, with the queued latency samples.
    pub(crate) fn next_message(&mut self, now: Instant, to: u16, body: Body) -> Vec<u8> {
        let samples = self.take_samples();
        let (incarnation, send_interval) = (self.incarnation, self.send_interval);
        let peer = self.peer_mut(to);
        peer.sent_messages = peer.sent_messages.wrapping_add(1);
        peer.next_send_at = now + send_interval;
        Message { incarnation, sequence: peer.sent_messages, samples, body }.encode()
    }

    /// Returns whether quota grants for this incarnation are addressed to this process. Grants for an earlier
    /// process of this gateway would be counted twice.
    pub(crate) fn is_for_this_process(&self, receiver_incarnation: u32) -> bool {
        receiver_incarnation == self.incarnation
    }

    /// Returns when the last message of a peer was received.
    pub(crate) fn last_received_at(&self, peer: u16) -> Option<Instant> {
        self.peers.get(&peer).and_then(|peer| peer.last_received_at)
    }

    /// Returns whether a message of every other gateway was received, and all started within `window` of this
    /// one.
    pub(crate) fn whole_fleet_started_within(&self, window: Duration) -> bool {
        let fleet_size = usize::from(self.gateway_count.max(1));
        let started_together = |peer: &Peer| peer.started_within(window, self.incarnation);
        self.peers.len() + 1 == fleet_size && self.peers.values().all(started_together)
    }

    /// Sets the maximum number of entries in all outboxes together.
    pub(crate) fn set_max_queued_reports(&mut self, max_queued_reports: usize) {
        self.max_queued_reports = Some(max_queued_reports);
    }

    /// Adds a customer to a peer's outbox. A grant request that is already queued there is kept.
    pub(crate) fn queue(&mut self, peer: u16, customer: CustomerId, entry: OutboxEntry) {
        let requests_grant = entry.requests_grant || self.is_grant_request_queued(peer, customer);
        self.queue_entry(peer, customer, OutboxEntry { requests_grant, ..entry });
    }

    /// Returns whether a grant request for a customer is in a peer's outbox.
    fn is_grant_request_queued(&self, peer: u16, customer: CustomerId) -> bool {
        let queued = self.peers.get(&peer).and_then(|peer| peer.outbox.get(&customer));
        queued.is_some_and(|entry| entry.requests_grant)
    }

    /// Adds an entry to a peer's outbox, in place of one for the same customer. At the limit, a new entry is
    /// dropped like a message that is lost on the way.
    fn queue_entry(&mut self, peer: u16, customer: CustomerId, entry: OutboxEntry) {
        let is_full = self.max_queued_reports.is_some_and(|max| self.queued_reports >= max);
        match self.peer_mut(peer).outbox.entry(customer) {
            Entry::Occupied(mut queued) => *queued.get_mut() = entry,
            Entry::Vacant(_) if is_full => {
                tracing::debug!(target: "policy", peer, customer = customer.0, "usage report dropped: too many queued");
                return;
            }
            Entry::Vacant(vacant) => {
                vacant.insert(entry);
                self.queued_reports += 1;
            }
        }
        self.nonempty_outboxes.insert(peer);
    }

    /// Adds a customer to a peer's outbox for one message, in place of an entry that is already queued.
    pub(crate) fn queue_single_report(&mut self, peer: u16, customer: CustomerId) {
        let entry = OutboxEntry { copies_left: 1, requests_grant: false };
        self.queue_entry(peer, customer, entry);
    }

    /// Takes the entries of the next message from a peer's outbox. Returns `None` for a peer without a
    /// record.
    pub(crate) fn next_batch(&mut self, peer: u16) -> Option<Vec<(CustomerId, OutboxEntry)>> {
        let record = self.peers.get_mut(&peer)?;
        let queued_before = record.outbox.len();
        let batch = record.next_batch(MAX_USAGE_REPORTS);
        self.queued_reports -= queued_before - record.outbox.len();
        if record.outbox.is_empty() {
            self.nonempty_outboxes.remove(&peer);
        }
        Some(batch)
    }

    /// Returns whether the send interval since the last message to a peer has passed.
    pub(crate) fn may_send(&self, now: Instant, peer: u16) -> bool {
        self.peers.get(&peer).is_none_or(|peer| peer.next_send_at <= now)
    }

    /// Returns the peers with a non-empty outbox whose send interval has passed.
    pub(crate) fn ready_to_send(&self, now: Instant) -> Vec<u16> {
        let is_ready = |peer: &u16| self.peers.get(peer).is_some_and(|peer| peer.next_send_at <= now);
        self.nonempty_outboxes.iter().copied().filter(is_ready).collect()
    }

    /// Queues a sample before older ones, and failures before other samples. The last ones beyond
    /// [`MAX_SAMPLES`] are dropped.
    pub(crate) fn queue_sample(&mut self, sample: LatencySample, copies_left: u8) {
        let is_failure = |queued: &&QueuedSample| queued.sample.objective_ratio.is_none();
        let failures = self.latency_samples.iter().filter(is_failure).count();
        let position = if sample.objective_ratio.is_none() { 0 } else { failures };
        self.latency_samples.insert(position, QueuedSample { copies_left, sample });
        self.latency_samples.truncate(MAX_SAMPLES);
    }

    /// Returns the latency samples for the next message, and removes those without copies left.
    fn take_samples(&mut self) -> Vec<LatencySample> {
        let samples = self.latency_samples.iter().map(|queued| queued.sample).collect();
        self.latency_samples.iter_mut().for_each(|queued| queued.copies_left -= 1);
        self.latency_samples.retain(|queued| queued.copies_left > 0);
        samples
    }

    /// Returns the record of a peer, creating it if necessary.
    fn peer_mut(&mut self, peer: u16) -> &mut Peer {
        self.peers.entry(peer).or_default()
    }
}

#[cfg(test)]
mod tests;
