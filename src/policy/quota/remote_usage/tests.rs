//! Tests of [`super`].

use super::*;

/// The time of the reports under test.
const NOW: Instant = Instant::from_micros(5_000_000);

/// Records that a gateway has just reported this many attempts in flight.
fn reported(remote: &mut RemoteUsage, gateway: u16, in_flight: u8) {
    let mut usage = remote.get(gateway).unwrap_or_default();
    remote.set_in_flight(&mut usage, in_flight);
    usage.record(NOW, 0, 0.0);
    remote.insert(gateway, usage);
}

/// Each report replaces the one before of the same gateway, so that attempts are counted once however often
/// they are reported.
#[test]
fn attempts_in_flight_are_the_sum_of_the_latest_reports() {
    let mut remote = RemoteUsage::default();
    reported(&mut remote, 1, 3);
    reported(&mut remote, 2, 4);
    reported(&mut remote, 1, 1);
    assert_eq!(remote.in_flight(), 5);
    let of_first = remote.get(1).expect("it reported");
    assert_eq!(remote.in_flight_excluding(&of_first), 4);
}

/// A gateway restarts, or is cut off in the middle of its attempts. Their ends will never be reported, and
/// must not count against the customer's concurrency quota for ever.
#[test]
fn attempts_of_a_gateway_that_restarts_or_falls_silent_are_dropped() {
    let mut remote = RemoteUsage::default();
    reported(&mut remote, 1, 3);
    reported(&mut remote, 2, 4);
    remote.remove(1);
    assert_eq!(remote.in_flight(), 4);
    let lifetime = Duration::from_secs(1);
    remote.expire_in_flight(NOW + lifetime, lifetime);
    assert_eq!(remote.in_flight(), 4, "its report may still be in time");
    remote.expire_in_flight(NOW + lifetime + Duration::MICROSECOND, lifetime);
    assert_eq!(remote.in_flight(), 0);
}

/// Each of ten gateways uses 2 units at once. The rate of a gateway, and that of all, is what decays to
/// nothing over the two seconds of its time constant if it goes on; it never falls below zero, whatever is
/// given back.
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
