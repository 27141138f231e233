//! Tests of endpoint list changes and of outages of discovery.

use crate::requests::reply_from;
use crate::support::backend::{reply_with_value, Backend};
use crate::support::client::encode_request;
use crate::support::discovery::DiscoveryServer;
use crate::support::ingress::IngressSetup;
use crate::support::wait::wait_until;
use std::thread;
use std::time::Duration;

/// An operator drains one of two backends before shutting it down. All new requests have to go to the other
/// one and idle connections have to be closed, or clients would get errors when the backend stops. A backend
/// that is listed as up again is used again.
#[test]
fn a_draining_backend_gets_no_new_requests() {
    let (one, two, discovery) =
        (Backend::start(reply_with_value), Backend::start(reply_with_value), DiscoveryServer::start());
    let mut setup = IngressSetup::with_backends(&[&one, &two]);
    setup.discovery = Some(discovery.address);
    let ingress = setup.start();
    reply_from(&ingress, "quote", &one);
    reply_from(&ingress, "quote", &two);
    discovery.publish_and_wait(one.endpoint_json("s-0", "draining"));
    let commands_before = one.command_count();
    let mut client = ingress.client();
    for number in 0..50 {
        assert_eq!(
            client.round_trip(&encode_request("refer", &format!("d{number}"), 2000)),
            format!("value of d{number}")
        );
    }
    assert_eq!(one.command_count(), commands_before);
    wait_until("its idle connections are closed", || one.connections_closed() == one.connections_opened());
    discovery.publish_and_wait(one.endpoint_json("s-0", "up"));
    reply_from(&ingress, "quote", &one);
}

/// Discovery changes the address of a backend. The next request has to go to the new address, since another
/// program may receive requests at the old one.
#[test]
fn requests_are_sent_to_the_new_address_of_a_backend() {
    let (old, new, discovery) =
        (Backend::start(reply_with_value), Backend::start(reply_with_value), DiscoveryServer::start());
    let mut setup = IngressSetup::with_backends(&[&old]);
    setup.discovery = Some(discovery.address);
    let ingress = setup.start();
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r1", 2000)), "value of r1");
    discovery.publish_and_wait(new.endpoint_json("s-0", "up"));
    wait_until("the old connection is closed", || old.connections_closed() == 1);
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r2", 2000)), "value of r2");
    assert_eq!((old.command_count(), new.command_count()), (1, 1));
}

/// Asserts that the endpoint list stays in use while discovery fails, and that the changes made meanwhile are
/// applied once discovery recovers.
fn assert_recovers_from(fail: impl Fn(&DiscoveryServer, bool)) {
    let (one, two, discovery) =
        (Backend::start(reply_with_value), Backend::start(reply_with_value), DiscoveryServer::start());
    let mut setup = IngressSetup::with_backends(&[&one]);
    setup.discovery = Some(discovery.address);
    let ingress = setup.start();
    wait_until("discovery is polled", || discovery.poll_count() > 0);
    fail(&discovery, true);
    discovery.publish(two.endpoint_json("s-1", "up"));
    thread::sleep(Duration::from_millis(500));
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r1", 2000)), "value of r1");
    assert_eq!(two.command_count(), 0, "the new backend is not yet known");
    let cpu_before = ingress.cpu_centiseconds();
    thread::sleep(Duration::from_secs(1));
    assert!(ingress.cpu_centiseconds() - cpu_before < 50, "discovery is polled in a busy loop");
    fail(&discovery, false);
    reply_from(&ingress, "quote", &two);
}

/// Discovery refuses all connections for a while, and a backend is added meanwhile. The ingress has to serve
/// clients with the known backends, retry without a busy loop, and use the new backend once discovery
/// recovers.
#[test]
fn the_ingress_recovers_from_refused_connections_to_discovery() {
    assert_recovers_from(DiscoveryServer::set_unavailable);
}

/// Discovery accepts connections for a while but does not respond, and a backend is added meanwhile. The poll
/// has to time out and be retried, or the ingress would never receive the new backend.
#[test]
fn the_ingress_recovers_from_missing_responses_of_discovery() {
    assert_recovers_from(DiscoveryServer::set_unresponsive);
}
