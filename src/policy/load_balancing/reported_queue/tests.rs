//! Tests of [`super`].

use super::*;

/// When the report comes.
const NOW: Instant = Instant::from_micros(100_000_000);

/// A backend reports a long queue once and then nothing more. The queue is taken to empty with time; otherwise the
/// backend would get no requests for good, and so could never report a shorter one.
#[test]
fn a_report_counts_less_and_less() {
    let mut queue = ReportedQueue::default();
    queue.report(20.0, NOW);
    assert_eq!(queue.depth_at(NOW), 20.0);
    let later = queue.depth_at(NOW + REPORT_TIME_CONSTANT * 5);
    assert!(later < 0.2, "{later}");
}

/// A backend reports an infinite or a negative queue. It counts as the deepest queue that is believed, or as none,
/// so that one faulty report neither removes a backend for good nor draws all requests to it.
#[test]
fn reports_beyond_belief_are_limited() {
    let mut queue = ReportedQueue::default();
    queue.report(f64::INFINITY, NOW);
    assert_eq!(queue.depth_at(NOW), MAX_DEPTH);
    queue.report(-5.0, NOW);
    assert_eq!(queue.depth_at(NOW), 0.0);
}

/// A backend rejects an attempt of one of thirty gateways because its queue is full. The others will send it
/// requests as well, so its queue counts as thirty requests longer, and the next attempts go elsewhere instead of
/// being rejected too.
#[test]
fn a_rejection_counts_for_all_gateways() {
    let mut queue = ReportedQueue::default();
    queue.report(5.0, NOW);
    queue.record_rejection(30);
    assert_eq!(queue.depth_at(NOW), 35.0);
    queue.clear();
    assert_eq!(queue.depth_at(NOW), 0.0);
}
