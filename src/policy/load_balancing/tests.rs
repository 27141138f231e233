//! Tests of [`super`].

use super::*;
use crate::policy::{EndedAttempt, HealthSignal};
use crate::{Class, Duration, Endpoint, Idempotency, IdempotencyScope, Rules};
use std::collections::BTreeMap;

const NOW: Instant = Instant::from_micros(100_000_000);
const OWN_ZONE: u8 = 0;
const CLASS: usize = 0;

/// Load balancer of a gateway, with its backends.
struct Harness {
    balancer: LoadBalancer,
    backends: BackendTable,
    outlier_detector: OutlierDetector,
}

impl Harness {
    /// Creates a gateway in a fleet of three with these endpoints.
    fn new(endpoints: Vec<Endpoint>) -> Harness {
        let class = Class {
            latency_objective: Duration::from_millis(400),
            latency_objective_stretch: 0.0,
            deadline: Duration::from_secs(2),
            late_weight: 0.0,
            idempotency: Idempotency::Idempotent,
            streaming: false,
        };
        let rules = Rules {
            slow_start_floor: 0.2,
            slow_start_duration: Duration::from_secs(20),
            overload_factor: 2.0,
            overload_window: Duration::from_secs(1),
            ..Rules::default()
        };
        let settings = Settings { zone: OWN_ZONE, classes: vec![class], rules, ..Settings::default() };
        let mut backends = BackendTable::new(&settings);
        backends.replace_all(endpoints);
        let outlier_detector = OutlierDetector::new(&settings.classes, NOW);
        Harness { balancer: LoadBalancer::new(&settings, 3), backends, outlier_detector }
    }

    /// Creates a gateway with this many backends in its own zone, numbered from 0.
    fn with_backends(count: u64) -> Harness {
        Harness::new((0..count).map(endpoint).collect())
    }

    /// Chooses a backend for an attempt within `scope`.
    fn choose(&self, seed: u64, attempts: &[Attempt], scope: &RetryScope) -> Result<BackendId, NoBackend> {
        let Harness { backends, outlier_detector, .. } = self;
        let context =
            ChoiceContext { now: NOW, seed, class: CLASS, attempts, scope, backends, outlier_detector };
        self.balancer.choose(&context)
    }

    /// Counts how often each backend is chosen in 1000 choices for first attempts.
    fn choices(&self) -> BTreeMap<u64, usize> {
        let mut choices = BTreeMap::new();
        for seed in 0..1000 {
            let chosen = self.choose(seed, &[], &RetryScope::Anywhere).expect("a backend is available");
            *choices.entry(chosen.0).or_default() += 1;
        }
        choices
    }

    /// Records two failed attempts at a backend, which eject it.
    fn eject(&mut self, backend: u64) {
        let attempt = EndedAttempt { now: NOW, class: CLASS, zone: OWN_ZONE, signal: HealthSignal::Failure };
        let health = &mut self.backends.get_mut(BackendId(backend)).expect("the backend is listed").health;
        for _ in 0..2 {
            self.outlier_detector.record_outcome(health, &attempt);
        }
        assert!(health.is_ejected(CLASS, 0, NOW));
    }
}

/// Returns an endpoint in the gateway's own zone that started long ago.
fn endpoint(id: u64) -> Endpoint {
    Endpoint { backend: BackendId(id), zone: OWN_ZONE, size: 1.0, ..Endpoint::default() }
}

/// Returns an ended attempt at a backend.
fn attempt_at(id: u64) -> Attempt {
    Attempt {
        endpoint: endpoint(id),
        sent_at: NOW,
        in_flight: false,
        cancelled: false,
        never_executed: false,
    }
}

/// Four equal backends share the attempts: each gets some, and none gets twice the mean. If all gateways
/// chose the first one, it would be overloaded while the others are idle.
#[test]
fn attempts_are_spread_over_equal_backends() {
    let choices = Harness::with_backends(4).choices();
    let mean = choices.values().sum::<usize>() / 4;
    assert!(choices.len() == 4 && choices.values().all(|count| *count < 2 * mean), "{choices:?}");
}

