//! Tests of [`super`].

use super::*;

/// The timeout of a poll.
const TIMEOUT: Duration = Duration::from_millis(5);

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

/// A request ends a wait in the poll. Its client's timeout counts from the return of the poll; counted from
/// the beginning of the wait, the client would lose the time of the wait.
#[test]
fn input_that_ends_a_wait_arrived_when_the_poll_returned() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), TIMEOUT, at(3000));
    assert_eq!(clock.arrived_at(), at(3000));
    clock.poll_returned(at(3000), TIMEOUT, at(8000));
    assert_eq!(clock.arrived_at(), at(8000), "the wait reached its timeout");
}

/// A request arrives while the process is busy for 87 ms, and the next poll returns at once. The time of its
/// arrival is unknown, so its timeout counts from the previous poll; counted from the read, a backend would
/// get more time than the client has.
#[test]
fn input_during_a_busy_period_counts_from_the_previous_poll() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), TIMEOUT, at(3000));
    clock.poll_returned(at(90_000), TIMEOUT, at(90_001));
    assert_eq!(clock.arrived_at(), at(3001));
    clock.poll_returned(at(95_000), TIMEOUT, at(97_000));
    assert_eq!(clock.arrived_at(), at(97_000), "no input was ready when the call began");
}

/// A wait with a timeout of 5 ms lasts 89 ms because the machine is overloaded. The input that the poll then
/// reports can have arrived at any time since the timeout, so it counts from there.
#[test]
fn input_during_an_overrun_wait_counts_from_its_timeout() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), TIMEOUT, at(90_000));
    assert_eq!(clock.arrived_at(), at(6000));
    clock.poll_returned(at(90_000), Duration::ZERO, at(90_000));
    assert_eq!(clock.arrived_at(), at(90_000));
}

/// The process is stopped and continued during a poll, which returns interrupted and without events. A
/// request may have arrived in between; its timeout counts from the last poll that was not interrupted.
#[test]
fn input_during_an_interrupted_poll_counts_from_the_poll_before_it() {
    let mut clock = ArrivalClock::new(at(1000));
    clock.poll_returned(at(1000), Duration::from_millis(2), at(3000));
    clock.poll_interrupted();
    assert_eq!(clock.arrived_at(), at(3000));
    clock.poll_returned(at(90_001), TIMEOUT, at(90_002));
    assert_eq!(clock.arrived_at(), at(3001));
}
