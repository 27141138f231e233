//! The assignment of a customer's quota, and of its hard limit, to gateways.

use super::{GatewaySet, QuotaSettings, Role};
use crate::state::unit_draw;
use crate::{CustomerId, Plan};

/// Fraction of a hard limit that two gateways hold and grant on request. The rest is divided evenly among all
/// gateways of the customer, for requests for which no owner answers.
const POOLED_HARD_LIMIT_FRACTION: f64 = 0.5;

/// Number of gateways that grant a customer's quota and hold most of its hard limit: two, so that one may
/// fail.
pub(super) const GRANTER_COUNT: usize = 2;

/// The assignment of a customer's quota and hard limit to gateways. Each gateway computes it from the
/// customer's identifier, with the same result.
pub(super) struct OwnerAssignment {
    /// The gateways that receive the customer's requests.
    pub gateway_set: GatewaySet,
    /// The gateways that add up the customer's usage.
    pub quota_owners: Vec<u16>,
    /// This gateway's role.
    pub role: Role,
    /// The two gateways that grant units of the hard limit, and of the quota if they own it; the same one
    /// twice in a set of one gateway.
    pub granters: [u16; GRANTER_COUNT],
    /// Fraction of the hard limit that this gateway holds.
    pub hard_limit_fraction: f64,
}

impl OwnerAssignment {
    /// Assigns the owners of a customer. The size of `set` must be a whole number.
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

/// Returns two positions in a set of `set_size` gateways, drawn by the customer's identifier. They denote
/// different gateways unless the set has only one.
fn granter_positions(id: CustomerId, set_size: f64) -> [u64; GRANTER_COUNT] {
    let first = (unit_draw(id.0) * set_size) as u64;
    let distance = 1 + (unit_draw(!id.0) * (set_size - 1.0)) as u64;
    [first, first + distance]
}

#[cfg(test)]
mod tests;
