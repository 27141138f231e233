//! Tests of [`super`].

use super::*;
use crate::{BackendId, Endpoint, GatewayId, Rules};

/// Start of the backend.
const START: Instant = Instant::from_micros(100_000_000);
/// Duration of slow start.
const DURATION: Duration = Duration::from_secs(20);
/// Overload window: a backend breaks down if it receives more than twice its capacity within this time.
const WINDOW: Duration = Duration::from_secs(1);

/// Returns the limits of one gateway in a fleet of `fleet_size`.
fn slow_start(own_id: u16, fleet_size: u64) -> SlowStart {
    let rules = Rules {
        slow_start_floor: 0.2,
        slow_start_duration: DURATION,
        overload_factor: 2.0,
        overload_window: WINDOW,
        ..Rules::default()
    };
    SlowStart::new(&Settings { own_id: GatewayId(own_id), rules, ..Settings::default() }, fleet_size)
}

fn backend(started_at: Option<Instant>) -> Backend {
    let endpoint = Endpoint { backend: BackendId(7), started_at, ..Endpoint::default() };
    Backend { endpoint, size: 1.0, ready: true, ..Backend::default() }
}

/// Sends a backend as many attempts as are allowed at `now`, at most 1000. Returns their number.
fn send_all_allowed(
    slow_start: &SlowStart,
    backend: &mut Backend,
    ready_capacity: f64,
    now: Instant,
) -> usize {
    let may_send = |backend: &Backend| slow_start.allows(backend, ready_capacity, now);
    (0..1000).take_while(|_| may_send(backend).then(|| backend.begin_attempt(now, WINDOW)).is_some()).count()
}

/// A backend starts with a fifth of its capacity and has all of it after 20 s. More load in between would
/// overload it; less would burden the other backends for longer than needed.
#[test]
fn the_capacity_share_grows_from_the_floor_to_one() {
    let (slow_start, starting) = (slow_start(0, 1), backend(Some(START)));
    let shares =
        [0, 10, 20, 30].map(|age| slow_start.capacity_share(&starting, START + Duration::from_secs(age)));
    for (share, expected) in shares.into_iter().zip([0.2, 0.6, 1.0, 1.0]) {
        assert!((share - expected).abs() < 1e-9, "{shares:?}");
    }
    assert_eq!(slow_start.capacity_share(&backend(None), START), 1.0);
}

/// One gateway sends 1000 attempts per second to ten backends, one of which has just started. In one window
/// the starting backend may receive 35% of twice its current capacity, which is a fifth of its fair share
/// of 100: 14. In the next window it may receive as many again.
#[test]
fn a_starting_backend_is_sent_a_limited_number_of_attempts_per_window() {
    let mut slow_start = slow_start(0, 1);
    (0..20_000u64).for_each(|step| slow_start.record_send(START - Duration::from_millis(20_000 - step)));
    let mut starting = backend(Some(START));
    let sent = send_all_allowed(&slow_start, &mut starting, 10.0, START);
    assert!((13..=15).contains(&sent), "{sent}");
    assert_eq!(send_all_allowed(&slow_start, &mut starting, 10.0, START + WINDOW / 2), 0);
    slow_start.record_send(START + WINDOW);
    assert!(send_all_allowed(&slow_start, &mut starting, 10.0, START + WINDOW) > 5);
}

/// A hundred gateways discover a backend that has just started, and the budget of each is less than one
/// attempt. One attempt from each would overload the backend, so draws allow only a few gateways to send.
#[test]
fn only_a_few_gateways_of_a_large_fleet_may_send_at_once() {
    let sent: usize = (0..100)
        .map(|own_id| send_all_allowed(&slow_start(own_id, 100), &mut backend(Some(START)), 1.0, START))
        .sum();
    assert!(sent <= 5, "{sent}");
}

/// The draws are repeated over time, so that every gateway may send to a starting backend at some point.
/// Otherwise a gateway could be left without any backend after a restart of all of them.
#[test]
fn every_gateway_may_send_in_some_draws() {
    let times = || (0..100).map(|draw| START + WINDOW * WINDOWS_PER_DRAW * draw);
    for own_id in 0..10 {
        let slow_start = slow_start(own_id, 10);
        let allowed = times().filter(|now| slow_start.allows(&backend(Some(*now)), 1.0, *now)).count();
        assert!((1..40).contains(&allowed), "gateway {own_id} may send in {allowed} of 100 draws");
    }
}

/// A backend has run for long, so slow start no longer limits its attempts; the limit would reject requests
/// that it could serve.
#[test]
fn a_backend_after_slow_start_is_not_limited() {
    let mut running = backend(Some(START));
    assert_eq!(send_all_allowed(&slow_start(0, 100), &mut running, 1.0, START + DURATION), 1000);
}
