//! Tests of [`super`].

use super::*;

const BACKEND: BackendId = BackendId(7);
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
/// When the host's process started, by every clock.
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

#[test]
fn without_a_step_the_age_is_that_of_the_clock() {
    assert_eq!(age(&[], unix(START - HOUR), SECOND * 10), HOUR + SECOND * 10);
    assert_eq!(age(&[Offset::None], unix(START + SECOND * 4), SECOND * 10), SECOND * 6);
    assert_eq!(StartTimes::default().host_time(BACKEND, UnixTime::default(), START), None, "long ago");
}

#[test]
fn the_colder_of_two_readings_counts() {
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

#[test]
fn a_reading_from_the_future_is_none() {
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

#[test]
fn a_start_keeps_its_time_whatever_the_clock_does_later() {
    let mut times = StartTimes::default();
    let started_at = START - SECOND * 5;
    let unix_time = unix(started_at);
    assert_eq!(times.host_time(BACKEND, unix_time, START), Some(started_at));
    times.observe_clock(START + SECOND, unix(START - SECOND));
    assert_eq!(times.host_time(BACKEND, unix_time, START + SECOND * 2), Some(started_at));
    times.forget(BackendId(8));
    assert_eq!(times.host_time(BACKEND, unix_time, START + SECOND * 3), Some(started_at));
    times.forget(BACKEND);
    assert_ne!(times.host_time(BACKEND, unix_time, START + SECOND * 3), Some(started_at));
}

/// Guards against taking a backend for old that was listed with another start a moment ago: its clock was set
/// back while the one here was not read, or not stepped.
#[test]
fn a_new_start_is_no_older_than_the_last_list_with_the_earlier_one() {
    let mut times = StartTimes::default();
    times.host_time(BACKEND, unix(START - HOUR * 2), START);
    times.list_taken(START + SECOND * 10);
    let now = START + SECOND * 13;
    let started_at = times.host_time(BACKEND, unix(START - HOUR), now);
    assert_eq!(started_at, Some(now - (SECOND * 3 + MAX_LISTING_DELAY)));
    // A plausible age is left as it is.
    let (now, started_at) = (START + SECOND * 14, START + SECOND * 12);
    assert_eq!(times.host_time(BACKEND, unix(started_at), now), Some(started_at));
}
