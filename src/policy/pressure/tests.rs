//! Tests of [`super`].

use super::*;

/// One answer comes thirty times too late, as one that waited for a retransmission. If it counted in full, a
/// single packet that was lost would have customers shed: it counts as four, and the next normal answers make
/// up for it.
#[test]
fn one_very_late_answer_counts_with_the_highest_ratio() {
    let second = Duration::from_secs(1);
    let (mut once, mut four) = (Pressure::default(), Pressure::default());
    once.record(Instant::ZERO + second, 30.0);
    four.record(Instant::ZERO + second, MAX_LATENCY_RATIO);
    assert_eq!(once.level(), four.level());
}

/// A burst of slow answers arrives within a microsecond. Each of them counts a little though no time passes,
/// so that a gateway whose answers come in batches sees the overload as well.
#[test]
fn answers_at_one_moment_count_each() {
    let now = Instant::from_micros(5_000_000);
    let mut pressure = Pressure::default();
    (0..100).for_each(|_| pressure.record(now, 2.0));
    assert!(pressure.is_high(), "{}", pressure.level());
}
