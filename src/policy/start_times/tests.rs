//! Tests of [`super`].

use super::*;

const BACKEND: BackendId = BackendId(7);
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
/// Start of the host's process, by the monotonic and by the wall clock.
const START: Instant = Instant::from_micros(1_000_000_000_000);

/// Offset of the wall clock when it is read.
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

/// Returns the Unix time of a point in the host's time, by a correct clock.
fn unix(at: Instant) -> UnixTime {
    UnixTime::from_micros(at.as_micros())
}

/// Returns the age of a backend with this start time that is first listed `elapsed` after the start of the
/// host. The wall clock was stepped to each of `offsets` and read.
fn age(offsets: &[Offset], unix_time: UnixTime, elapsed: Duration) -> Duration {
    let mut times = StartTimes::default();
    for offset in offsets {
        times.observe_clock(START + SECOND, offset.read_clock(START + SECOND));
    }
    let now = START + elapsed;
    let started_at = times.host_time(BACKEND, unix_time, now).expect("the backend did not start long ago");
    assert!(started_at <= now, "{started_at:?} is in the future");
    now.duration_since(started_at)
}

/// Without a step of the wall clock, a backend's age is the time since its start. If the age were too high,
/// the backend would get full load before it is warmed up. A start time of 0 means long ago.
#[test]
fn without_a_clock_step_the_age_is_the_time_since_the_start() {
    assert_eq!(age(&[], unix(START - HOUR), SECOND * 10), HOUR + SECOND * 10);
    assert_eq!(age(&[Offset::None], unix(START + SECOND * 4), SECOND * 10), SECOND * 6);
    assert_eq!(
        StartTimes::default().host_time(BACKEND, UnixTime::default(), START),
        None,
        "a Unix time of 0 means long ago"
    );
}

/// The wall clock is stepped by an hour, and a backend's start time may have been read before or after the
/// step. Of the two possible ages the lower one counts: a backend that just started would break down under
/// full load, while slow start costs an old one only some of its load.
#[test]
fn the_lower_of_two_possible_ages_counts() {
    let (back, forward) = (Offset::Behind(HOUR), Offset::Ahead(HOUR));
    assert_eq!(
        age(&[back], unix(START + SECOND * 4 - HOUR), SECOND * 10),
        SECOND * 6,
        "reported by the clock that was set back"
    );
    assert_eq!(
        age(&[forward], unix(START + SECOND * 4), SECOND * 10),
        SECOND * 6,
        "reported before the clock was set forward"
    );
    assert_eq!(
        age(&[back, Offset::None], unix(START + SECOND * 4 - HOUR), SECOND * 10),
        SECOND * 6,
        "reported before the clock was set forward again"
    );
}

/// By one clock reading a backend starts in the future, so its start time was not taken from that clock,
/// and another reading counts. Otherwise a backend that has run for long would be treated as new and lose
/// its load. A start slightly in the future is within the clock skew.
#[test]
fn a_clock_reading_that_puts_the_start_in_the_future_is_ignored() {
    let (back, forward) = (Offset::Behind(HOUR), Offset::Ahead(HOUR));
    assert_eq!(
        age(&[forward], unix(START + HOUR + SECOND * 4), SECOND * 10),
        SECOND * 6,
        "reported by the clock that was set forward"
    );
    assert_eq!(
        age(&[back], unix(START - HOUR / 2), Duration::ZERO),
        HOUR / 2,
        "started before the clock was set back"
    );
    assert_eq!(
        age(&[], unix(START + HOUR), SECOND * 10),
        Duration::ZERO,
        "reported by a clock with an unknown offset"
    );
    assert_eq!(
        age(&[], unix(START + SECOND * 10 + SECOND / 2), SECOND * 10),
        Duration::ZERO,
        "within the clock skew"
    );
}

/// The wall clock is stepped after a backend's start was recorded. The age must not change, or all old
/// backends would be limited by slow start at once. The start is removed only with the backend's entry in
/// the list.
#[test]
fn clock_steps_do_not_change_a_recorded_start() {
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

/// A backend restarts on a machine whose wall clock was set back by an hour, so its start seems long ago
/// and it would get full load. It cannot be older than the last update that listed its previous start.
#[test]
fn a_restart_is_no_older_than_the_last_update_with_the_previous_start() {
    let mut times = StartTimes::default();
    times.host_time(BACKEND, unix(START - HOUR * 2), START);
    times.record_endpoint_update(START + SECOND * 10);
    let now = START + SECOND * 13;
    let started_at = times.host_time(BACKEND, unix(START - HOUR), now);
    assert_eq!(started_at, Some(now - (SECOND * 3 + MAX_LISTING_DELAY)));
    // A plausible age is not changed.
    let (now, started_at) = (START + SECOND * 14, START + SECOND * 12);
    assert_eq!(times.host_time(BACKEND, unix(started_at), now), Some(started_at));
}
