//! Tests of [`super`].

use super::*;
use crate::policy::quota::tests::{manager, plan, LARGE_FLEET};

/// The gateway set of the customers under test.
const SET: GatewaySet = GatewaySet { start: 290, size: 20.0 };

/// Returns the assignment that each gateway of a large fleet computes for a customer with a hard limit.
fn assignments(id: CustomerId) -> Vec<OwnerAssignment> {
    let plan = Plan { hard_limit_rate: 5.0, ..plan() };
    let mut settings = manager(LARGE_FLEET).settings;
    let by_gateway = (0..LARGE_FLEET).map(|own_id| {
        settings.own_id = own_id;
        OwnerAssignment::new(&settings, id, SET, &plan)
    });
    by_gateway.collect()
}

/// Gateways do not negotiate owners by messages. Each one computes the same two from the customer's
/// identifier, both in the customer's gateway set.
#[test]
fn all_gateways_assign_the_same_two_owners() {
    for id in (0..50).map(CustomerId) {
        let assignments = assignments(id);
        let owners = &assignments[0].quota_owners;
        assert!(assignments.iter().all(|assignment| assignment.quota_owners == *owners));
        assert!(owners.len() == 2 && owners[0] != owners[1]);
        assert!(owners.iter().all(|owner| SET.members(LARGE_FLEET).contains(owner)));
        let is_owner = |gateway: &u16| assignments[usize::from(*gateway)].role.is_owner();
        assert!((0..LARGE_FLEET).filter(is_owner).eq(std::collections::BTreeSet::from_iter(owners.clone())));
    }
}

/// Half of a hard limit is divided evenly among the customer's gateways, and each of the two owners holds
/// another quarter. Together the shares are the whole limit.
#[test]
fn the_shares_of_a_hard_limit_add_up_to_the_whole() {
    let assignments = assignments(CustomerId(7));
    let fraction = |gateway: &u16| assignments[usize::from(*gateway)].hard_limit_fraction;
    let total: f64 = SET.members(LARGE_FLEET).iter().map(fraction).sum();
    assert!((total - 1.0).abs() < 1e-9, "{total}");
    let owner = assignments[0].granters[0];
    assert_eq!(fraction(&owner), 0.5 / 20.0 + 0.25);
}

/// All requests of a customer are sent to one gateway. It is the only owner, with the whole hard limit; a
/// part assigned to a gateway that receives none of them would be lost to the customer.
#[test]
fn a_single_gateway_owns_the_quota_and_the_whole_hard_limit() {
    let settings = manager(1).settings;
    let plan = Plan { hard_limit_rate: 5.0, ..plan() };
    let assignment =
        OwnerAssignment::new(&settings, CustomerId(7), GatewaySet { start: 0, size: 1.0 }, &plan);
    assert_eq!((assignment.quota_owners, assignment.granters), (vec![0], [0, 0]));
    assert_eq!(assignment.hard_limit_fraction, 1.0);
}
