//! Exchanges messages with peers: passes received reports, grants and samples to the policy components, and
//! sends what these queue.

use crate::gossip::{Body, LatencySample, PeerAge, PeerStart, QuotaGrant, UsageReport};
use crate::policy::quota::{ReportPurpose, FLEET_START_WINDOW};
use crate::policy::{Observation, ObservationSource};
use crate::{Action, CustomerId, Gateway, GatewayId};

impl Gateway {
    /// Decodes a message from a peer and handles its samples and its usage reports or quota grants. Messages
    /// that are malformed, outdated or not from a peer are ignored.
    pub(crate) fn on_peer_message(&mut self, from: GatewayId, bytes: &[u8], actions: &mut Vec<Action>) {
        let received = match self.peers.receive(self.now, from, bytes) {
            Ok(received) => received,
            Err(reason) => {
                tracing::debug!(target: "policy", from = from.0, ?reason, "peer message ignored");
                return;
            }
        };
        if let Some(start) = received.start {
            self.on_peer_start(from.0, start);
        }
        if self.quota.withholds_tokens() && self.peers.whole_fleet_started_within(FLEET_START_WINDOW) {
            self.quota.release_withheld_tokens();
        }
        let message = received.message;
        self.record_peer_samples(&message.samples);
        match message.body {
            Body::UsageReports(reports) => {
                let grants = self.on_usage_reports(from.0, received.sender_age, &reports);
                if !grants.is_empty() {
                    let body = Body::QuotaGrants { receiver_incarnation: message.incarnation, grants };
                    self.send_message(from.0, body, actions);
                }
            }
            Body::QuotaGrants { receiver_incarnation, grants } => {
                if self.peers.is_for_this_process(receiver_incarnation) {
                    for grant in &grants {
                        self.on_quota_grant(from.0, grant, actions);
                    }
                }
            }
        }
    }

    /// Handles the first message of a peer's process: discards the reports of an earlier process, and queues
    /// one report of each customer with recent usage whose quota the peer owns.
    fn on_peer_start(&mut self, peer: u16, start: PeerStart) {
        let unreported = self.quota.on_peer_start(self.now, peer, start);
        tracing::debug!(
            target: "policy", peer, ?start, customers = unreported.len(),
            "first message of a peer process received"
        );
        for id in unreported {
            self.peers.queue_single_report(peer, id);
        }
    }

    /// Records a peer's latency samples, except those of backends that are not ready here and of invalid
    /// classes.
    fn record_peer_samples(&mut self, samples: &[LatencySample]) {
        for sample in samples {
            let class = usize::from(sample.class);
            let Some(backend) = self.backends.by_tag(sample.backend_tag) else { continue };
            let Some(settings) = self.settings.classes.get(class) else { continue };
            let objective_micros = settings.latency_objective.as_micros_f64();
            let latency_micros = sample.objective_ratio.map(|ratio| ratio * objective_micros);
            let source = ObservationSource::Peer;
            self.record_peer_observation(&Observation { backend, class, latency_micros, source });
        }
    }

    /// Records the usage reports of a peer, and returns the grants that answer them.
    fn on_usage_reports(&mut self, from: u16, age: PeerAge, reports: &[UsageReport]) -> Vec<QuotaGrant> {
        let now = self.now;
        reports.iter().filter_map(|report| self.quota.on_usage_report(now, from, age, report)).collect()
    }

    /// Applies a quota owner's answer, and decides on the requests that wait for it.
    fn on_quota_grant(&mut self, from: u16, grant: &QuotaGrant, actions: &mut Vec<Action>) {
        let Some(answered) = self.quota.on_grant(self.now, from, grant) else { return };
        for id in answered.waiting {
            self.decide_admission(id, answered.answers, actions);
        }
    }

    /// Queues a report of a customer's usage for its quota owners, with or without a grant request.
    pub(crate) fn queue_usage_report(
        &mut self,
        id: CustomerId,
        purpose: ReportPurpose,
        actions: &mut Vec<Action>,
    ) {
        if !self.settings.limits.peer_messages {
            return;
        }
        let at_once = self.quota.ownership().sends_grant_requests_at_once();
        for recipient in self.quota.report_recipients(id, purpose) {
            self.peers.queue(recipient.gateway, id, recipient.entry);
            if !recipient.entry.requests_grant {
                continue;
            }
            if at_once || self.peers.may_send(self.now, recipient.gateway) {
                self.flush_outbox(recipient.gateway, actions);
            }
        }
    }

    /// Sends the queued usage reports to each peer whose send interval has passed.
    pub(crate) fn flush_ready_outboxes(&mut self, actions: &mut Vec<Action>) {
        let ready = self.peers.ready_to_send(self.now);
        for peer in ready {
            self.flush_outbox(peer, actions);
        }
    }

    /// Sends a peer one message with usage reports from its outbox.
    fn flush_outbox(&mut self, to: u16, actions: &mut Vec<Action>) {
        let Some(batch) = self.peers.next_batch(to) else { return };
        let now = self.now;
        let reports = batch.into_iter().filter_map(|(id, entry)| self.quota.usage_report(now, to, id, entry));
        let body = Body::UsageReports(reports.collect());
        self.send_message(to, body, actions);
    }

    /// Encodes a message with this body and appends the action that sends it.
    fn send_message(&mut self, to: u16, body: Body, actions: &mut Vec<Action>) {
        let bytes = self.peers.next_message(self.now, to, body);
        actions.push(Action::SendToPeer { to: Some(GatewayId(to)), bytes });
    }

    /// Removes expired records of customers, and queues a report of each customer under a concurrency quota
    /// with attempts in flight, in case an earlier report was lost.
    pub(crate) fn sweep_customers(&mut self, actions: &mut Vec<Action>) {
        for id in self.quota.sweep(self.now) {
            self.queue_usage_report(id, ReportPurpose::Usage, actions);
        }
    }
}
