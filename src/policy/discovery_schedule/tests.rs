//! Tests of [`super`].

use super::*;

const MAX_INTERVAL: Duration = Duration::from_secs(10);
const NOW: Instant = Instant::from_micros(1_000_000_000);

/// Discovery has to be polled within ten seconds. Polls are due every five seconds, so that one of them may
/// fail. After a failure the next poll is due earlier, but never later than already scheduled.
#[test]
fn periodic_polls_are_due_twice_per_interval_and_earlier_after_a_failure() {
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

/// Discovery is down for a minute, and every poll fails. The delays grow, but the next poll starts at most
/// 5 s after the failed one began, before a change counts as delivered.
#[test]
fn failed_polls_are_repeated_within_five_seconds() {
    let mut schedule = PollSchedule::new(PollTimings::shared_service(MAX_INTERVAL, 300), 7);
    let mut now = NOW;
    for attempt in 0..20 {
        let pending = FailedPoll { started_at: now, request_sent: false };
        let next = schedule.on_failure(now, Some(pending));
        assert_eq!(next.is_first_failure, attempt == 0);
        assert!(
            next.at > now && next.at <= now + Duration::from_secs(5),
            "the poll after failure {attempt} is not due within 5 s"
        );
        now = next.at;
    }
    assert!(schedule.on_success(now, now), "polls had failed before");
}
