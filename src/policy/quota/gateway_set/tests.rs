//! Tests of [`super`].

use super::*;

/// A customer's requests come to some gateways in a row, and behind the last gateway of the fleet the first one
/// follows. A set that ended there would name gateways that do not exist, and usage reports to them would be lost.
#[test]
fn a_set_wraps_round_the_fleet() {
    let set = GatewaySet { start: 8, size: 4.0 };
    assert_eq!(set.members(10), [8, 9, 0, 1]);
    assert_eq!(set.member(5, 10), 9, "positions are counted round the set");
}

/// A request may name a fraction of a gateway, none, or more than there are. The set is rounded down to at least
/// one gateway and at most all, because a quota has to have an owner that exists.
#[test]
fn a_set_has_whole_gateways_of_the_fleet() {
    let size_of = |size| GatewaySet { start: 0, size }.in_whole_gateways(10).size;
    assert_eq!([0.0, 1.0, 2.9, 10.0, 11.0].map(size_of), [1.0, 1.0, 2.0, 10.0, 10.0]);
}
