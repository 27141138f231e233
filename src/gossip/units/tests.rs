//! Tests of [`super`].

use super::*;

/// Totals of used units wrap round after 16,384 units. When a customer's total wraps between two reports, the
/// difference is still the few units used; otherwise the customer would be charged, or given back, thousands of
/// units at once.
#[test]
fn a_delta_spans_the_wrap_of_a_total() {
    assert_eq!(wrapping_delta(wrap_total(16_383.0), wrap_total(16_385.0)), 2.0);
    assert_eq!(wrapping_delta(wrap_total(16_385.0), wrap_total(16_383.0)), -2.0);
}

/// A grant is sent in quarters of a unit and in one byte. It is rounded down, never up, since the sum of what
/// gateways grant must not exceed what the customer may use.
#[test]
fn a_grant_is_rounded_down_to_quarters_and_to_a_byte() {
    assert_eq!([-1.0, 0.2, 1.3, 63.75, 64.0].map(floor_to_wire_units), [0.0, 0.0, 1.25, 63.75, 63.75]);
}

/// A message tells how full a customer's token bucket is in a single byte. Levels beyond full or below empty are
/// cut to the nearest step, and an unknown one differs from an empty bucket; a customer whose level is merely
/// unknown would be rejected otherwise.
#[test]
fn a_token_level_keeps_its_fill_and_an_unknown_one_gives_none() {
    assert_eq!(TokenLevel::from_tokens(10.0, 10.0).tokens(10.0), Some(10.0));
    assert_eq!(TokenLevel::from_tokens(20.0, 10.0).tokens(10.0), Some(10.0), "more than full is full");
    assert_eq!(TokenLevel::from_tokens(-1.0, 10.0).tokens(10.0), Some(0.0), "overdrawn is empty");
    assert_eq!(TokenLevel::from_tokens(5.0, 0.0).to_byte(), 254, "a bucket without capacity");
    assert_eq!(TokenLevel::UNKNOWN.tokens(10.0), None);
}
