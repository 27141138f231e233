//! Tests of [`super`].

use super::*;
use crate::{BackendId, Endpoint, GatewayId, Rules};

/// When the backend starts.
const START: Instant = Instant::from_micros(100_000_000);
/// How long it is in slow start.
const DURATION: Duration = Duration::from_secs(20);
/// It falls over when sent twice its capacity for this long.
const WINDOW: Duration = Duration::from_secs(1);

/// The limits of a gateway.
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

/// A backend that was started at a time.
fn backend(started_at: Option<Instant>) -> Backend {
    let endpoint = Endpoint { backend: BackendId(7), started_at, ..Endpoint::default() };
    Backend { endpoint, size: 1.0, ready: true, ..Backend::default() }
}

/// Sends a backend as many attempts as it may be sent at a time, a thousand at most.
fn send_all_allowed(
    slow_start: &SlowStart,
    backend: &mut Backend,
    ready_capacity: f64,
    now: Instant,
) -> usize {
    let may_send = |backend: &Backend| slow_start.allows(backend, ready_capacity, now);
    (0..1000).take_while(|_| may_send(backend).then(|| backend.begin_attempt(now, WINDOW)).is_some()).count()
}

/// A backend starts and can bear a fifth of its usual load; after twenty seconds it can bear all of it. With more
/// load in between it would be overloaded by its own start, with less the other backends would bear its part for
/// longer than needed.
#[test]
fn the_capacity_grows_from_the_floor() {
    let (slow_start, starting) = (slow_start(0, 1), backend(Some(START)));
    let shares =
        [0, 10, 20, 30].map(|age| slow_start.capacity_share(&starting, START + Duration::from_secs(age)));
    for (share, expected) in shares.into_iter().zip([0.2, 0.6, 1.0, 1.0]) {
        assert!((share - expected).abs() < 1e-9, "{shares:?}");
    }
    assert_eq!(slow_start.capacity_share(&backend(None), START), 1.0);
}

/// One gateway sends a thousand attempts a second to ten backends, one of which has just started. In one
/// window it may be sent 35% of twice its present capacity, which is a fifth of its fair share of a hundred:
/// fourteen. In the next window it may be sent as many again.
#[test]
fn a_starting_backend_is_sent_a_part_of_its_budget_in_each_window() {
    let mut slow_start = slow_start(0, 1);
    (0..20_000u64).for_each(|step| slow_start.record_send(START - Duration::from_millis(20_000 - step)));
    let mut starting = backend(Some(START));
    let sent = send_all_allowed(&slow_start, &mut starting, 10.0, START);
    assert!((13..=15).contains(&sent), "{sent}");
    assert_eq!(send_all_allowed(&slow_start, &mut starting, 10.0, START + WINDOW / 2), 0);
    slow_start.record_send(START + WINDOW);
    assert!(send_all_allowed(&slow_start, &mut starting, 10.0, START + WINDOW) > 5);
}

/// A hundred gateways find a backend that has just started, and each has less than one attempt to give it.
/// Were each to send one, the backend would fall over: it is drawn who may, one of them or a few.
#[test]
fn the_gateways_of_a_large_fleet_draw_who_may_send() {
    let sent: usize = (0..100)
        .map(|own_id| send_all_allowed(&slow_start(own_id, 100), &mut backend(Some(START)), 1.0, START))
        .sum();
    assert!(sent <= 5, "{sent}");
}

/// The gateways of a large fleet draw who may send to a starting backend. The draw is repeated as time passes, so
/// that every gateway may send it something sooner or later; a gateway that never could would have no backend at
/// all where all of them have just started.
#[test]
fn another_gateway_may_send_after_a_while() {
    let times = || (0..100).map(|draw| START + WINDOW * DRAW_WINDOWS * draw);
    for own_id in 0..10 {
        let slow_start = slow_start(own_id, 10);
        let allowed = times().filter(|now| slow_start.allows(&backend(Some(*now)), 1.0, *now)).count();
        assert!((1..40).contains(&allowed), "gateway {own_id} may send in {allowed} of 100 draws");
    }
}

/// A backend has run for long. Its warm-up no longer limits it, however many attempts it gets; a limit that stayed
/// would reject requests that it could serve.
#[test]
fn a_backend_out_of_slow_start_is_sent_any_number() {
    let mut running = backend(Some(START));
    assert_eq!(send_all_allowed(&slow_start(0, 100), &mut running, 1.0, START + DURATION), 1000);
}
