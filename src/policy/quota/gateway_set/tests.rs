//! Tests of [`super`].

use super::*;

/// A set that ends beyond the fleet's last gateway continues at gateway 0.
#[test]
fn a_set_wraps_around_the_fleet() {
    let set = GatewaySet { start: 8, size: 4.0 };
    assert_eq!(set.members(10), [8, 9, 0, 1]);
    assert_eq!(set.member(5, 10), 9, "position 5 wraps to the second gateway");
}

/// Requests may state a fractional size, zero, or more gateways than the fleet has. Owners are assigned
/// within a whole number of existing gateways.
#[test]
fn a_set_size_is_rounded_down_and_limited_to_the_fleet() {
    let size_of = |size| GatewaySet { start: 0, size }.in_whole_gateways(10).size;
    assert_eq!([0.0, 1.0, 2.9, 10.0, 11.0].map(size_of), [1.0, 1.0, 2.0, 10.0, 10.0]);
}
