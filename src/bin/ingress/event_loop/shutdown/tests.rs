//! Tests of [`super`].

use super::*;

const STARTED: Micros = 1_000_000_000;

/// After SIGTERM requests are served for as long as the longest deadline of a request, but no longer than the
/// process has before SIGKILL. A later end would lose the requests that are still open when it is killed; an
/// earlier one would fail requests that could have been served. A second SIGTERM changes nothing.
#[test]
fn the_reply_deadline_follows_the_longest_deadline_up_to_a_bound() {
    for (longest_deadline, reply_time) in [(0, 400_000), (900_000, 1_300_000), (60_000_000, 3_400_000)] {
        let mut shutdown = Shutdown::new(longest_deadline);
        assert!(!shutdown.is_past_reply_deadline(Micros::MAX - 1) && !shutdown.has_begun());
        assert_eq!(shutdown.begin(STARTED), Some(STARTED + reply_time));
        assert_eq!(shutdown.begin(STARTED + 1), None, "a second signal changes nothing");
        let deadline = STARTED + reply_time;
        assert!(!shutdown.is_past_reply_deadline(deadline - 1) && shutdown.is_past_reply_deadline(deadline));
        assert!(!shutdown.must_exit(deadline + 149_999) && shutdown.must_exit(deadline + 150_000));
    }
}

/// Clients go on connecting after SIGTERM, as they have not heard of the shutdown. The listener stays open while
/// they come, and for as long as failed accepts may hide some; it closes when none has come for 0.3 s, or when a
/// new request could no longer be served.
#[test]
fn connections_are_accepted_while_they_come_and_time_is_left() {
    let mut shutdown = Shutdown::new(3_000_000);
    shutdown.begin(STARTED);
    let now = STARTED + MIN_ACCEPTING_TIME;
    for (accepted, last_accepted_at, keeps) in [
        (AcceptOutcome::Drained, now - 299_999, true),
        (AcceptOutcome::Drained, now - 300_000, false),
        (AcceptOutcome::MorePending, 0, true),
        (AcceptOutcome::NoDescriptor, 0, true),
    ] {
        assert_eq!(shutdown.keeps_accepting(now, accepted, last_accepted_at), keeps, "{accepted:?}");
    }
    let late = STARTED + 3_400_000 - MIN_ACCEPTING_TIME;
    assert!(shutdown.keeps_accepting(late - 1, AcceptOutcome::MorePending, late));
    assert!(!shutdown.keeps_accepting(late, AcceptOutcome::MorePending, late));
    shutdown.start_draining(late);
    assert!(shutdown.is_draining() && shutdown.is_past_reply_deadline(STARTED + 3_400_000));
}