/// One of four backends has an attempt in flight. The next request is sent to an idle one, where it doesn't
/// wait.
#[test]
fn the_least_loaded_backend_is_chosen() {
    let mut harness = Harness::with_backends(4);
    harness.backends.get_mut(BackendId(2)).expect("the backend is listed").begin_attempt(NOW, Duration::ZERO);
    assert!(!harness.choices().contains_key(&2));
}

/// One backend is ejected, so the others are chosen even while they are loaded. Once all are ejected they
/// are chosen as before; requests that are held back would only fail later.
#[test]
fn ejected_backends_are_avoided_but_not_excluded() {
    let mut harness = Harness::with_backends(3);
    harness.eject(0);
    for id in [1, 2] {
        let backend = harness.backends.get_mut(BackendId(id)).expect("the backend is listed");
        (0..5).for_each(|_| backend.begin_attempt(NOW, Duration::ZERO));
    }
    assert!(!harness.choices().contains_key(&0));
    for id in [1, 2] {
        harness.eject(id);
    }
    assert!(harness.choices().contains_key(&0));
}

/// The retry of a failed attempt is sent to another backend, since the first one would probably fail again.
/// If there is no other backend, it is sent to the same one.
#[test]
fn a_retry_goes_to_another_backend() {
    let harness = Harness::with_backends(3);
    for seed in 0..100 {
        assert_ne!(harness.choose(seed, &[attempt_at(1)], &RetryScope::Anywhere), Ok(BackendId(1)));
    }
    let alone = Harness::with_backends(1);
    assert_eq!(alone.choose(1, &[attempt_at(0)], &RetryScope::Anywhere), Ok(BackendId(0)));
}

/// A backend that reports a long queue is avoided. After its restart the queue is empty, and the old report
/// no longer applies.
#[test]
fn a_backend_with_a_reported_queue_is_avoided_until_it_restarts() {
    let mut harness = Harness::with_backends(3);
    harness.backends.get_mut(BackendId(0)).expect("the backend is listed").reported_queue.report(50.0, NOW);
    assert!(!harness.choices().contains_key(&0));
    let restarted = Endpoint { started_at: Some(Instant::ZERO), ..endpoint(0) };
    harness.backends.apply_change(restarted);
    assert!(harness.choices().contains_key(&0));
}

/// No backend is ready. The choice returns that reason, so that an operator who reads the log of a rejected
/// request looks for the fault in discovery and not at the backends.
#[test]
fn a_choice_without_ready_backends_returns_none_ready() {
    let harness = Harness::with_backends(0);
    assert_eq!(harness.choose(1, &[], &RetryScope::Anywhere), Err(NoBackend::NoneReady));
}

/// A keyed request may be retried only in the zone of its first attempt, where no backend is left. A
/// backend of another zone does not have the key and would execute the request a second time.
#[test]
fn no_backend_outside_of_the_retry_scope_is_chosen() {
    let harness = Harness::with_backends(3);
    let elsewhere = Endpoint { zone: OWN_ZONE + 1, ..endpoint(9) };
    let scope = RetryScope::Within(IdempotencyScope::Zone, elsewhere);
    assert_eq!(harness.choose(1, &[], &scope), Err(NoBackend::OutOfScope));
}

/// The only backend has just started and has received its maximum number of attempts. The request has to
/// wait; one more attempt from each gateway would overload the backend.
#[test]
fn a_backend_in_slow_start_over_its_budget_is_not_chosen() {
    let mut harness = Harness::new(vec![Endpoint { started_at: Some(NOW), ..endpoint(0) }]);
    let window = Duration::from_secs(1);
    harness.backends.get_mut(BackendId(0)).expect("the backend is listed").begin_attempt(NOW, window);
    assert_eq!(harness.choose(1, &[], &RetryScope::Anywhere), Err(NoBackend::SlowStart));
}
