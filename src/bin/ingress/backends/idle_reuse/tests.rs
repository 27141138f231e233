//! Tests of [`super`].

use super::*;

/// How long the connections were idle: in the bucket from 256 to 512 ms.
const IDLE_TIME: Duration = Duration::from_millis(260);
/// The idle times of that bucket begin here.
const BUCKET_START: Duration = Duration::from_millis(256);

/// A tracker that has seen so many connections dead after the idle time.
fn tracker_after_stale_uses(stale_uses: usize) -> IdleReuseTracker {
    let mut tracker = IdleReuseTracker::default();
    (0..stale_uses).for_each(|_| tracker.record(IDLE_TIME, ReuseOutcome::Stale));
    tracker
}

/// The sweeps after which connections are reused again after the idle time.
fn sweeps_until_reuse(mut tracker: IdleReuseTracker) -> usize {
    let mut sweeps = 0;
    while tracker.max_idle_time() <= IDLE_TIME {
        tracker.decay();
        sweeps += 1;
    }
    sweeps
}

/// A firewall drops connections that were idle for a quarter of a second. Three requests fail before the ingress knows;
/// from then on it opens a new connection after that idle time, and still reuses those that were idle for less.
#[test]
fn an_idle_time_after_which_connections_are_dead_is_avoided_from_the_third_one_on() {
    assert_eq!(tracker_after_stale_uses(2).max_idle_time(), Duration::MAX);
    assert_eq!(tracker_after_stale_uses(3).max_idle_time(), BUCKET_START);
}

/// The firewall is gone after a while. The ingress has to find that out, or it would open a new connection for each request
/// for ever, so it tries the idle time again once its counts have decayed: after four failures not within 4 s, which are
/// eight sweeps. Each such try may fail one request; the test of the program allows for just these.
#[test]
fn an_avoided_idle_time_is_tried_again_and_not_within_four_seconds() {
    assert!(sweeps_until_reuse(tracker_after_stale_uses(4)) > 8);
    let mut tracker = tracker_after_stale_uses(4);
    (0..9).for_each(|_| tracker.decay());
    assert_eq!(tracker.max_idle_time(), BUCKET_START, "avoided for four and a half seconds");
    tracker.decay();
    assert_eq!(tracker.max_idle_time(), Duration::MAX);
}

/// Some connections are dead after any idle time, as when a backend is restarted. One failure among many reuses must not
/// have the others avoided, or each request would need a new connection.
#[test]
fn a_few_dead_connections_among_many_change_nothing() {
    let mut tracker = tracker_after_stale_uses(1);
    (0..4).for_each(|_| tracker.record(IDLE_TIME, ReuseOutcome::Alive));
    assert_eq!(tracker.max_idle_time(), Duration::MAX);
}
