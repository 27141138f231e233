//! Tests of [`super`].

use super::*;

const BACKEND: BackendId = BackendId(7);
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = 3600 * SECOND;
/// When the host's process started, by every clock.
const START: Instant = 1_000_000 * SECOND;

/// The age of a backend that is listed with a Unix time, first heard of `elapsed` after the start, where the wall clock
/// was read after steps to these offsets.
fn age(steps: &[i64], unix_time: UnixTime, elapsed: Duration) -> Micros {
    let mut times = StartTimes::default();
    for step in steps {
        times.observe_clock(START + SECOND, (START + SECOND).saturating_add_signed(*step));
    }
    START + elapsed - times.host_time(BACKEND, unix_time, START + elapsed)
}

#[test]
fn without_a_step_the_age_is_that_of_the_clock() {
    assert_eq!(age(&[], START - HOUR, 10 * SECOND), HOUR + 10 * SECOND);
    assert_eq!(age(&[0], START + 4 * SECOND, 10 * SECOND), 6 * SECOND);
    assert_eq!(StartTimes::default().host_time(BACKEND, 0, START), 0, "long ago");
}

#[test]
fn the_colder_of_two_readings_counts() {
    let back = -(HOUR as i64);
    assert_eq!(age(&[back], START + 4 * SECOND - HOUR, 10 * SECOND), 6 * SECOND, "by the clock set back");
    assert_eq!(age(&[HOUR as i64], START + 4 * SECOND, 10 * SECOND), 6 * SECOND, "before the step forward");
    assert_eq!(age(&[back, 0], START + 4 * SECOND - HOUR, 10 * SECOND), 6 * SECOND, "set back and forward");
}

#[test]
fn a_reading_from_the_future_is_none() {
    assert_eq!(age(&[HOUR as i64], START + HOUR + 4 * SECOND, 10 * SECOND), 6 * SECOND, "set forward");
    assert_eq!(age(&[-(HOUR as i64)], START - HOUR / 2, 0), HOUR / 2, "an old start after a step back");
    assert_eq!(age(&[], START + HOUR, 10 * SECOND), 0, "by a clock that was never read here");
    assert_eq!(age(&[], START + 10 * SECOND + SECOND / 2, 10 * SECOND), 0, "clocks differ a little");
}

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

/// Guards against taking a backend for old that was listed with another start a moment ago: its clock was set back while
/// the one here was not read, or not stepped.
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
