//! What requests and reports say of a customer's plan and gateways, and which of it is believed.

use super::{Customer, GatewaySet, QuotaManager, GRANTER_COUNT};
use crate::policy::load_shedding::CustomerActivity;
use crate::{CustomerId, Duration, Instant, Request};
use std::collections::btree_map::Entry;

/// Requests under another plan or set of gateways that a customer's record outlasts.
const MAX_IDENTITY_CONFIDENCE: u8 = 8;
/// A customer unseen for so long is as good as unknown.
pub(super) const CUSTOMER_IDLE_TIME: Duration = Duration::from_secs(10);

/// What one request or report says of its customer.
#[derive(Clone, Copy)]
pub(super) struct IdentityClaim {
    /// Index of the plan.
    pub plan: usize,
    /// The gateways that serve the customer, in whole gateways.
    pub gateway_set: GatewaySet,
}

/// The usage that a new record of a customer begins with.
#[derive(Clone, Copy)]
pub(super) struct InitialUsage {
    /// Units in the quota's token bucket.
    pub tokens: f64,
    /// Units a second through all other gateways.
    pub remote_rate: f64,
}

/// What a gateway knows of the grants for a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantStatus {
    /// Whether this gateway owns the customer's quota, and needs no grant.
    pub is_quota_owner: bool,
    /// The time since an owner's last answer, a grant or a refusal; none where none came.
    pub answer_age: Option<Duration>,
    /// Whether another gateway could grant units of the hard limit.
    pub has_other_granter: bool,
}

/// What is known of the customer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ObservedCustomer {
    /// Index of the plan by which the request is judged.
    pub plan: u16,
    /// Whether the customer was seen of late.
    pub activity: CustomerActivity,
    /// What is known of the grants for it.
    pub grant: GrantStatus,
}

impl QuotaManager {
    /// Records which customer a request comes from. The request has to name a plan that there is.
    pub(crate) fn observe_request(&mut self, now: Instant, request: &Request) -> ObservedCustomer {
        let plan = &self.settings.plans[usize::from(request.plan)];
        let set = GatewaySet::from_request(request, self.settings.gateway_count);
        // This gateway's share of the burst, or one request, and what was refilled since the start.
        let share = (plan.burst / set.size).max(request.units);
        let refilled = plan.rate * self.seconds_of_known_usage(now);
        let claim = IdentityClaim {
            plan: usize::from(request.plan),
            gateway_set: set.in_whole_gateways(self.settings.gateway_count),
        };
        let initial = InitialUsage {
            tokens: self.settings.ownership.initial_tokens(plan, share + refilled),
            remote_rate: plan.rate * (1.0 - 1.0 / set.size),
        };
        let own_id = self.settings.own_id;
        let customer = self.record_identity(now, request.customer, &claim, &initial);
        let is_inactive =
            customer.last_seen_at.is_none_or(|seen_at| now.duration_since(seen_at) > CUSTOMER_IDLE_TIME);
        customer.last_seen_at = Some(now);
        let activity = if is_inactive { CustomerActivity::Inactive } else { CustomerActivity::Active };
        let grant = GrantStatus {
            is_quota_owner: customer.role.is_owner(),
            answer_age: customer.answered_at.map(|answered_at| now.duration_since(answered_at)),
            has_other_granter: customer.granters != [own_id; GRANTER_COUNT],
        };
        ObservedCustomer { plan: customer.plan as u16, activity, grant }
    }

    /// Records the plan and the gateways that a request or a report names for a customer, and returns its
    /// record; a new one begins with the initial usage.
    ///
    /// Whoever sends a request may name any plan. The record follows what most requests and reports say, so
    /// that neither the first nor a single one decides.
    pub(super) fn record_identity(
        &mut self,
        now: Instant,
        id: CustomerId,
        claim: &IdentityClaim,
        initial: &InitialUsage,
    ) -> &mut Customer {
        let customer = match self.customers.entry(id) {
            Entry::Vacant(vacant) => {
                return vacant.insert(self.settings.new_customer(now, id, claim, initial, f64::MAX));
            }
            Entry::Occupied(occupied) => occupied.into_mut(),
        };
        if customer.matches(claim) {
            customer.identity_confidence = (customer.identity_confidence + 1).min(MAX_IDENTITY_CONFIDENCE);
        } else if customer.identity_confidence > 0 {
            customer.identity_confidence -= 1;
        } else {
            tracing::debug!(
                target: "policy", customer = id.0, from_plan = customer.plan, to_plan = claim.plan,
                from_set_start = customer.gateway_set.start, from_set_size = customer.gateway_set.size,
                to_set_start = claim.gateway_set.start, to_set_size = claim.gateway_set.size,
                "identity replaced"
            );
            // The bucket must not begin full again each time that somebody makes the record change.
            let max_hard_limit_tokens = customer.hard_limit.tokens;
            let new = self.settings.new_customer(now, id, claim, initial, max_hard_limit_tokens);
            customer.replace_identity(new);
        }
        customer
    }
}

#[cfg(test)]
mod tests;
