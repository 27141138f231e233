//! Tests of [`super`].

use super::*;

/// What a poll was to wait for at the most.
const TIMEOUT: Duration = Duration::from_millis(5);

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

#[test]
fn what_ends_a_wait_has_just_arrived() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), TIMEOUT, at(3000));
    assert_eq!(clock.arrived_at(), at(3000));
    clock.poll_returned(at(3000), TIMEOUT, at(8000));
    assert_eq!(clock.arrived_at(), at(8000), "the wait was over");
}

#[test]
fn what_came_while_the_process_was_busy_counts_from_the_poll_before() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), TIMEOUT, at(3000));
    clock.poll_returned(at(90_000), TIMEOUT, at(90_001));
    assert_eq!(clock.arrived_at(), at(3001));
    clock.poll_returned(at(95_000), TIMEOUT, at(97_000));
    assert_eq!(clock.arrived_at(), at(97_000), "nothing was there when the call began");
}

#[test]
fn what_came_while_a_wait_lasted_too_long_counts_from_its_end() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), TIMEOUT, at(90_000));
    assert_eq!(clock.arrived_at(), at(6000));
    clock.poll_returned(at(90_000), Duration::ZERO, at(90_000));
    assert_eq!(clock.arrived_at(), at(90_000));
}

/// A process that is stopped in a poll and continued returns from it with an interruption, and nothing is reported.
#[test]
fn an_interrupted_wait_reports_nothing() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), Duration::from_millis(2), at(3000));
    clock.poll_interrupted();
    assert_eq!(clock.arrived_at(), at(3000));
    clock.poll_returned(at(90_001), TIMEOUT, at(90_002));
    assert_eq!(clock.arrived_at(), at(3001));
}
