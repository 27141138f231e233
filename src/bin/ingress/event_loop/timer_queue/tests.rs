//! Tests of [`super`].

use super::*;

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

/// The order of timers that are due at the same time decides the reply, for example between an attempt's
/// timeout and the client's deadline. It is the order of the variants of `Timer`, so that sorting these would
/// change the behaviour.
#[test]
fn timers_due_at_the_same_time_run_in_the_order_of_their_variants() {
    let mut timers = TimerQueue::default();
    timers.schedule(at(5), Timer::ReplyDeadline);
    timers.schedule(at(5), Timer::Sweep);
    timers.schedule(at(5), Timer::ClientDeadline(RequestId(1)));
    timers.schedule(at(5), Timer::AttemptTimeout(AttemptId { request: RequestId(2), number: 0 }));
    timers.schedule(at(5), Timer::Gateway(9));
    timers.schedule(at(4), Timer::CheckAccepting);
    timers.schedule(at(6), Timer::Gateway(1));
    assert_eq!(timers.next_due_at(), Some(at(4)));
    let due = timers.take_due(at(5));
    let expected = [
        Timer::CheckAccepting,
        Timer::Gateway(9),
        Timer::AttemptTimeout(AttemptId { request: RequestId(2), number: 0 }),
        Timer::ClientDeadline(RequestId(1)),
        Timer::Sweep,
        Timer::ReplyDeadline,
    ];
    assert_eq!((due.as_slice(), timers.next_due_at()), (expected.as_slice(), Some(at(6))));
}

/// Outdated timers are removed. The others keep their order, and none of them is lost.
#[test]
fn timers_that_are_retained_keep_their_order() {
    let mut timers = TimerQueue::default();
    for number in (0..100).rev() {
        timers.schedule(at(number), Timer::ClientDeadline(RequestId(number)));
    }
    timers.schedule(at(50), Timer::Sweep);
    timers.retain(|timer| !matches!(timer, Timer::ClientDeadline(RequestId(number)) if number % 10 > 0));
    assert_eq!(timers.len(), 11);
    let due = timers.take_due(at(50));
    let deadlines = [0, 10, 20, 30, 40, 50].map(|number| Timer::ClientDeadline(RequestId(number)));
    assert_eq!(due, [&deadlines[..], &[Timer::Sweep]].concat());
}
