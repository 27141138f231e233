//! Tests of [`super`].

use super::*;

/// The gateways of a customer follow each other by index, and the first one of the fleet follows the last.
#[test]
fn a_set_wraps_round_the_fleet() {
    let set = GatewaySet { start: 8, size: 4.0 };
    assert_eq!(set.members(10), [8, 9, 0, 1]);
    assert_eq!(set.member(5, 10), 9, "positions are counted round the set");
}

/// A request may name a part of a gateway, none, or more than there are. Owners are assigned to whole
/// gateways of the fleet.
#[test]
fn a_set_has_whole_gateways_of_the_fleet() {
    let size_of = |size| GatewaySet { start: 0, size }.in_whole_gateways(10).size;
    assert_eq!([0.0, 1.0, 2.9, 10.0, 11.0].map(size_of), [1.0, 1.0, 2.0, 10.0, 10.0]);
}
