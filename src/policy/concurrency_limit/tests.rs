//! Tests of [`super`].

use super::*;
use crate::Duration;

/// Ten backends, shared by two gateways.
const LOAD: GatewayLoad = GatewayLoad { in_flight: 0, ready_backends: 10, fleet_size: 2 };

/// A pressure close to this ratio, after a long series of such answers.
fn pressure_of(ratio: f64) -> Pressure {
    let mut pressure = Pressure::default();
    (1..=1000).for_each(|second| pressure.record(Instant::ZERO + Duration::from_secs(second), ratio));
    pressure
}

/// Half of the backends fail. If the limit stayed, the others would take over the load of those, and would
/// fail next: it falls with their number, and never below one attempt.
#[test]
fn the_limit_falls_with_the_backends_that_are_left() {
    let limiter = ConcurrencyLimiter::default();
    assert_eq!(limiter.limit(LOAD), 50.0);
    assert_eq!(limiter.limit(GatewayLoad { ready_backends: 5, ..LOAD }), 25.0);
    assert_eq!(limiter.limit(GatewayLoad { ready_backends: 0, ..LOAD }), 1.0);
}

/// Backends slow down under too much load. The limit is reduced step by step; within a second of a reduction
/// the slow answers to what was sent before must not reduce it again, or one overload would leave next to
/// nothing.
#[test]
fn high_pressure_reduces_the_limit_once_in_its_time_constant() {
    let (mut limiter, pressure) = (ConcurrencyLimiter::default(), pressure_of(2.0));
    let start = Instant::from_micros(10_000_000);
    limiter.reduce_under_pressure(start, &pressure);
    limiter.reduce_under_pressure(start + PRESSURE_TIME_CONSTANT, &pressure);
    assert_eq!(limiter.limit(LOAD), 50.0 * DECREASE_FACTOR);
    limiter.reduce_under_pressure(start + PRESSURE_TIME_CONSTANT + Duration::MICROSECOND, &pressure);
    assert_eq!(limiter.limit(LOAD), 50.0 * DECREASE_FACTOR * DECREASE_FACTOR);
}

/// Traffic is low for an hour. A limit that grew with each fast answer though nobody comes near it would say
/// nothing once the load returns: it grows only while most of it is in use.
#[test]
fn a_limit_that_is_not_in_use_does_not_grow() {
    let (mut limiter, pressure) = (ConcurrencyLimiter::default(), pressure_of(0.1));
    limiter.on_answer(&pressure, GatewayLoad { in_flight: 35, ..LOAD });
    assert_eq!(limiter.limit(LOAD), 50.0);
    limiter.on_answer(&pressure, GatewayLoad { in_flight: 36, ..LOAD });
    assert!(limiter.limit(LOAD) > 50.0);
}
