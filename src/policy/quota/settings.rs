//! What the rules of quotas are given when a gateway starts.

use super::{Customer, IdentityClaim, InitialUsage, OwnerAssignment, QuotaOwnership};
use crate::{CustomerId, Instant, Plan, Settings};

/// The plans, and this gateway's place in the fleet.
#[derive(Default)]
pub(super) struct QuotaSettings {
    /// The index of this gateway.
    pub own_id: u16,
    /// How many gateways there are, as the settings say.
    pub gateway_count: u16,
    /// Messages that a gateway takes in, in a second.
    pub peer_messages_per_second: f64,
    /// The plans, by index.
    pub plans: Vec<Plan>,
    /// Which gateways own the quota of a customer.
    pub ownership: QuotaOwnership,
    /// When this gateway started.
    pub started_at: Instant,
}

impl QuotaSettings {
    /// Takes from the settings what the rules of quotas need.
    pub(super) fn new(settings: &Settings, started_at: Instant) -> QuotaSettings {
        let fleet_size = u64::from(settings.gateway_count.max(1));
        QuotaSettings {
            own_id: settings.own_id.0,
            gateway_count: settings.gateway_count,
            peer_messages_per_second: settings.limits.peer_messages_per_second,
            plans: settings.plans.clone(),
            ownership: QuotaOwnership::new(&settings.limits, fleet_size),
            started_at,
        }
    }

    /// A record with its owners, for a customer of which nothing else is known. The bucket of its hard limit
    /// holds no more than `max_hard_limit_tokens`.
    pub(super) fn new_customer(
        &self,
        now: Instant,
        id: CustomerId,
        claim: &IdentityClaim,
        initial: &InitialUsage,
        max_hard_limit_tokens: f64,
    ) -> Customer {
        let plan = &self.plans[claim.plan];
        let assignment = OwnerAssignment::new(self, id, claim.gateway_set, plan);
        let mut customer = Customer::new(now, claim, initial, plan, assignment);
        customer.hard_limit.fill_since_start(
            plan,
            now.duration_since(self.started_at),
            max_hard_limit_tokens,
        );
        customer
    }
}
