//! Tests of [`super`].

use super::*;

#[test]
fn what_ends_a_wait_has_just_arrived() {
    let mut clock = ArrivalClock::new(1000);
    clock.poll_returned(1000, 5000, 3000);
    assert_eq!(clock.arrived_at(), 3000);
    clock.poll_returned(3000, 5000, 8000);
    assert_eq!(clock.arrived_at(), 8000, "the wait was over");
}

#[test]
fn what_came_while_the_process_was_busy_counts_from_the_poll_before() {
    let mut clock = ArrivalClock::new(1000);
    clock.poll_returned(1000, 5000, 3000);
    clock.poll_returned(90_000, 5000, 90_001);
    assert_eq!(clock.arrived_at(), 3001);
    clock.poll_returned(95_000, 5000, 97_000);
    assert_eq!(clock.arrived_at(), 97_000, "nothing was there when the call began");
}

#[test]
fn what_came_while_a_wait_lasted_too_long_counts_from_its_end() {
    let mut clock = ArrivalClock::new(1000);
    clock.poll_returned(1000, 5000, 90_000);
    assert_eq!(clock.arrived_at(), 6000);
    clock.poll_returned(90_000, 0, 90_000);
    assert_eq!(clock.arrived_at(), 90_000);
}

/// A process that is stopped in a poll and continued returns from it with an interruption, and nothing is reported.
#[test]
fn an_interrupted_wait_reports_nothing() {
    let mut clock = ArrivalClock::new(1000);
    clock.poll_returned(1000, 2000, 3000);
    clock.poll_interrupted();
    assert_eq!(clock.arrived_at(), 3000);
    clock.poll_returned(90_001, 5000, 90_002);
    assert_eq!(clock.arrived_at(), 3001);
}
