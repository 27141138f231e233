//! Tests of [`super`].

use super::*;

#[test]
fn a_delta_spans_the_wrap_of_a_total() {
    assert_eq!(wrapping_delta(wrap_total(16_383.0), wrap_total(16_385.0)), 2.0);
    assert_eq!(wrapping_delta(wrap_total(16_385.0), wrap_total(16_383.0)), -2.0);
}

#[test]
fn a_grant_is_rounded_down_to_quarters_and_to_a_byte() {
    assert_eq!([-1.0, 0.2, 1.3, 63.75, 64.0].map(floor_to_wire_units), [0.0, 0.0, 1.25, 63.75, 63.75]);
}

#[test]
fn a_token_level_is_known_unless_it_says_so() {
    assert_eq!(TokenLevel::of(10.0, 10.0).tokens(10.0), Some(10.0));
    assert_eq!(TokenLevel::of(20.0, 10.0).tokens(10.0), Some(10.0), "more than full is full");
    assert_eq!(TokenLevel::of(-1.0, 10.0).tokens(10.0), Some(0.0), "overdrawn is empty");
    assert_eq!(TokenLevel::of(5.0, 0.0).to_byte(), 254, "a bucket without capacity");
    assert_eq!(TokenLevel::UNKNOWN.tokens(10.0), None);
}
