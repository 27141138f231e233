//! Tests of [`super`].

use super::*;

const TICK: Duration = Duration::from_millis(4);
const START: Instant = Instant::from_micros(1_000_000);

/// The first event wakes the gateway at once, so that it polls discovery and tells its peers of itself. From
/// then on events in between leave what depends on time alone, however many there are.
#[test]
fn a_gateway_is_woken_at_its_first_event_and_then_once_in_an_interval() {
    let mut schedule = WakeUpSchedule::new(TICK);
    assert!(schedule.is_due(START));
    let interval = schedule.schedule_next(START);
    assert_eq!(interval, TICK * TICKS_PER_INTERVAL);
    assert!(!schedule.is_due(START + interval - Duration::MICROSECOND));
    assert!(schedule.is_due(START + interval));
}

/// A machine is suspended for a second. The latencies that are measured across that time say nothing of the
/// backends, and must not eject them: the gateway has to know that it stood still. A wake-up that is merely
/// late is no such case.
#[test]
fn a_host_that_missed_several_wake_ups_stood_still() {
    let mut schedule = WakeUpSchedule::new(TICK);
    assert!(!schedule.was_host_stalled(START), "it has only just started");
    let interval = schedule.schedule_next(START);
    let latest = START + interval * (1 + MAX_MISSED_WAKE_UPS);
    assert!(!schedule.was_host_stalled(latest));
    assert!(schedule.was_host_stalled(latest + Duration::MICROSECOND));
}
