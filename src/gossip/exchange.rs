//! A gateway's exchange of messages with its peers: what waits for a peer is sent, what comes is checked for
//! its form and order, and latency samples are recorded.

use super::{incarnation_of, Body, LatencySample, Message};
use crate::state::{Observation, Receipt, Source};
use crate::{Action, Gateway, GatewayId};

impl Gateway {
    /// Sends a peer a message, with the latest latency samples.
    pub(crate) fn send_message(&mut self, to: u16, body: Body, actions: &mut Vec<Action>) {
        let samples = self.peers.take_samples();
        let peer = self.peers.entry(to);
        peer.sent_messages = peer.sent_messages.wrapping_add(1);
        peer.next_send_at = self.now + self.quota.report_interval;
        let (incarnation, sequence) = (incarnation_of(self.started_at), peer.sent_messages);
        let bytes = Message { incarnation, sequence, samples, body }.encode();
        actions.push(Action::SendToPeer { to: Some(GatewayId(to)), bytes });
    }

    /// Sends a peer the usage reports that wait for it, as many as a message holds.
    pub(crate) fn flush_outbox(&mut self, to: u16, actions: &mut Vec<Action>) {
        let Some(batch) = self.peers.next_batch(to) else { return };
        let reports = batch.into_iter().filter_map(|(id, entry)| self.report_to(to, id, entry)).collect();
        self.send_message(to, Body::UsageReports(reports), actions);
    }

    /// Decodes a peer's message; none if it is malformed, outdated, or not from another gateway of the fleet.
    pub(crate) fn receive_message(&mut self, from: GatewayId, bytes: &[u8]) -> Option<(Message, Receipt)> {
        let message = Message::decode(bytes)?;
        if from == self.settings.own_id || from.0 >= self.settings.gateway_count {
            return None;
        }
        let receipt = self.peers.entry(from.0).receive(message.incarnation, message.sequence, self.now);
        (receipt != Receipt::Outdated).then_some((message, receipt))
    }

    /// Records how a peer's attempts went, where the backend and the class are known here.
    pub(crate) fn record_peer_samples(&mut self, samples: &[LatencySample]) {
        for sample in samples {
            let class = usize::from(sample.class);
            let Some(backend) = self.backends.by_tag(sample.backend_tag) else { continue };
            let Some(settings) = self.settings.classes.get(class) else { continue };
            let objective = settings.latency_objective as f64;
            let latency = sample.relative_latency.map(|relative| relative * objective);
            self.record_observation(Observation { backend, class, latency, source: Source::Peer });
        }
    }
}
