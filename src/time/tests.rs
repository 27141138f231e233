//! Tests of [`super`].

use super::*;

/// The time of a peer or backend may be earlier than one recorded before. A difference that wrapped to
/// hundreds of thousands of years would make every record outdated.
#[test]
fn negative_differences_saturate_at_zero() {
    let (early, late) = (Instant::from_micros(5), Instant::from_micros(8));
    assert_eq!(late.duration_since(early), Duration::from_micros(3));
    assert_eq!(early.duration_since(late), Duration::ZERO);
    assert_eq!(Duration::from_micros(5) - Duration::from_micros(8), Duration::ZERO);
    assert_eq!(early - Duration::from_micros(8), Instant::ZERO);
}

/// A limit that never applies is [`Duration::MAX`]. If sums and multiples of it wrapped, it would apply at
/// once.
#[test]
fn sums_and_multiples_saturate_at_the_maximum() {
    let now = Instant::from_micros(5);
    assert_eq!(now + Duration::MAX, Instant::FAR_FUTURE);
    assert_eq!(Duration::MAX + Duration::MICROSECOND, Duration::MAX);
    assert_eq!(Duration::MAX * 2, Duration::MAX);
    assert_eq!(Duration::from_secs(u64::MAX), Duration::MAX);
}

/// Fractions of a second in settings, and sums of them, may be negative, infinite or NaN. They are truncated,
/// so that no limit exceeds the time in the settings.
#[test]
fn fractions_are_truncated_to_whole_microseconds() {
    assert_eq!(Duration::from_secs_f64(1.25), Duration::from_millis(1250));
    assert_eq!(Duration::from_secs_f64(-1.0), Duration::ZERO);
    assert_eq!(Duration::from_secs_f64(f64::NAN), Duration::ZERO);
    assert_eq!(Duration::from_secs_f64(f64::INFINITY), Duration::MAX);
    assert_eq!(Duration::from_micros(10).mul_f64(0.39), Duration::from_micros(3));
    assert_eq!(Duration::from_micros(1999).as_millis(), 1);
}

/// Durations in log lines and failed assertions are hard to read as a number of microseconds.
#[test]
fn durations_are_written_with_their_unit() {
    let spans = [Duration::from_millis(250), Duration::from_micros(1500), Duration::from_secs(3)];
    assert_eq!(format!("{spans:?}"), "[250ms, 1.5ms, 3s]");
    assert_eq!(Duration::from_micros(1234).as_millis_f64(), 1.234);
}
