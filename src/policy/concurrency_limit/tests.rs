//! Tests of [`super`].

use super::*;
use crate::Duration;

/// Ten backends, shared by two gateways.
const LOAD: GatewayLoad = GatewayLoad { in_flight: 0, ready_backends: 10, fleet_size: 2 };

/// Returns a pressure close to this ratio, after a long series of such answers.
fn pressure_of(ratio: f64) -> Pressure {
    let mut pressure = Pressure::default();
    (1..=1000).for_each(|second| pressure.record(Instant::ZERO + Duration::from_secs(second), ratio));
    pressure
}

/// Half of the backends fail. With an unchanged limit the others would take over their load and fail next,
/// so the limit falls with the number of ready backends, but not below one attempt.
#[test]
fn the_limit_is_proportional_to_the_ready_backends() {
    let limiter = ConcurrencyLimiter::default();
    assert_eq!(limiter.limit(LOAD), 50.0);
    assert_eq!(limiter.limit(GatewayLoad { ready_backends: 5, ..LOAD }), 25.0);
    assert_eq!(limiter.limit(GatewayLoad { ready_backends: 0, ..LOAD }), 1.0);
}

/// Backends slow down under overload. Within a second of a reduction, slow answers to earlier attempts must
/// not reduce the limit again, or one overload would reduce it to the minimum.
#[test]
fn high_pressure_reduces_the_limit_once_per_time_constant() {
    let (mut limiter, pressure) = (ConcurrencyLimiter::default(), pressure_of(2.0));
    let start = Instant::from_micros(10_000_000);
    limiter.reduce_under_pressure(start, &pressure);
    limiter.reduce_under_pressure(start + PRESSURE_TIME_CONSTANT, &pressure);
    assert_eq!(limiter.limit(LOAD), 50.0 * DECREASE_FACTOR);
    limiter.reduce_under_pressure(start + PRESSURE_TIME_CONSTANT + Duration::MICROSECOND, &pressure);
    assert_eq!(limiter.limit(LOAD), 50.0 * DECREASE_FACTOR * DECREASE_FACTOR);
}

/// Traffic is low for an hour. Fast answers must not raise a limit that is far from being reached, since
/// they don't show that the backends could serve more; it grows only while most of it is in use.
#[test]
fn an_unused_limit_does_not_grow() {
    let (mut limiter, pressure) = (ConcurrencyLimiter::default(), pressure_of(0.1));
    limiter.on_answer(&pressure, GatewayLoad { in_flight: 35, ..LOAD });
    assert_eq!(limiter.limit(LOAD), 50.0);
    limiter.on_answer(&pressure, GatewayLoad { in_flight: 36, ..LOAD });
    assert!(limiter.limit(LOAD) > 50.0);
}
