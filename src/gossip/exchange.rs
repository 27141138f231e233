//! A gateway's exchange of messages with its peers: what waits for each of them, and the form and order of
//! what comes.

use super::peer::{MessageStatus, OutboxEntry, Peer, PeerAge, PeerStart};
use super::{incarnation_of, Body, LatencySample, Message, MAX_SAMPLES, MAX_USAGE_REPORTS};
use crate::{CustomerId, Duration, GatewayId, Instant, Settings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use thiserror::Error;

/// A message of a peer that is to be handled.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ReceivedMessage {
    /// The message.
    pub message: Message,
    /// Set with the first message of a process.
    pub start: Option<PeerStart>,
    /// Whether the sender has run for longer than this gateway.
    pub sender_age: PeerAge,
}

/// Why a message of a peer is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum IgnoredMessage {
    /// It cannot be decoded.
    #[error("malformed")]
    Malformed,
    /// The sender is this gateway, or none of the fleet.
    #[error("from no peer of the fleet")]
    UnknownSender,
    /// It is from before the peer's restart, a repeat, or overtaken by a later one.
    #[error("outdated")]
    Outdated,
}

/// A latency sample on its way to the peers.
struct QueuedSample {
    /// How many messages carry it from now on, the next one included.
    copies_left: u8,
    /// The sample.
    sample: LatencySample,
}

/// The peers of a gateway, their outboxes, and the latency samples that go along with any message.
#[derive(Default)]
pub(crate) struct PeerExchange {
    /// The index of this gateway.
    own_id: GatewayId,
    /// How many gateways there are.
    gateway_count: u16,
    /// The number that tells this process from earlier ones of this gateway.
    incarnation: u32,
    /// The least time between two messages to a peer.
    send_interval: Duration,
    /// The record of each peer.
    peers: BTreeMap<u16, Peer>,
    /// Peers with something in their outbox.
    nonempty_outboxes: BTreeSet<u16>,
    /// Samples for the next messages, failures first, and the latest before older ones.
    latency_samples: VecDeque<QueuedSample>,
}

impl PeerExchange {
    /// The exchange of a gateway that started at a time, and was not heard by any peer yet.
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
    /// Why the message has to be ignored.
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

    /// The bytes of the next message to a peer, with the latest latency samples.
    pub(crate) fn next_message(&mut self, now: Instant, to: u16, body: Body) -> Vec<u8> {
        let samples = self.take_samples();
        let (incarnation, send_interval) = (self.incarnation, self.send_interval);
        let peer = self.peer_mut(to);
        peer.sent_messages = peer.sent_messages.wrapping_add(1);
        peer.next_send_at = now + send_interval;
        Message { incarnation, sequence: peer.sent_messages, samples, body }.encode()
    }

    /// Whether an answer is for this process. One for an earlier process of this gateway would count twice.
    pub(crate) fn is_for_this_process(&self, receiver_incarnation: u32) -> bool {
        receiver_incarnation == self.incarnation
    }

    /// When a message of a peer last came.
    pub(crate) fn last_received_at(&self, peer: u16) -> Option<Instant> {
        self.peers.get(&peer).and_then(|peer| peer.last_received_at)
    }

    /// Whether all other gateways are known, and started within a time of this one.
    pub(crate) fn whole_fleet_started_within(&self, window: Duration) -> bool {
        let fleet_size = usize::from(self.gateway_count.max(1));
        let started_together = |peer: &Peer| peer.started_within(window, self.incarnation);
        self.peers.len() + 1 == fleet_size && self.peers.values().all(started_together)
    }

    /// Puts a customer into a peer's outbox. A request for a grant that waits there already still goes.
    pub(crate) fn queue(&mut self, peer: u16, customer: CustomerId, entry: OutboxEntry) {
        let queued = self.peer_mut(peer).outbox.entry(customer).or_default();
        queued.copies_left = entry.copies_left;
        queued.requests_grant |= entry.requests_grant;
        self.nonempty_outboxes.insert(peer);
    }

    /// Puts a customer into a peer's outbox for one message, in place of what waits there.
    pub(crate) fn queue_single_report(&mut self, peer: u16, customer: CustomerId) {
        let entry = OutboxEntry { copies_left: 1, requests_grant: false };
        self.peer_mut(peer).outbox.insert(customer, entry);
        self.nonempty_outboxes.insert(peer);
    }

    /// Takes from a peer's outbox what the next message carries; none for a peer that has no record.
    pub(crate) fn next_batch(&mut self, peer: u16) -> Option<Vec<(CustomerId, OutboxEntry)>> {
        let record = self.peers.get_mut(&peer)?;
        let batch = record.next_batch(MAX_USAGE_REPORTS);
        if record.outbox.is_empty() {
            self.nonempty_outboxes.remove(&peer);
        }
        Some(batch)
    }

    /// Whether the interval since the last message to a peer has passed.
    pub(crate) fn may_send(&self, now: Instant, peer: u16) -> bool {
        self.peers.get(&peer).is_none_or(|peer| peer.next_send_at <= now)
    }

    /// Peers with something in their outbox that may be sent a message now.
    pub(crate) fn ready_to_send(&self, now: Instant) -> Vec<u16> {
        let is_ready = |peer: &u16| self.peers.get(peer).is_some_and(|peer| peer.next_send_at <= now);
        self.nonempty_outboxes.iter().copied().filter(is_ready).collect()
    }

    /// Puts a sample before older ones, failures before others; the last ones go where there are too many.
    pub(crate) fn queue_sample(&mut self, sample: LatencySample, copies_left: u8) {
        let is_failure = |queued: &&QueuedSample| queued.sample.objective_ratio.is_none();
        let failures = self.latency_samples.iter().filter(is_failure).count();
        let position = if sample.objective_ratio.is_none() { 0 } else { failures };
        self.latency_samples.insert(position, QueuedSample { copies_left, sample });
        self.latency_samples.truncate(MAX_SAMPLES);
    }

    /// The latency samples that the next message carries. Each goes with several messages.
    fn take_samples(&mut self) -> Vec<LatencySample> {
        let samples = self.latency_samples.iter().map(|queued| queued.sample).collect();
        self.latency_samples.iter_mut().for_each(|queued| queued.copies_left -= 1);
        self.latency_samples.retain(|queued| queued.copies_left > 0);
        samples
    }

    /// The record of a peer, a new one if there was none.
    fn peer_mut(&mut self, peer: u16) -> &mut Peer {
        self.peers.entry(peer).or_default()
    }
}

#[cfg(test)]
mod tests;
