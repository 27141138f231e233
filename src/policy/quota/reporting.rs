//! The sender's side of usage reports: their recipients, occasions and content.

use super::QuotaManager;
use crate::gossip::{OutboxEntry, PeerStart, UsageReport};
use crate::state::unit_draw;
use crate::{CustomerId, Duration, Instant};

/// Age of an owner's last answer up to which a reporter includes the level of a bucket in its reports.
const LEVEL_FRESHNESS: Duration = Duration::from_secs(1);
/// Time since a customer's last request or report within which its usage is reported to a starting owner.
const RECENT_USAGE_TIME: Duration = Duration::from_secs(2);
/// Probability that units of the hard limit are requested from the second of two granters.
const SECOND_GRANTER_PROBABILITY: f64 = 0.5;

/// The reason for a usage report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportPurpose {
    /// Updates the owners' records.
    Usage,
    /// Requests a grant along with the update.
    GrantRequest,
}

/// The point at which a request is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecisionPoint {
    /// On arrival, by the customer's record.
    Arrival,
    /// After a wait for a grant.
    GrantWait,
}

/// An owner to which a usage report is sent.
#[derive(Clone, Copy)]
pub(crate) struct ReportRecipient {
    /// Index of the owner.
    pub gateway: u16,
    /// The entry to add to the owner's outbox.
    pub entry: OutboxEntry,
}

impl QuotaManager {
    /// Returns the owners to which a customer's usage is reported. Only reports to granters request a grant.
    pub(crate) fn report_recipients(&self, id: CustomerId, purpose: ReportPurpose) -> Vec<ReportRecipient> {
        let Some(customer) = self.customers.get(&id) else { return Vec::new() };
        let copies_left = self.settings.ownership.report_copies();
        let others = customer.quota_owners.iter().copied().filter(|owner| *owner != self.settings.own_id);
        let recipient = |gateway| {
            let can_grant = customer.granters.contains(&gateway);
            let requests_grant = purpose == ReportPurpose::GrantRequest && can_grant;
            ReportRecipient { gateway, entry: OutboxEntry { copies_left, requests_grant } }
        };
        let mut recipients = Vec::with_capacity(customer.quota_owners.len());
        recipients.extend(others.map(recipient));
        recipients
    }

    /// Returns the report of a customer's usage to an owner of its quota; `None` for an unknown customer.
    pub(crate) fn usage_report(
        &mut self,
        now: Instant,
        to: u16,
        id: CustomerId,
        entry: OutboxEntry,
    ) -> Option<UsageReport> {
        let own_id = self.settings.own_id;
        let (customer, plan) = self.refill(id, now)?;
        let was_answered_recently =
            customer.answered_at.is_some_and(|answered_at| now.duration_since(answered_at) < LEVEL_FRESHNESS);
        let is_level_known = customer.role.is_owner() || was_answered_recently;
        // Units of the hard limit are requested from one granter, drawn at random: of two grants one would
        // be wasted.
        let draw = unit_draw(now.as_micros() ^ id.0);
        let drawn_granter = customer.granters[usize::from(draw < SECOND_GRANTER_PROBABILITY)];
        let is_granter = drawn_granter == to || customer.granters.contains(&own_id);
        let needs_hard_limit = entry.requests_grant && customer.grant_request.needs_hard_limit;
        Some(UsageReport {
            requests_grant: entry.requests_grant,
            needs_hard_limit_grant: needs_hard_limit && is_granter,
            ..customer.usage_report(id, is_level_known.then_some(plan.burst))
        })
    }

    /// Returns the purpose of the report that follows an admitted request; `None` if the owner has charged
    /// the units and no other owner needs a report.
    pub(crate) fn report_after_admission(
        &mut self,
        id: CustomerId,
        point: DecisionPoint,
    ) -> Option<ReportPurpose> {
        let ownership = self.settings.ownership;
        let customer = self.customers.get_mut(&id)?;
        let charged_by_owner = std::mem::take(&mut customer.grant_request.charged_by_owner);
        let is_known_to_owner = charged_by_owner && point == DecisionPoint::GrantWait;
        if is_known_to_owner && !ownership.reports_granted_units() {
            return None;
        }
        let needs_new_grant = point == DecisionPoint::Arrival && !customer.role.is_owner();
        if needs_new_grant && ownership.renews_grants_after_admission() {
            Some(ReportPurpose::GrantRequest)
        } else {
            Some(ReportPurpose::Usage)
        }
    }

    /// Returns the purpose of the report that follows a rejected request, if any. The report informs an owner
    /// that has charged the units that they were not used.
    pub(crate) fn report_after_rejection(
        &mut self,
        id: CustomerId,
        point: DecisionPoint,
    ) -> Option<ReportPurpose> {
        let customer = self.customers.get_mut(&id);
        let charged_by_owner =
            customer.is_some_and(|customer| std::mem::take(&mut customer.grant_request.charged_by_owner));
        let is_charged = charged_by_owner || self.settings.ownership.reports_granted_units();
        (point == DecisionPoint::GrantWait && is_charged).then_some(ReportPurpose::Usage)
    }

    /// Removes the usage that a peer reported before its start, since its totals restart at zero. Returns the
    /// customers to report to the peer, which as an owner has no records of their usage.
    pub(crate) fn on_peer_start(&mut self, now: Instant, peer: u16, start: PeerStart) -> Vec<CustomerId> {
        let ownership = self.settings.ownership;
        let reports_again = start == PeerStart::Restarted || ownership.reports_to_new_peers();
        let mut to_report = Vec::new();
        for (id, customer) in &mut self.customers {
            customer.remote.remove(peer);
            let has_recent_usage =
                customer.last_seen_at.is_some_and(|seen_at| now.duration_since(seen_at) < RECENT_USAGE_TIME);
            if reports_again && has_recent_usage && customer.quota_owners.contains(&peer) {
                to_report.push(*id);
            }
        }
        to_report
    }
}

#[cfg(test)]
mod tests;
