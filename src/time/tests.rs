//! Tests of [`super`].

use super::*;

/// A peer's or a backend's time may lie behind one that was noted before. The difference of the two is no
/// time, not the hundreds of thousands of years that a wrapped number would make of it, by which every record
/// would be old.
#[test]
fn a_difference_in_the_wrong_order_is_no_time() {
    let (early, late) = (Instant::from_micros(5), Instant::from_micros(8));
    assert_eq!(late.duration_since(early), Duration::from_micros(3));
    assert_eq!(early.duration_since(late), Duration::ZERO);
    assert_eq!(Duration::from_micros(5) - Duration::from_micros(8), Duration::ZERO);
    assert_eq!(early - Duration::from_micros(8), Instant::ZERO);
}

/// A limit that never applies is the greatest span. Added to a time, or multiplied, it has to stay beyond
/// every time: wrapped, it would apply at once.
#[test]
fn sums_stay_at_the_greatest_value() {
    let now = Instant::from_micros(5);
    assert_eq!(now + Duration::MAX, Instant::FAR_FUTURE);
    assert_eq!(Duration::MAX + Duration::MICROSECOND, Duration::MAX);
    assert_eq!(Duration::MAX * 2, Duration::MAX);
    assert_eq!(Duration::from_secs(u64::MAX), Duration::MAX);
}

/// Fractions of a second come from settings and from sums over them, and may be negative, infinite or no number.
/// Each becomes a span in whole microseconds that is never longer than meant, so that no limit lasts longer than
/// the settings say.
#[test]
fn fractions_are_cut_to_whole_microseconds() {
    assert_eq!(Duration::from_secs_f64(1.25), Duration::from_millis(1250));
    assert_eq!(Duration::from_secs_f64(-1.0), Duration::ZERO);
    assert_eq!(Duration::from_secs_f64(f64::NAN), Duration::ZERO);
    assert_eq!(Duration::from_secs_f64(f64::INFINITY), Duration::MAX);
    assert_eq!(Duration::from_micros(10).mul_f64(0.39), Duration::from_micros(3));
    assert_eq!(Duration::from_micros(1999).as_millis(), 1);
}

/// A span in the log or in a failed assertion is read by a person, who would otherwise have to divide.
#[test]
fn a_span_is_shown_with_its_unit() {
    let spans = [Duration::from_millis(250), Duration::from_micros(1500), Duration::from_secs(3)];
    assert_eq!(format!("{spans:?}"), "[250ms, 1.5ms, 3s]");
    assert_eq!(Duration::from_micros(1234).as_millis_f64(), 1.234);
}
