//! Tests of [`super`].

use super::*;

const BACKEND: BackendId = BackendId(7);
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
/// When the host's process started, by the monotonic and by the wall clock.
const START: Instant = Instant::from_micros(1_000_000_000_000);

/// How far off the wall clock was when it was read.
#[derive(Clone, Copy)]
enum Offset {
    None,
    Ahead(Duration),
    Behind(Duration),
}

impl Offset {
    fn read_clock(self, now: Instant) -> UnixTime {
        match self {
            Offset::None => unix(now),
            Offset::Ahead(step) => unix(now + step),
            Offset::Behind(step) => unix(now - step),
        }
    }
}

/// The Unix time of a point in the host's time, by a clock that is right.
fn unix(at: Instant) -> UnixTime {
    UnixTime::from_micros(at.as_micros())
}

/// The age of a backend that is listed with a Unix time, first heard of `elapsed` after the start, where the
/// wall clock was read after steps to these offsets.
fn age(offsets: &[Offset], unix_time: UnixTime, elapsed: Duration) -> Duration {
    let mut times = StartTimes::default();
    for offset in offsets {
        times.observe_clock(START + SECOND, offset.read_clock(START + SECOND));
    }
    let now = START + elapsed;
    let started_at = times.host_time(BACKEND, unix_time, now).expect("not long ago");
    assert!(started_at <= now, "{started_at:?} has not come yet");
    now.duration_since(started_at)
}

/// The wall clock is never stepped, and a backend's age is simply the time since its start. A backend that is taken
/// for older than it is gets full load before it is warmed up; a start time of 0 means that it started long ago.
#[test]
fn without_a_step_the_age_is_that_of_the_clock() {
    assert_eq!(age(&[], unix(START - HOUR), SECOND * 10), HOUR + SECOND * 10);
    assert_eq!(age(&[Offset::None], unix(START + SECOND * 4), SECOND * 10), SECOND * 6);
    assert_eq!(StartTimes::default().host_time(BACKEND, UnixTime::default(), START), None, "long ago");
}

/// The wall clock is set back or forward by an hour, and a backend's start time may have been read before or after
/// that step. The two readings give ages an hour apart; the younger one counts, since a backend that has just
/// started would break down under full load, while slow start only costs an old one some of its load.
#[test]
fn the_younger_of_two_possible_ages_counts() {
    let (back, forward) = (Offset::Behind(HOUR), Offset::Ahead(HOUR));
    assert_eq!(
        age(&[back], unix(START + SECOND * 4 - HOUR), SECOND * 10),
        SECOND * 6,
        "by the clock set back"
    );
    assert_eq!(age(&[forward], unix(START + SECOND * 4), SECOND * 10), SECOND * 6, "before the step forward");
    assert_eq!(
        age(&[back, Offset::None], unix(START + SECOND * 4 - HOUR), SECOND * 10),
        SECOND * 6,
        "set back and forward"
    );
}

/// By one reading of the clock a backend starts in the future, so that reading cannot be the one that its start
/// time was taken from, and another one counts. If it counted all the same, a backend that has run for long would
/// seem new and lose its load; a start slightly in the future only means that clocks differ a little.
#[test]
fn a_start_in_the_future_by_one_clock_reading_is_judged_by_another() {
    let (back, forward) = (Offset::Behind(HOUR), Offset::Ahead(HOUR));
    assert_eq!(age(&[forward], unix(START + HOUR + SECOND * 4), SECOND * 10), SECOND * 6, "set forward");
    assert_eq!(
        age(&[back], unix(START - HOUR / 2), Duration::ZERO),
        HOUR / 2,
        "an old start after a step back"
    );
    assert_eq!(
        age(&[], unix(START + HOUR), SECOND * 10),
        Duration::ZERO,
        "by a clock that was never read here"
    );
    assert_eq!(
        age(&[], unix(START + SECOND * 10 + SECOND / 2), SECOND * 10),
        Duration::ZERO,
        "clocks differ a little"
    );
}

/// A backend's age is known, and then the wall clock is stepped. Its age must not jump, or backends that have run
/// for long would all get the small load of a slow start at once; only when it is no longer listed is its start
/// forgotten.
#[test]
fn a_start_keeps_its_time_whatever_the_clock_does_later() {
    let mut times = StartTimes::default();
    let started_at = START - SECOND * 5;
    let unix_time = unix(started_at);
    assert_eq!(times.host_time(BACKEND, unix_time, START), Some(started_at));
    times.observe_clock(START + SECOND, unix(START - SECOND));
    assert_eq!(times.host_time(BACKEND, unix_time, START + SECOND * 2), Some(started_at));
    times.remove(BackendId(8));
    assert_eq!(times.host_time(BACKEND, unix_time, START + SECOND * 3), Some(started_at));
    times.remove(BACKEND);
    assert_ne!(times.host_time(BACKEND, unix_time, START + SECOND * 3), Some(started_at));
}

/// A backend restarts on a machine whose wall clock was set back by an hour, so that it seems to have started long
/// ago. But a moment before it was still listed with its earlier start; it cannot be older than that list, and
/// would otherwise get full load right after its restart.
#[test]
fn a_new_start_is_no_older_than_the_last_list_with_the_earlier_one() {
    let mut times = StartTimes::default();
    times.host_time(BACKEND, unix(START - HOUR * 2), START);
    times.record_endpoint_update(START + SECOND * 10);
    let now = START + SECOND * 13;
    let started_at = times.host_time(BACKEND, unix(START - HOUR), now);
    assert_eq!(started_at, Some(now - (SECOND * 3 + MAX_LISTING_DELAY)));
    // A plausible age is left as it is.
    let (now, started_at) = (START + SECOND * 14, START + SECOND * 12);
    assert_eq!(times.host_time(BACKEND, unix(started_at), now), Some(started_at));
}
