//! Tests of [`super`].

use super::*;
use crate::policy::{EndedAttempt, HealthSignal};
use crate::{Class, Duration, Endpoint, Idempotency, IdempotencyScope, Rules};
use std::collections::BTreeMap;

/// When the choices are made.
const NOW: Instant = Instant::from_micros(100_000_000);
/// The zone of the gateway.
const OWN_ZONE: u8 = 0;
/// The class of the requests.
const CLASS: usize = 0;

/// What a choice is made from.
struct Fixture {
    balancer: LoadBalancer,
    backends: BackendTable,
    outlier_detector: OutlierDetector,
}

impl Fixture {
    /// A gateway of three with backends 0, 1, ... as listed.
    fn new(endpoints: Vec<Endpoint>) -> Fixture {
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
        Fixture { balancer: LoadBalancer::new(&settings, 3), backends, outlier_detector }
    }

    /// A gateway with this many backends in its own zone.
    fn with_backends(count: u64) -> Fixture {
        Fixture::new((0..count).map(endpoint).collect())
    }

    /// The choice for an attempt that may go anywhere in `scope`, by one draw.
    fn choose(&self, seed: u64, attempts: &[Attempt], scope: &RetryScope) -> Result<BackendId, NoBackend> {
        let Fixture { backends, outlier_detector, .. } = self;
        let context =
            ChoiceContext { now: NOW, seed, class: CLASS, attempts, scope, backends, outlier_detector };
        self.balancer.choose(&context)
    }

    /// How often each backend is chosen in a thousand choices for first attempts.
    fn choices(&self) -> BTreeMap<u64, usize> {
        let mut choices = BTreeMap::new();
        for seed in 0..1000 {
            let chosen = self.choose(seed, &[], &RetryScope::Anywhere).expect("there are backends");
            *choices.entry(chosen.0).or_default() += 1;
        }
        choices
    }

    /// Records two failed attempts at a backend, by which it is ejected.
    fn eject(&mut self, backend: u64) {
        let attempt = EndedAttempt { now: NOW, class: CLASS, zone: OWN_ZONE, signal: HealthSignal::Failure };
        let health = &mut self.backends.get_mut(BackendId(backend)).expect("it is listed").health;
        for _ in 0..2 {
            self.outlier_detector.record_outcome(health, &attempt);
        }
        assert!(health.is_ejected(CLASS, 0, NOW));
    }
}

/// A backend in the gateway's own zone that started long ago.
fn endpoint(id: u64) -> Endpoint {
    Endpoint { backend: BackendId(id), zone: OWN_ZONE, size: 1.0, ..Endpoint::default() }
}

/// An attempt that went to a backend.
fn attempt_at(id: u64) -> Attempt {
    Attempt {
        endpoint: endpoint(id),
        sent_at: NOW,
        in_flight: false,
        cancelled: false,
        never_executed: false,
    }
}

/// Four backends differ in nothing. Chance spreads the attempts over them: none is left out, and none gets
/// twice its even part or more. If all gateways chose the first one, it would be overloaded while the others
/// stand idle.
#[test]
fn attempts_are_spread_over_backends_that_are_alike() {
    let choices = Fixture::with_backends(4).choices();
    let even_part = choices.values().sum::<usize>() / 4;
    assert!(choices.len() == 4 && choices.values().all(|count| *count < 2 * even_part), "{choices:?}");
}

/// One of four backends has an attempt in flight. The next request goes to an idle one, where it does not
/// have to wait.
#[test]
fn the_least_loaded_backend_is_chosen() {
    let mut fixture = Fixture::with_backends(4);
    fixture.backends.get_mut(BackendId(2)).expect("it is listed").begin_attempt(NOW, Duration::ZERO);
    assert!(!fixture.choices().contains_key(&2));
}

/// One backend is ejected: the others are chosen even while they are loaded. Once all are ejected, they are
/// chosen as before: requests that are held back would only fail later.
#[test]
fn ejected_backends_are_chosen_last_and_none_is_shut_out() {
    let mut fixture = Fixture::with_backends(3);
    fixture.eject(0);
    for id in [1, 2] {
        let backend = fixture.backends.get_mut(BackendId(id)).expect("it is listed");
        (0..5).for_each(|_| backend.begin_attempt(NOW, Duration::ZERO));
    }
    assert!(!fixture.choices().contains_key(&0));
    for id in [1, 2] {
        fixture.eject(id);
    }
    assert!(fixture.choices().contains_key(&0));
}

/// An attempt at one backend failed. Its retry goes to another one, since the first would likely fail it
/// again; if there is no other, it goes to the same one rather than to none.
#[test]
fn a_retry_goes_to_another_backend() {
    let fixture = Fixture::with_backends(3);
    for seed in 0..100 {
        assert_ne!(fixture.choose(seed, &[attempt_at(1)], &RetryScope::Anywhere), Ok(BackendId(1)));
    }
    let alone = Fixture::with_backends(1);
    assert_eq!(alone.choose(1, &[attempt_at(0)], &RetryScope::Anywhere), Ok(BackendId(0)));
}

/// A backend reports a long queue, and requests go to others, where they need not wait. After a restart the
/// backend's queue is empty, and it gets requests again; the old report says nothing of the new process.
#[test]
fn a_backend_with_a_reported_queue_is_avoided_until_it_restarts() {
    let mut fixture = Fixture::with_backends(3);
    fixture.backends.get_mut(BackendId(0)).expect("it is listed").reported_queue.report(50.0, NOW);
    assert!(!fixture.choices().contains_key(&0));
    let restarted = Endpoint { started_at: Some(Instant::ZERO), ..endpoint(0) };
    fixture.backends.apply_change(restarted);
    assert!(fixture.choices().contains_key(&0));
}

/// No backend is listed as ready. The choice says so, rather than naming a backend or some other reason, so
/// that whoever reads the log of a rejected request looks at discovery and not at the backends.
#[test]
fn a_choice_without_ready_backends_gives_that_reason() {
    let fixture = Fixture::with_backends(0);
    assert_eq!(fixture.choose(1, &[], &RetryScope::Anywhere), Err(NoBackend::NoneReady));
}

/// A keyed request may be retried only in the zone of its first attempt, where no backend is left. No backend
/// of another zone is chosen, as it does not know the key and would execute the request a second time.
#[test]
fn outside_of_the_scope_no_backend_is_chosen() {
    let fixture = Fixture::with_backends(3);
    let elsewhere = Endpoint { zone: OWN_ZONE + 1, ..endpoint(9) };
    let scope = RetryScope::Within(IdempotencyScope::Zone, elsewhere);
    assert_eq!(fixture.choose(1, &[], &scope), Err(NoBackend::OutOfScope));
}

/// The only backend has just started, and was sent as much as it can bear. It is not chosen, and the request
/// has to wait; one request more from each gateway would overload the backend at its start.
#[test]
fn a_backend_in_slow_start_that_was_sent_enough_is_not_chosen() {
    let mut fixture = Fixture::new(vec![Endpoint { started_at: Some(NOW), ..endpoint(0) }]);
    let window = Duration::from_secs(1);
    fixture.backends.get_mut(BackendId(0)).expect("it is listed").begin_attempt(NOW, window);
    assert_eq!(fixture.choose(1, &[], &RetryScope::Anywhere), Err(NoBackend::SlowStart));
}
