//! Tests of [`super`].

use super::*;

/// Time at which the reports under test are received.
const NOW: Instant = Instant::from_micros(5_000_000);

/// Records a gateway's report of a number of attempts in flight.
fn reported(remote: &mut RemoteUsage, gateway: u16, in_flight: u8) {
    let mut usage = remote.get(gateway).unwrap_or_default();
    remote.set_in_flight(&mut usage, in_flight);
    usage.record(NOW, 0, 0.0);
    remote.insert(gateway, usage);
}

/// Each report replaces the previous one of the same gateway, so that repeated reports do not count attempts
/// twice.
#[test]
fn attempts_in_flight_are_the_sum_of_the_latest_reports() {
    let mut remote = RemoteUsage::default();
    reported(&mut remote, 1, 3);
    reported(&mut remote, 2, 4);
    reported(&mut remote, 1, 1);
    assert_eq!(remote.in_flight(), 5);
    let of_first = remote.get(1).expect("gateway 1 has reported");
    assert_eq!(remote.in_flight_excluding(&of_first), 4);
}

/// The ends of attempts are never reported after a gateway restarts or loses its connection to the fleet. Its
/// attempts must not count against the concurrency quota forever.
#[test]
fn attempts_of_a_restarted_or_silent_gateway_are_removed() {
    let mut remote = RemoteUsage::default();
    reported(&mut remote, 1, 3);
    reported(&mut remote, 2, 4);
    remote.remove(1);
    assert_eq!(remote.in_flight(), 4);
    let lifetime = Duration::from_secs(1);
    remote.expire_in_flight(NOW + lifetime, lifetime);
    assert_eq!(remote.in_flight(), 4, "the report has not expired");
    remote.expire_in_flight(NOW + lifetime + Duration::MICROSECOND, lifetime);
    assert_eq!(remote.in_flight(), 0);
}

/// Units raise a rate by their number divided by the time constant of 2 s, for one gateway and for all.
/// Returned units do not lower it below zero.
#[test]
fn rates_rise_by_units_over_their_time_constant() {
    let mut remote = RemoteUsage::with_rate(0.0);
    (0..10).for_each(|_| remote.add_to_rate(2.0));
    assert_eq!(remote.rate(), 10.0);
    remote.decay_rate(0.5);
    assert_eq!(remote.rate(), 5.0);
    remote.add_to_rate(-100.0);
    assert_eq!(remote.rate(), 0.0);
    let mut usage = GatewayUsage::default();
    usage.record(NOW, 8, 2.0);
    assert_eq!((usage.reported_total, usage.rate), (8, 1.0));
}
