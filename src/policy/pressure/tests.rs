//! Tests of [`super`].

use super::*;

/// One answer takes 30 times the normal latency, for example after a retransmission. It counts with a ratio
/// of 4, so that a single lost packet doesn't cause shedding.
#[test]
fn one_very_late_answer_counts_with_the_maximum_ratio() {
    let second = Duration::from_secs(1);
    let (mut once, mut four) = (Pressure::default(), Pressure::default());
    once.record(Instant::ZERO + second, 30.0);
    four.record(Instant::ZERO + second, MAX_LATENCY_RATIO);
    assert_eq!(once.level(), four.level());
}

/// A burst of slow answers arrives within 1 µs. Each of them counts although no time passes, so that a
/// gateway whose answers arrive in batches detects the overload as well.
#[test]
fn simultaneous_answers_all_count() {
    let now = Instant::from_micros(5_000_000);
    let mut pressure = Pressure::default();
    (0..100).for_each(|_| pressure.record(now, 2.0));
    assert!(pressure.is_high(), "the pressure is {}", pressure.level());
}
