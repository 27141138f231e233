//! Tests of [`super`].

use super::*;

const NOW: Instant = Instant::from_micros(100_000_000);

/// A backend reports a long queue once and nothing afterwards. The report decays; otherwise the backend
/// would get no more requests, and so could never report a shorter queue.
#[test]
fn a_report_decays() {
    let mut queue = ReportedQueue::default();
    queue.report(20.0, NOW);
    assert_eq!(queue.depth_at(NOW), 20.0);
    let later = queue.depth_at(NOW + REPORT_TIME_CONSTANT * 5);
    assert!(later < 0.2, "{later}");
}

/// A backend reports an infinite or a negative queue. The depth is clamped, so that one faulty report
/// neither excludes a backend permanently nor draws all requests to it.
#[test]
fn implausible_reports_are_clamped() {
    let mut queue = ReportedQueue::default();
    queue.report(f64::INFINITY, NOW);
    assert_eq!(queue.depth_at(NOW), MAX_DEPTH);
    queue.report(-5.0, NOW);
    assert_eq!(queue.depth_at(NOW), 0.0);
}

/// A backend rejects an attempt of one of thirty gateways because its queue is full. The other gateways
/// send to it as well, so the queue counts as thirty requests longer, and the next attempts are sent
/// elsewhere.
#[test]
fn a_rejection_counts_for_all_gateways() {
    let mut queue = ReportedQueue::default();
    queue.report(5.0, NOW);
    queue.record_rejection(30);
    assert_eq!(queue.depth_at(NOW), 35.0);
    queue.clear();
    assert_eq!(queue.depth_at(NOW), 0.0);
}
