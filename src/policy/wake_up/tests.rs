//! Tests of [`super`].

use super::*;

const TICK: Duration = Duration::from_millis(4);
const START: Instant = Instant::from_micros(1_000_000);

/// The first event is a wake-up, so that the gateway polls discovery and announces itself to its peers.
/// After it, work that depends only on time is done once per interval, however many events there are.
#[test]
fn wake_ups_are_due_at_the_first_event_and_once_per_interval() {
    let mut schedule = WakeUpSchedule::new(TICK);
    assert!(schedule.is_due(START));
    let interval = schedule.schedule_next(START);
    assert_eq!(interval, TICK * TICKS_PER_INTERVAL);
    assert!(!schedule.is_due(START + interval - Duration::MICROSECOND));
    assert!(schedule.is_due(START + interval));
}

/// A machine is suspended for a second. Latencies that include that time must not count against backends, so
/// the stall has to be detected. A wake-up that is merely late is no stall.
#[test]
fn a_host_that_missed_several_wake_ups_has_stalled() {
    let mut schedule = WakeUpSchedule::new(TICK);
    assert!(!schedule.was_host_stalled(START), "no wake-up is scheduled yet");
    let interval = schedule.schedule_next(START);
    let latest = START + interval * (1 + MAX_MISSED_WAKE_UPS);
    assert!(!schedule.was_host_stalled(latest));
    assert!(schedule.was_host_stalled(latest + Duration::MICROSECOND));
}
