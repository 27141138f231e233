//! Tests of [`super`].

use super::*;

/// Totals of used units wrap after 16,384 units. If a customer's total wraps between two reports, a plain
/// difference would charge or refund thousands of units.
#[test]
fn delta_is_correct_across_a_wrapped_total() {
    assert_eq!(wrapping_delta(wrap_total(16_383.0), wrap_total(16_385.0)), 2.0);
    assert_eq!(wrapping_delta(wrap_total(16_385.0), wrap_total(16_383.0)), -2.0);
}

/// A grant is encoded in quarters of a unit and in one byte. Rounded up, the grants of several gateways could
/// exceed the customer's quota.
#[test]
fn grants_are_rounded_down_to_quarters_and_capped_to_a_byte() {
    assert_eq!([-1.0, 0.2, 1.3, 63.75, 64.0].map(floor_to_wire_units), [0.0, 0.0, 1.25, 63.75, 63.75]);
}

/// The fill level of a token bucket is encoded in one byte. Levels out of range are clamped, and an unknown
/// level has to differ from an empty bucket: otherwise requests of a customer with an unknown level would be
/// rejected.
#[test]
fn token_levels_are_clamped_and_unknown_differs_from_empty() {
    assert_eq!(TokenLevel::from_tokens(10.0, 10.0).tokens(10.0), Some(10.0));
    assert_eq!(TokenLevel::from_tokens(20.0, 10.0).tokens(10.0), Some(10.0), "more than full is full");
    assert_eq!(TokenLevel::from_tokens(-1.0, 10.0).tokens(10.0), Some(0.0), "overdrawn is empty");
    assert_eq!(TokenLevel::from_tokens(5.0, 0.0).to_byte(), 254, "a bucket without capacity");
    assert_eq!(TokenLevel::UNKNOWN.tokens(10.0), None);
}
