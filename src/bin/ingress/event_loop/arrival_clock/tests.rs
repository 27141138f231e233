//! Tests of [`super`].

use super::*;

/// What a poll was to wait for at the most.
const TIMEOUT: Duration = Duration::from_millis(5);

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

/// The ingress waits in the poll, and a request ends that wait. It has arrived just now, so its client's time
/// counts from the return of the poll and not from the beginning of the wait; the client would lose that time
/// otherwise.
#[test]
fn what_ends_a_wait_has_just_arrived() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), TIMEOUT, at(3000));
    assert_eq!(clock.arrived_at(), at(3000));
    clock.poll_returned(at(3000), TIMEOUT, at(8000));
    assert_eq!(clock.arrived_at(), at(8000), "the wait was over");
}

/// The process is busy for 87 ms, and a request arrives meanwhile. The next poll returns it at once, and nobody
/// knows when exactly it came, so its time counts from the poll before; counted from the read, a backend would be
/// given more time than the client has.
#[test]
fn what_came_while_the_process_was_busy_counts_from_the_poll_before() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), TIMEOUT, at(3000));
    clock.poll_returned(at(90_000), TIMEOUT, at(90_001));
    assert_eq!(clock.arrived_at(), at(3001));
    clock.poll_returned(at(95_000), TIMEOUT, at(97_000));
    assert_eq!(clock.arrived_at(), at(97_000), "nothing was there when the call began");
}

/// A wait of at most 5 ms lasts 89 ms, because the machine is overloaded. What the poll then reports can have
/// arrived as soon as the wait should have ended, and its time counts from there.
#[test]
fn what_came_while_a_wait_lasted_too_long_counts_from_its_end() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), TIMEOUT, at(90_000));
    assert_eq!(clock.arrived_at(), at(6000));
    clock.poll_returned(at(90_000), Duration::ZERO, at(90_000));
    assert_eq!(clock.arrived_at(), at(90_000));
}

/// The process is stopped during a poll and continued, and the poll returns with an interruption and without
/// events. A request may have arrived meanwhile; its time counts from the last poll that reported anything, not
/// from the interruption.
#[test]
fn an_interrupted_wait_reports_nothing() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), Duration::from_millis(2), at(3000));
    clock.poll_interrupted();
    assert_eq!(clock.arrived_at(), at(3000));
    clock.poll_returned(at(90_001), TIMEOUT, at(90_002));
    assert_eq!(clock.arrived_at(), at(3001));
}
