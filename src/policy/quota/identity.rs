//! The plan and gateway set in a customer's record, as most requests and reports state them.

use super::{Customer, GatewaySet, QuotaManager, GRANTER_COUNT};
use crate::policy::load_shedding::CustomerActivity;
use crate::{CustomerId, Duration, Instant, Request};
use std::collections::btree_map::Entry;

/// Maximum value of [`Customer::identity_confidence`]: up to this number of consecutive requests or reports
/// with another plan or gateway set leave a customer's record unchanged.
const MAX_IDENTITY_CONFIDENCE: u8 = 8;
/// Time without a request or report after which a customer counts as inactive.
pub(super) const CUSTOMER_IDLE_TIME: Duration = Duration::from_secs(10);

/// The plan and gateway set that one request or report states for its customer.
#[derive(Clone, Copy)]
pub(super) struct IdentityClaim {
    /// Index into the plans of the settings.
    pub plan: usize,
    /// The gateways that receive the customer's requests; their number is whole.
    pub gateway_set: GatewaySet,
}

/// The usage in a customer's new record.
#[derive(Clone, Copy)]
pub(super) struct InitialUsage {
    /// Units in the quota's token bucket.
    pub tokens: f64,
    /// Units per second through all other gateways.
    pub remote_rate: f64,
}

/// State of the grants for a customer at one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantStatus {
    /// Whether this gateway owns the customer's quota, and needs no grant.
    pub is_quota_owner: bool,
    /// Time since the last answer of an owner, a grant or a refusal; `None` before the first answer.
    pub answer_age: Option<Duration>,
    /// Whether another gateway can grant units of the hard limit.
    pub has_other_granter: bool,
}

/// The customer of a request, according to its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ObservedCustomer {
    /// Index of the plan whose limits apply to the request.
    pub plan: u16,
    /// Whether a request or report of the customer was received within [`CUSTOMER_IDLE_TIME`].
    pub activity: CustomerActivity,
    pub grant: GrantStatus,
}

impl QuotaManager {
    /// Updates or creates the record of a request's customer, and returns its state for the admission of the
    /// request. The plan of the request must exist.
    pub(crate) fn observe_request(&mut self, now: Instant, request: &Request) -> ObservedCustomer {
        let plan = &self.settings.plans[usize::from(request.plan)];
        let set = GatewaySet::from_request(request, self.settings.gateway_count);
        // This gateway's share of the burst, or one request, plus the tokens refilled since the start.
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

    /// Records the plan and gateway set that a request or report states for a customer, and returns the
    /// customer's record. A new record begins with the `initial` usage.
    ///
    /// The sender of a request may state any plan. The record follows the majority of requests and reports,
    /// so that a single one, even the first, does not determine it.
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
                "plan and gateway set of customer replaced"
            );
            // Limits the new bucket to the old level: if each change filled it, requests that alternate
            // between plans could exceed the hard limit.
            let max_hard_limit_tokens = customer.hard_limit.tokens;
            let new = self.settings.new_customer(now, id, claim, initial, max_hard_limit_tokens);
            customer.replace_identity(new);
        }
        customer
    }
}

#[cfg(test)]
mod tests;
