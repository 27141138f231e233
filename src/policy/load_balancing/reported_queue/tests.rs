//! Tests of [`super`].

use super::*;

/// When the report comes.
const NOW: Instant = Instant::from_micros(100_000_000);

/// A backend reports a queue once and then nothing more. The queue is taken to empty with time.
#[test]
fn a_report_counts_less_and_less() {
    let mut queue = ReportedQueue::default();
    queue.report(20.0, NOW);
    assert_eq!(queue.depth_at(NOW), 20.0);
    let later = queue.depth_at(NOW + REPORT_TIME_CONSTANT * 5);
    assert!(later < 0.2, "{later}");
}

/// A report is nonsense: it counts as the deepest queue that is believed, or as none.
#[test]
fn reports_beyond_belief_are_limited() {
    let mut queue = ReportedQueue::default();
    queue.report(f64::INFINITY, NOW);
    assert_eq!(queue.depth_at(NOW), MAX_DEPTH);
    queue.report(-5.0, NOW);
    assert_eq!(queue.depth_at(NOW), 0.0);
}

/// A backend rejects attempts of this gateway, one of thirty: the queue there counts as one request longer
/// for each gateway with each rejection.
#[test]
fn a_rejection_counts_for_all_gateways() {
    let mut queue = ReportedQueue::default();
    queue.report(5.0, NOW);
    queue.record_rejection(30);
    assert_eq!(queue.depth_at(NOW), 35.0);
    queue.clear();
    assert_eq!(queue.depth_at(NOW), 0.0);
}
