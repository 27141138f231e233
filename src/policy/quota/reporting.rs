//! The reporting side of usage reports: to whom a customer's usage is reported, when, and what a report says.

use super::QuotaManager;
use crate::gossip::{OutboxEntry, PeerStart, UsageReport};
use crate::state::unit_draw;
use crate::{CustomerId, Duration, Instant};

/// How long after a grant a gateway reports the level of a bucket.
const LEVEL_FRESHNESS: Duration = Duration::from_secs(1);
/// A customer seen within this time is reported to an owner that starts.
const ACTIVE_CUSTOMER_TIME: Duration = Duration::from_secs(2);
/// The draw up to which the second of two granters is asked for units of the hard limit.
const SECOND_GRANTER_PROBABILITY: f64 = 0.5;

/// Why a customer's usage is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportPurpose {
    /// The owners are to know of it.
    Usage,
    /// A grant is requested with it.
    GrantRequest,
}

/// How a request came to be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecisionPoint {
    /// As it came, by what was known.
    Arrival,
    /// After it waited for a grant.
    GrantWait,
}

/// A report to one owner.
#[derive(Clone, Copy)]
pub(crate) struct ReportRecipient {
    /// The owner.
    pub gateway: u16,
    /// What its outbox is to hold.
    pub entry: OutboxEntry,
}

impl QuotaManager {
    /// The owners that are to be told of a customer's usage. A grant is requested of those that are
    /// granters.
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

    /// The report of a customer's usage to a peer that owns its quota.
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
        // One of the two is drawn to grant units of the hard limit: two grants would waste one.
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

    /// What is reported of a request that was admitted, if anything.
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

    /// What is reported of a request that was rejected, if anything: an owner that has charged it is told
    /// that the units were not used.
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

    /// Forgets what a peer reported before it started, and returns the customers to report to it: it counts
    /// its usage anew, and knows nothing as an owner.
    pub(crate) fn on_peer_start(&mut self, now: Instant, peer: u16, start: PeerStart) -> Vec<CustomerId> {
        let ownership = self.settings.ownership;
        let reports_again = start == PeerStart::Restarted || ownership.reports_to_new_peers();
        let mut to_report = Vec::new();
        for (id, customer) in &mut self.customers {
            customer.remote.remove(peer);
            let is_active = customer
                .last_seen_at
                .is_some_and(|seen_at| now.duration_since(seen_at) < ACTIVE_CUSTOMER_TIME);
            if reports_again && is_active && customer.quota_owners.contains(&peer) {
                to_report.push(*id);
            }
        }
        to_report
    }
}

#[cfg(test)]
mod tests;
