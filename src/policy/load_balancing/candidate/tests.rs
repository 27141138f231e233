//! Tests of [`super`].

use super::*;

/// An idle, healthy backend in the gateway's own zone.
const IDLE: Candidate = Candidate {
    in_flight: 0,
    queue_depth: 0.0,
    fleet_size: 2,
    in_own_zone: true,
    failure_rate: 0.0,
    was_tried: false,
    is_ejected: false,
    weight: 1.0,
    draw: 0.0,
    step: 0,
};

/// Each disadvantage of a backend (load, zone, failures, an earlier attempt, ejection, capacity) raises the
/// cost by its own factor. The factors decide which of several imperfect backends is chosen.
#[test]
fn each_disadvantage_raises_the_cost_by_its_factor() {
    assert_eq!(IDLE.cost(), 1.0);
    assert_eq!(Candidate { in_flight: 3, ..IDLE }.cost(), 4.0);
    assert_eq!(Candidate { in_own_zone: false, ..IDLE }.cost(), 1.05);
    assert_eq!(Candidate { failure_rate: 0.5, ..IDLE }.cost(), 6.0);
    assert_eq!(Candidate { was_tried: true, ..IDLE }.cost(), 8.0);
    assert_eq!(Candidate { is_ejected: true, ..IDLE }.cost(), 10.0);
    assert_eq!(Candidate { weight: 0.25, ..IDLE }.cost(), 4.0);
}

/// Equal candidates differ by jitter of at most a tenth, which never outweighs one more attempt in flight
/// at a backend with few.
#[test]
fn jitter_raises_the_cost_by_at_most_a_tenth() {
    let costs = (0..1000).map(|step| Candidate { draw: 0.7, step, ..IDLE }.cost());
    let (least, most) = costs.fold((f64::MAX, 0.0), |(least, most), cost| (cost.min(least), cost.max(most)));
    assert!(
        (1.0..1.01).contains(&least) && (1.09..1.1).contains(&most),
        "the cost ranges from {least} to {most}"
    );
}

/// A backend reports a queue of twelve requests. Each of three gateways counts a third of it as its own
/// load. With a hundred gateways each counts a quarter, since a queue indicates overload however many
/// gateways share it.
#[test]
fn a_reported_queue_is_divided_among_at_most_four_gateways() {
    let queueing = Candidate { queue_depth: 12.0, ..IDLE };
    assert_eq!(Candidate { fleet_size: 3, ..queueing }.cost(), 5.0);
    assert_eq!(Candidate { fleet_size: 100, ..queueing }.cost(), 4.0);
}

/// An ejected candidate, or one with a failure rate above 0.4, doesn't end the search for a healthy one.
/// Otherwise requests would be sent to failing backends while there are healthy ones further on in the
/// list.
#[test]
fn candidates_that_are_ejected_or_fail_often_are_suspect() {
    assert!(!Candidate { failure_rate: 0.4, ..IDLE }.is_suspect());
    assert!(Candidate { failure_rate: 0.41, ..IDLE }.is_suspect());
    assert!(Candidate { is_ejected: true, ..IDLE }.is_suspect());
}
