//! The settings that the quota rules use, fixed at the gateway's start.

use super::{Customer, IdentityClaim, InitialUsage, OwnerAssignment, QuotaOwnership};
use crate::{CustomerId, Instant, Plan, Settings};

/// The plans, and the gateway's position in the fleet.
#[derive(Default)]
pub(super) struct QuotaSettings {
    /// Index of this gateway.
    pub own_id: u16,
    /// Number of gateways in the fleet.
    pub gateway_count: u16,
    /// Messages per second that a gateway can receive from its peers.
    pub peer_messages_per_second: f64,
    pub plans: Vec<Plan>,
    /// The mode in which the fleet assigns quota owners.
    pub ownership: QuotaOwnership,
    /// Start time of this gateway.
    pub started_at: Instant,
}

impl QuotaSettings {
    /// Selects the settings that the quota rules use.
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

    /// Creates a customer's record and assigns its owners. The bucket of its hard limit holds at most
    /// `max_hard_limit_tokens`.
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
