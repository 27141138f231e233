//! A gateway's exchange of messages with its peers: what waits for a peer is sent, what comes is checked for
//! its form and order, and latency samples are recorded.

use super::{incarnation_of, Body, LatencySample, Message, QuotaGrant};
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
            let objective = settings.latency_objective.as_micros_f64();
            let latency = sample.relative_latency.map(|relative| relative * objective);
            self.record_observation(Observation { backend, class, latency, source: Source::Peer });
        }
    }

    /// Handles a message from a peer.
    pub(crate) fn on_peer_message(&mut self, from: GatewayId, bytes: &[u8], actions: &mut Vec<Action>) {
        let Some((message, receipt)) = self.receive_message(from, bytes) else { return };
        if let Receipt::NewIncarnation { restarted } = receipt {
            self.on_new_incarnation(from.0, restarted);
        }
        let own_incarnation = incarnation_of(self.started_at);
        self.release_withheld_tokens(own_incarnation);
        self.record_peer_samples(&message.samples);
        match message.body {
            Body::UsageReports(reports) => {
                let is_older = self.peers.entry(from.0).started_before(own_incarnation);
                let grants =
                    reports.iter().filter_map(|report| self.on_usage_report(from.0, is_older, report));
                let grants: Vec<QuotaGrant> = grants.collect();
                if !grants.is_empty() {
                    let body = Body::QuotaGrants { receiver_incarnation: message.incarnation, grants };
                    self.send_message(from.0, body, actions);
                }
            }
            // Grants for an earlier incarnation of this gateway would count twice.
            Body::QuotaGrants { receiver_incarnation, .. } if receiver_incarnation != own_incarnation => {}
            Body::QuotaGrants { grants, .. } => {
                grants.iter().for_each(|grant| self.on_quota_grant(from.0, grant, actions));
            }
        }
    }
}
