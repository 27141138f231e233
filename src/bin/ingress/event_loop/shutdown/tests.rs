//! Tests of [`super`].

use super::*;

const STARTED: Instant = Instant::from_micros(1_000_000_000);
/// How long requests with long deadlines are served after the signal.
const LONGEST_REPLY_TIME: Duration = Duration::from_millis(3400);

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
        assert_eq!(shutdown.begin(STARTED + Duration::MICROSECOND), None, "a second signal changes nothing");
        let deadline = STARTED + reply_time;
        assert!(
            !shutdown.is_past_reply_deadline(deadline - Duration::MICROSECOND)
                && shutdown.is_past_reply_deadline(deadline)
        );
        let exit_at = deadline + Duration::from_millis(150);
        assert!(!shutdown.must_exit(exit_at - Duration::MICROSECOND) && shutdown.must_exit(exit_at));
    }
}

#[test]
fn connections_are_accepted_while_they_come_and_time_is_left() {
    let mut shutdown = Shutdown::new(Duration::from_secs(3));
    shutdown.begin(STARTED);
    let now = STARTED + MIN_ACCEPTING_TIME;
    for (accepted, last_accepted_at, keeps) in [
        (AcceptOutcome::Drained, now - Duration::from_micros(299_999), true),
        (AcceptOutcome::Drained, now - Duration::from_micros(300_000), false),
        (AcceptOutcome::MorePending, Instant::ZERO, true),
        (AcceptOutcome::NoDescriptor, Instant::ZERO, true),
    ] {
        assert_eq!(shutdown.keeps_accepting(now, accepted, last_accepted_at), keeps, "{accepted:?}");
    }
    let late = STARTED + LONGEST_REPLY_TIME - MIN_ACCEPTING_TIME;
    assert!(shutdown.keeps_accepting(late - Duration::MICROSECOND, AcceptOutcome::MorePending, late));
    assert!(!shutdown.keeps_accepting(late, AcceptOutcome::MorePending, late));
    shutdown.start_draining(late);
    assert!(shutdown.is_draining() && shutdown.is_past_reply_deadline(STARTED + LONGEST_REPLY_TIME));
}
