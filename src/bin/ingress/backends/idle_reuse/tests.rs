//! Tests of [`super`].

use super::*;

/// An idle time in the bucket from 256 to 512 ms.
const IDLE_TIME: Duration = Duration::from_millis(260);
/// Lower bound of that bucket.
const BUCKET_START: Duration = Duration::from_millis(256);

/// Returns a tracker that has recorded this number of stale reuses, all after [`IDLE_TIME`].
fn tracker_after_stale_uses(stale_uses: usize) -> IdleReuseTracker {
    let mut tracker = IdleReuseTracker::default();
    (0..stale_uses).for_each(|_| tracker.record(IDLE_TIME, ReuseOutcome::Stale));
    tracker
}

/// Returns the number of sweeps after which connections are reused after [`IDLE_TIME`] again.
fn sweeps_until_reuse(mut tracker: IdleReuseTracker) -> usize {
    let mut sweeps = 0;
    while tracker.max_idle_time() <= IDLE_TIME {
        tracker.decay();
        sweeps += 1;
    }
    sweeps
}

/// A firewall drops connections that were idle for a quarter of a second. After three failed requests the
/// ingress no longer reuses connections after that idle time, but still reuses those that were idle for less.
#[test]
fn an_idle_time_is_avoided_after_three_stale_reuses() {
    assert_eq!(tracker_after_stale_uses(2).max_idle_time(), Duration::MAX);
    assert_eq!(tracker_after_stale_uses(3).max_idle_time(), BUCKET_START);
}

/// The firewall is removed later. Unless the ingress retried the idle time, it would open a new connection
/// for each request permanently. Each retry may fail one request, so after four failures the idle time must
/// be avoided for at least 4 s, which are eight sweeps. `tests/ingress/backend_connections.rs` allows only
/// for these failures.
#[test]
fn an_avoided_idle_time_is_retried_after_four_seconds_at_the_earliest() {
    assert!(sweeps_until_reuse(tracker_after_stale_uses(4)) > 8);
    let mut tracker = tracker_after_stale_uses(4);
    (0..9).for_each(|_| tracker.decay());
    assert_eq!(tracker.max_idle_time(), BUCKET_START, "avoided for nine sweeps, 4.5 s");
    tracker.decay();
    assert_eq!(tracker.max_idle_time(), Duration::MAX);
}

/// Some connections fail regardless of their idle time, for example when a backend restarts. If one failure
/// among many reuses made the ingress avoid the idle time, each request would need a new connection.
#[test]
fn a_small_fraction_of_stale_reuses_is_accepted() {
    let mut tracker = tracker_after_stale_uses(1);
    (0..4).for_each(|_| tracker.record(IDLE_TIME, ReuseOutcome::Alive));
    assert_eq!(tracker.max_idle_time(), Duration::MAX);
}
