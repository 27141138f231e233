//! Tests of [`super`].

use super::*;

const OBJECTIVE: Duration = Duration::from_millis(400);

/// Returns an attempt that this gateway observed.
fn observation(class: usize, latency_micros: Option<f64>) -> Observation {
    Observation { backend: BackendId(7), class, latency_micros, source: ObservationSource::Own }
}

/// An answer took half its latency objective. Peers receive that share and the tag of the backend, and so
/// include its speed in their own choices without sending a request.
#[test]
fn peers_receive_the_latency_as_a_share_of_the_objective() {
    let sample = observation(3, Some(200_000.0)).to_sample(OBJECTIVE).expect("the class can be encoded");
    let expected = LatencySample { backend_tag: backend_tag(7), class: 3, objective_ratio: Some(0.5) };
    assert_eq!(sample, expected);
}

/// The sample of a failure is sent in more messages than that of a success, since each peer that doesn't
/// receive it sends a client's request to the same backend.
#[test]
fn failures_are_sent_in_more_messages() {
    let (success, failure) = (observation(0, Some(1.0)), observation(0, None));
    assert_eq!(failure.to_sample(OBJECTIVE).map(|sample| sample.objective_ratio), Some(None));
    assert!(failure.copies() > success.copies());
}

/// Messages have few bits for the class. An attempt of a class beyond them is not reported; a truncated
/// class would change the latencies recorded for another one.
#[test]
fn a_class_that_messages_cannot_encode_is_not_reported() {
    assert!(observation(MAX_CLASS, None).to_sample(OBJECTIVE).is_some());
    assert_eq!(observation(MAX_CLASS + 1, None).to_sample(OBJECTIVE), None);
}
