//! Tests of [`super`].

use super::*;

/// The latency objective of the class.
const OBJECTIVE: Duration = Duration::from_millis(400);

/// An attempt that this gateway saw.
fn observation(class: usize, latency_micros: Option<f64>) -> Observation {
    Observation { backend: BackendId(7), class, latency_micros, source: Source::Own }
}

/// An answer took half its objective. Peers are told that share, and the tag of the backend.
#[test]
fn peers_are_told_the_latency_as_a_share_of_the_objective() {
    let sample = observation(3, Some(200_000.0)).to_sample(OBJECTIVE).expect("the class can be named");
    let expected = LatencySample { backend_tag: backend_tag(7), class: 3, relative_latency: Some(0.5) };
    assert_eq!(sample, expected);
}

/// A failure goes along with more messages than a success: each peer has to learn of it.
#[test]
fn failures_are_sent_more_often() {
    let (success, failure) = (observation(0, Some(1.0)), observation(0, None));
    assert_eq!(failure.to_sample(OBJECTIVE).map(|sample| sample.relative_latency), Some(None));
    assert!(failure.retransmissions() > success.retransmissions());
}

/// Messages have few bits for the class: attempts of the classes beyond them are not reported.
#[test]
fn a_class_that_messages_cannot_name_is_not_reported() {
    assert!(observation(MAX_CLASS, None).to_sample(OBJECTIVE).is_some());
    assert_eq!(observation(MAX_CLASS + 1, None).to_sample(OBJECTIVE), None);
}
