//! Tests of [`super`].

use super::*;

const BACKEND: BackendId = BackendId(7);
const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3600 * SECOND;
/// When the host's process started, by the monotonic and by the wall clock.
const START: Micros = 1_000_000 * SECOND;

/// The age of a backend that is listed with a Unix time as its start and first heard of `elapsed` after the start of the
/// host. Before that the wall clock was stepped, and read at each of these offsets.
fn age(steps: &[i64], unix_time: Micros, elapsed: Micros) -> Micros {
    let mut times = StartTimes::default();
    for step in steps {
        times.observe_clock(START + SECOND, (START + SECOND).saturating_add_signed(*step));
    }
    START + elapsed - times.host_time(BACKEND, unix_time, START + elapsed)
}

/// The wall clock is never stepped, and a backend's age is simply the time since its start. A backend that is taken
/// for older than it is gets full load before it is warmed up; a start time of 0 means that it started long ago.
#[test]
fn without_a_step_the_age_is_that_of_the_clock() {
    assert_eq!(age(&[], START - HOUR, 10 * SECOND), HOUR + 10 * SECOND);
    assert_eq!(age(&[0], START + 4 * SECOND, 10 * SECOND), 6 * SECOND);
    assert_eq!(StartTimes::default().host_time(BACKEND, 0, START), 0, "long ago");
}

/// The wall clock is set back or forward by an hour, and a backend's start time may have been read before or after
/// that step. The two readings give ages an hour apart; the younger one counts, since a backend that has just
/// started would break down under full load, while slow start only costs an old one some of its load.
#[test]
fn the_younger_of_two_possible_ages_counts() {
    let back = -(HOUR as i64);
    assert_eq!(age(&[back], START + 4 * SECOND - HOUR, 10 * SECOND), 6 * SECOND, "by the clock set back");
    assert_eq!(age(&[HOUR as i64], START + 4 * SECOND, 10 * SECOND), 6 * SECOND, "before the step forward");
    assert_eq!(age(&[back, 0], START + 4 * SECOND - HOUR, 10 * SECOND), 6 * SECOND, "set back and forward");
}

/// By one reading of the clock a backend starts in the future, so that reading cannot be the one that its start
/// time was taken from, and another one counts. If it counted all the same, a backend that has run for long would
/// seem new and lose its load; a start slightly in the future only means that clocks differ a little.
#[test]
fn a_start_in_the_future_by_one_clock_reading_is_judged_by_another() {
    assert_eq!(age(&[HOUR as i64], START + HOUR + 4 * SECOND, 10 * SECOND), 6 * SECOND, "set forward");
    assert_eq!(age(&[-(HOUR as i64)], START - HOUR / 2, 0), HOUR / 2, "an old start after a step back");
    assert_eq!(age(&[], START + HOUR, 10 * SECOND), 0, "by a clock that was never read here");
    assert_eq!(age(&[], START + 10 * SECOND + SECOND / 2, 10 * SECOND), 0, "clocks differ a little");
}

/// A backend's age is known, and then the wall clock is stepped. Its age must not jump, or backends that have run
/// for long would all get the small load of a slow start at once; only when it is no longer listed is its start
/// forgotten.
#[test]
fn a_start_keeps_its_time_whatever_the_clock_does_later() {
    let mut times = StartTimes::default();
    let unix_time = START - 5 * SECOND;
    assert_eq!(times.host_time(BACKEND, unix_time, START), unix_time);
    times.observe_clock(START + SECOND, START - SECOND);
    assert_eq!(times.host_time(BACKEND, unix_time, START + 2 * SECOND), unix_time);
    times.forget(BackendId(8));
    assert_eq!(times.host_time(BACKEND, unix_time, START + 3 * SECOND), unix_time);
    times.forget(BACKEND);
    assert_ne!(times.host_time(BACKEND, unix_time, START + 3 * SECOND), unix_time);
}

/// A backend restarts on a machine whose wall clock was set back by an hour, so that it seems to have started long
/// ago. But a moment before it was still listed with its earlier start; it cannot be older than that list, and
/// would otherwise get full load right after its restart.
#[test]
fn a_new_start_is_no_older_than_the_last_list_with_the_earlier_one() {
    let mut times = StartTimes::default();
    times.host_time(BACKEND, START - 2 * HOUR, START);
    times.list_taken(START + 10 * SECOND);
    let now = START + 13 * SECOND;
    assert_eq!(now - times.host_time(BACKEND, START - HOUR, now), 3 * SECOND + MAX_LISTING_DELAY);
    // A plausible age is left as it is.
    let now = START + 14 * SECOND;
    assert_eq!(times.host_time(BACKEND, START + 12 * SECOND, now), START + 12 * SECOND);
}
