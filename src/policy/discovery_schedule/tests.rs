//! Tests of [`super`].

use super::*;

const MAX_INTERVAL: Duration = Duration::from_secs(10);
const NOW: Instant = Instant::from_micros(1_000_000_000);

/// Discovery has to be polled within ten seconds. Polls come every five, so that one that is lost breaks no
/// rule; after one that failed the next comes sooner, but never later than it was due anyway.
#[test]
fn periodic_polls_come_twice_in_the_interval_and_sooner_after_a_failure() {
    let mut poll = PeriodicPoll::default();
    assert!(poll.take_due(NOW, MAX_INTERVAL));
    assert!(!poll.take_due(NOW + MAX_INTERVAL / 2 - Duration::MICROSECOND, MAX_INTERVAL));
    assert!(poll.take_due(NOW + MAX_INTERVAL / 2, MAX_INTERVAL));
    poll.on_failure(NOW + MAX_INTERVAL / 2, MAX_INTERVAL);
    let retry_at = NOW + MAX_INTERVAL / 2 + MAX_INTERVAL / 8;
    assert!(!poll.take_due(retry_at - Duration::MICROSECOND, MAX_INTERVAL));
    poll.on_failure(retry_at - Duration::MICROSECOND, MAX_INTERVAL);
    assert!(poll.take_due(retry_at, MAX_INTERVAL));
}

/// Discovery is down for a minute, and a poll fails each time. The delays grow, but no ingress stays away for
/// so long that a change would count as delivered before the ingress had asked: at the latest five seconds
/// after the failed poll began.
#[test]
fn failed_polls_are_repeated_within_the_rule() {
    let mut schedule = PollSchedule::new(PollTimings::shared_service(MAX_INTERVAL, 300), 7);
    let mut now = NOW;
    for attempt in 0..20 {
        let pending = FailedPoll { started_at: now, request_sent: false };
        let next = schedule.on_failure(now, Some(pending));
        assert_eq!(next.is_first_failure, attempt == 0);
        assert!(next.at > now && next.at <= now + Duration::from_secs(5), "attempt {attempt}");
        now = next.at;
    }
    assert!(schedule.on_success(), "polls had failed before");
}
