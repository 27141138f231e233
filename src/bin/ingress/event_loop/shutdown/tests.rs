//! Tests of [`super`].

use super::*;

const STARTED: Instant = Instant::from_micros(1_000_000_000);
/// Time after the signal in which requests are served, at its maximum.
const LONGEST_REPLY_TIME: Duration = Duration::from_millis(3400);

/// After SIGTERM, requests are served until the longest deadline of a request has passed, bounded by the time
/// before SIGKILL. A later end would lose the requests that are open at SIGKILL; an earlier one would fail
/// requests that could be served. A second SIGTERM has no effect.
#[test]
fn the_reply_deadline_follows_the_longest_deadline_up_to_a_bound() {
    for (longest_deadline, reply_time) in [
        (Duration::ZERO, Duration::from_millis(400)),
        (Duration::from_millis(900), Duration::from_millis(1300)),
        (Duration::from_secs(60), LONGEST_REPLY_TIME),
    ] {
        let mut shutdown = Shutdown::new(longest_deadline);
        assert!(
            !shutdown.is_past_reply_deadline(Instant::FAR_FUTURE - Duration::MICROSECOND)
                && !shutdown.has_begun()
        );
        assert_eq!(shutdown.begin(STARTED), Some(STARTED + reply_time));
        assert_eq!(shutdown.begin(STARTED + Duration::MICROSECOND), None, "a second signal has no effect");
        let deadline = STARTED + reply_time;
        assert!(
            !shutdown.is_past_reply_deadline(deadline - Duration::MICROSECOND)
                && shutdown.is_past_reply_deadline(deadline)
        );
        let exit_at = deadline + Duration::from_millis(150);
        assert!(!shutdown.must_exit(exit_at - Duration::MICROSECOND) && shutdown.must_exit(exit_at));
    }
}

/// Clients that have not detected the shutdown connect after SIGTERM. The listener stays open while
/// connections arrive or accepting fails, and closes when none has arrived for 300 ms or a new request could
/// no longer be served.
#[test]
fn connections_are_accepted_while_they_arrive_and_time_is_left() {
    let mut shutdown = Shutdown::new(Duration::from_secs(3));
    shutdown.begin(STARTED);
    let now = STARTED + MIN_ACCEPTING_TIME;
    for (accepted, last_accepted_at, keeps) in [
        (AcceptOutcome::QueueEmpty, now - Duration::from_micros(299_999), true),
        (AcceptOutcome::QueueEmpty, now - Duration::from_micros(300_000), false),
        (AcceptOutcome::MorePending, Instant::ZERO, true),
        (AcceptOutcome::RetryLater, Instant::ZERO, true),
    ] {
        assert_eq!(shutdown.should_keep_accepting(now, accepted, last_accepted_at), keeps, "{accepted:?}");
    }
    let late = STARTED + LONGEST_REPLY_TIME - ACCEPTING_END_MARGIN;
    assert!(shutdown.should_keep_accepting(late - Duration::MICROSECOND, AcceptOutcome::MorePending, late));
    assert!(!shutdown.should_keep_accepting(late, AcceptOutcome::MorePending, late));
    shutdown.start_draining(late);
    assert!(shutdown.is_draining() && shutdown.is_past_reply_deadline(STARTED + LONGEST_REPLY_TIME));
}
