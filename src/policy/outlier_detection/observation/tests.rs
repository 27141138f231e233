//! Tests of [`super`].

use super::*;

/// The latency objective of the class.
const OBJECTIVE: Duration = Duration::from_millis(400);

/// An attempt that this gateway saw.
fn observation(class: usize, latency_micros: Option<f64>) -> Observation {
    Observation { backend: BackendId(7), class, latency_micros, source: ObservationSource::Own }
}

/// An answer took half its latency objective. Peers get that share and the tag of the backend, by which each of
/// them knows, without a request of its own, that the backend is fast or slow.
#[test]
fn peers_get_the_latency_as_a_share_of_the_objective() {
    let sample = observation(3, Some(200_000.0)).to_sample(OBJECTIVE).expect("the class can be named");
    let expected = LatencySample { backend_tag: backend_tag(7), class: 3, objective_ratio: Some(0.5) };
    assert_eq!(sample, expected);
}

/// An attempt failed. The failure is sent with more messages than a success is, since each peer that does not hear
/// of it sends a client's request to the same backend.
#[test]
fn failures_are_sent_more_often() {
    let (success, failure) = (observation(0, Some(1.0)), observation(0, None));
    assert_eq!(failure.to_sample(OBJECTIVE).map(|sample| sample.objective_ratio), Some(None));
    assert!(failure.copies() > success.copies());
}

/// Messages have few bits for the class of a request. Attempts of the classes beyond them are not reported; their
/// class would be cut to that of another one, whose backends would seem faster or slower than they are.
#[test]
fn a_class_that_messages_cannot_name_is_not_reported() {
    assert!(observation(MAX_CLASS, None).to_sample(OBJECTIVE).is_some());
    assert_eq!(observation(MAX_CLASS + 1, None).to_sample(OBJECTIVE), None);
}
