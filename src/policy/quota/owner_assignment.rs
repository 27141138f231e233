//! The assignment of a customer's quota, and of its hard limit, to gateways.

use super::{GatewaySet, QuotaSettings, Role};
use crate::state::unit_draw;
use crate::{CustomerId, Plan};

/// Part of a hard limit that two gateways hold and grant on request. The rest is spread evenly over all
/// gateways of the customer, for when no owner answers.
const POOLED_HARD_LIMIT_FRACTION: f64 = 0.5;

/// Gateways that grant a customer's quota and hold most of its hard limit: two, so that one may be down.
pub(super) const GRANTER_COUNT: usize = 2;

/// Who owns the quota of a customer. All gateways come to the same result, each by itself.
pub(super) struct OwnerAssignment {
    /// The gateways that the customer's requests come to.
    pub gateway_set: GatewaySet,
    /// The gateways that add up its usage.
    pub quota_owners: Vec<u16>,
    /// Whether this gateway is one of them.
    pub role: Role,
    /// The two gateways that grant units of the hard limit, and of the quota as far as they own it; the same
    /// one twice where it is alone.
    pub granters: [u16; GRANTER_COUNT],
    /// The share of the hard limit that is this gateway's own.
    pub hard_limit_fraction: f64,
}

impl OwnerAssignment {
    /// Assigns a customer's owners by its identifier and its set of gateways, in whole gateways.
    pub(super) fn new(
        settings: &QuotaSettings,
        id: CustomerId,
        set: GatewaySet,
        plan: &Plan,
    ) -> OwnerAssignment {
        let (own_id, gateway_count) = (settings.own_id, settings.gateway_count);
        let granters = granter_positions(id, set.size).map(|position| set.member(position, gateway_count));
        let mut quota_owners = settings.ownership.owners(set, gateway_count, granters, plan);
        quota_owners.dedup();
        let role = Role::of(own_id, &quota_owners);
        let owned = granters.iter().filter(|granter| **granter == own_id).count() as f64;
        let hard_limit_fraction = (1.0 - POOLED_HARD_LIMIT_FRACTION) / set.size
            + owned * POOLED_HARD_LIMIT_FRACTION / GRANTER_COUNT as f64;
        OwnerAssignment { gateway_set: set, quota_owners, role, granters, hard_limit_fraction }
    }
}

/// The positions of two different members of a set of so many gateways, drawn by the customer's identifier.
/// They are the same where the set has but one.
fn granter_positions(id: CustomerId, set_size: f64) -> [u64; GRANTER_COUNT] {
    let first = (unit_draw(id.0) * set_size) as u64;
    let distance = 1 + (unit_draw(!id.0) * (set_size - 1.0)) as u64;
    [first, first + distance]
}

#[cfg(test)]
mod tests;
