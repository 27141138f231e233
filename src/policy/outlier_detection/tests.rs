//! Tests of [`super`].

use super::*;
use crate::policy::EjectionReason;
use crate::{Duration, Idempotency};

const START: Instant = Instant::from_micros(100_000_000);
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Class of the requests in these tests unless stated otherwise.
const CLASS: usize = 0;
const OTHER_CLASS: usize = 1;
const ZONE: u8 = 3;

/// Returns the time this many milliseconds after [`START`].
fn after_millis(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

/// Returns a detector for two classes.
fn detector() -> OutlierDetector {
    let class = Class {
        latency_objective: OBJECTIVE,
        latency_objective_stretch: 0.0,
        deadline: OBJECTIVE,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        streaming: false,
    };
    OutlierDetector::new(&[class.clone(), class], START)
}

/// Returns the health of a backend without recorded attempts.
fn backend() -> BackendHealth {
    BackendHealth::new(2)
}

/// Returns the end of an attempt of [`CLASS`].
fn ended(signal: HealthSignal, now: Instant) -> EndedAttempt {
    EndedAttempt { now, class: CLASS, zone: ZONE, signal }
}

/// Records the end of this many attempts, all with the same signal and at the same time.
fn end_attempts(
    detector: &mut OutlierDetector,
    health: &mut BackendHealth,
    count: usize,
    signal: HealthSignal,
    now: Instant,
) {
    for _ in 0..count {
        detector.record_outcome(health, &ended(signal, now));
    }
}

/// Returns the ejection, and panics at any other change.
fn ejection(change: Option<HealthChange>) -> Ejection {
    match change {
        Some(HealthChange::Ejected(ejection)) => ejection,
        other => panic!("expected an ejection, got {other:?}"),
    }
}

/// One error may be a coincidence. After a second one more than a quarter of the backend's recent attempts
/// have failed, so it is ejected for the class that failed.
#[test]
fn repeated_failures_eject_a_backend_for_their_class() {
    let (mut detector, mut health) = (detector(), backend());
    assert_eq!(detector.record_outcome(&mut health, &ended(HealthSignal::Failure, START)), None);
    let change = detector.record_outcome(&mut health, &ended(HealthSignal::Failure, START));
    let Ejection { reason, failure_rate, until } = ejection(change);
    assert_eq!((reason, until), (EjectionReason::Failures, after_millis(500)));
    assert!((0.25..0.3).contains(&failure_rate), "{failure_rate}");
    assert!(health.is_ejected(CLASS, 0, START));
    assert!(!health.is_ejected(OTHER_CLASS, 0, START));
}

/// An overloaded backend rejects every attempt. It answers, so it is neither ejected nor silent; it only
/// needs less load.
#[test]
fn rejections_do_not_eject_a_backend() {
    let (mut detector, mut health) = (detector(), backend());
    for _ in 0..20 {
        assert_eq!(detector.record_outcome(&mut health, &ended(HealthSignal::Rejection, START)), None);
    }
    assert_eq!(health.eject_if_silent(CLASS, START, after_millis(100)), SilenceCheck::Answering);
    assert_eq!(detector.failure_rate(&health, CLASS, ZONE, START), 0.0);
}

/// A backend has answered no attempt of a class for too long, which ejects it. Other attempts that were
/// sent at the same time don't extend the ejection.
#[test]
fn silence_ejects_a_backend_once_for_all_its_attempts() {
    let mut health = backend();
    let silence = health.eject_if_silent(CLASS, START, after_millis(100));
    let SilenceCheck::Silent { ejection: Some(ejection) } = silence else { panic!("{silence:?}") };
    assert_eq!((ejection.reason, ejection.until), (EjectionReason::Silence, after_millis(600)));
    let next = health.eject_if_silent(CLASS, START, after_millis(110));
    assert_eq!(next, SilenceCheck::Silent { ejection: None });
}

/// A request is late, but its backend has answered another one since: the request is slow, and the backend
/// is not silent.
#[test]
fn a_backend_that_answered_after_the_send_is_not_silent() {
    let (mut detector, mut health) = (detector(), backend());
    detector.record_outcome(&mut health, &ended(HealthSignal::Success, after_millis(50)));
    assert_eq!(health.eject_if_silent(CLASS, START, after_millis(100)), SilenceCheck::Answering);
    assert!(health.eject_if_silent(CLASS, after_millis(60), after_millis(100)).is_silent());
}

/// A backend fails each time it is tried after an ejection. Each ejection lasts twice as long as the
/// previous one, up to eight times the first, so that a failing backend costs few attempts and is still
/// found once it recovers.
#[test]
fn the_ejection_time_doubles_up_to_a_limit() {
    let (mut detector, mut health) = (detector(), backend());
    detector.record_outcome(&mut health, &ended(HealthSignal::Failure, START));
    let mut now = START;
    for expected_millis in [500, 1000, 2000, 4000, 4000] {
        let change = detector.record_outcome(&mut health, &ended(HealthSignal::Failure, now));
        let until = ejection(change).until;
        assert_eq!(until.duration_since(now), Duration::from_millis(expected_millis));
        assert!(health.is_ejected(CLASS, 0, until - Duration::MICROSECOND));
        now = until;
    }
}

/// After the ejection time a single attempt at a time tries the backend. It succeeds while the failure rate
/// is low, so the backend returns to service, and the next ejection is as short as a first one.
#[test]
fn a_success_after_the_ejection_time_returns_a_backend_to_service() {
    let (mut detector, mut health) = (detector(), backend());
    end_attempts(&mut detector, &mut health, 2, HealthSignal::Failure, START);
    let later = after_millis(2000);
    assert!(!health.is_ejected(CLASS, 0, later), "one attempt may try the backend");
    assert!(health.is_ejected(CLASS, 1, later), "a second attempt may not");
    let change = detector.record_outcome(&mut health, &ended(HealthSignal::Success, later));
    assert!(
        matches!(change, Some(HealthChange::Returned { failure_rate }) if failure_rate < 0.25),
        "{change:?}"
    );
    assert!(!health.is_ejected(CLASS, 1, later));
    let silence = health.eject_if_silent(CLASS, after_millis(3000), after_millis(3100));
    let SilenceCheck::Silent { ejection: Some(ejection) } = silence else { panic!("{silence:?}") };
    assert_eq!(ejection.until, after_millis(3600));
}

/// A backend with a high failure rate stays ejected after one success, until enough attempts have
/// succeeded.
#[test]
fn a_backend_returns_only_once_its_failure_rate_is_low() {
    let (mut detector, mut health) = (detector(), backend());
    end_attempts(&mut detector, &mut health, 10, HealthSignal::Failure, START);
    assert_eq!(detector.record_outcome(&mut health, &ended(HealthSignal::Success, START)), None);
    let successes = (1..12).find(|_| {
        let change = detector.record_outcome(&mut health, &ended(HealthSignal::Success, START));
        matches!(change, Some(HealthChange::Returned { .. }))
    });
    assert!((3..12).contains(&successes.unwrap_or(0)), "{successes:?}");
}

/// Peers report that a backend fails. Its failure rate rises for every class before this gateway has lost a
/// request there, but only this gateway's own attempts eject it.
#[test]
fn failures_reported_by_peers_count_for_all_classes_but_do_not_eject() {
    let (detector, mut health) = (detector(), backend());
    (0..20).for_each(|_| health.record_peer_attempt(START, true));
    for class in [CLASS, OTHER_CLASS] {
        assert!(detector.failure_rate(&health, class, ZONE, START) > 0.9);
        assert!(!health.is_ejected(class, 1, START));
    }
}

/// A zone is unreachable. After a few failed connections all its backends are avoided, including those that
/// were not tried yet. One established connection proves that the zone can be reached again.
#[test]
fn failed_connections_count_for_all_backends_of_the_zone() {
    let (mut detector, mut tried, untried) = (detector(), backend(), backend());
    end_attempts(&mut detector, &mut tried, 3, HealthSignal::ConnectFailure, START);
    assert!(detector.failure_rate(&untried, CLASS, ZONE, START) > 0.6);
    assert_eq!(detector.failure_rate(&untried, CLASS, ZONE + 1, START), 0.0);
    detector.record_outcome(&mut tried, &ended(HealthSignal::Failure, START));
    assert_eq!(detector.failure_rate(&untried, CLASS, ZONE, START), 0.0);
}

/// A backend that failed gets no attempts. Its failure rate decays with time; otherwise it would never be
/// tried again.
#[test]
fn the_failure_rate_decays_without_attempts() {
    let (mut detector, mut health) = (detector(), backend());
    end_attempts(&mut detector, &mut health, 10, HealthSignal::Failure, START);
    let then = detector.failure_rate(&health, CLASS, ZONE, START);
    let later = detector.failure_rate(&health, CLASS, ZONE, after_millis(4000));
    assert!((later / then - (-1f64).exp()).abs() < 1e-9, "{then} fell to {later} within one time constant");
}

/// All answers take 40 ms, except those of one backend, which take 80 ms: its relative latency is 2. A
/// latency far above the unloaded one exceeds the highest normal latency even if the objective is met.
#[test]
fn latencies_are_compared_with_those_of_all_backends() {
    let (mut detector, mut usual, mut slow) = (detector(), backend(), backend());
    let answer = |latency_micros| AnswerSample {
        now: START,
        class: CLASS,
        latency_micros,
        source: ObservationSource::Own,
    };
    for _ in 0..200 {
        for _ in 0..10 {
            detector.record_answer(&mut usual, &answer(40_000.0));
        }
        detector.record_answer(&mut slow, &answer(80_000.0));
    }
    assert!((0.8..1.0).contains(&usual.relative_latency()), "{}", usual.relative_latency());
    assert!((1.7..2.1).contains(&slow.relative_latency()), "{}", slow.relative_latency());
    assert!(detector.record_answer(&mut usual, &answer(40_000.0)) < 0.5);
    assert!(detector.record_answer(&mut usual, &answer(200_000.0)) > 1.0);
}
