//! Changes of the endpoint list, and discovery that fails.

use crate::requests::reply_from;
use crate::support::backend::{reply_with_value, Backend};
use crate::support::client::encode_request;
use crate::support::discovery::DiscoveryServer;
use crate::support::ingress::IngressSetup;
use crate::support::wait::wait_until;
use std::thread;
use std::time::Duration;

/// An operator drains one of two backends before shutting it down. From then on all requests go to the other one
/// and the idle connections are closed; otherwise clients would get errors when the backend stops. Listed as up
/// again, it is used again.
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

/// Discovery lists a backend under its old name with another address. The ingress closes its connection to the old
/// address and sends the next request to the new one; at the old address the client's request might reach another
/// program.
#[test]
fn a_backend_that_moved_is_used_at_its_new_address() {
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

/// Asserts that the endpoint list stays as it is while discovery fails, and that the ingress hears of the changes made
/// meanwhile once discovery works again.
fn assert_recovers_from(fail: impl Fn(&DiscoveryServer, bool)) {
    let (one, two, discovery) =
        (Backend::start(reply_with_value), Backend::start(reply_with_value), DiscoveryServer::start());
    let mut setup = IngressSetup::with_backends(&[&one]);
    setup.discovery = Some(discovery.address);
    let ingress = setup.start();
    wait_until("the watch begins", || discovery.poll_count() > 0);
    fail(&discovery, true);
    discovery.publish(two.endpoint_json("s-1", "up"));
    thread::sleep(Duration::from_millis(500));
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r1", 2000)), "value of r1");
    assert_eq!(two.command_count(), 0, "the ingress cannot know it yet");
    let cpu_before = ingress.cpu_centiseconds();
    thread::sleep(Duration::from_secs(1));
    assert!(ingress.cpu_centiseconds() - cpu_before < 50, "it polls without pause");
    fail(&discovery, false);
    reply_from(&ingress, "quote", &two);
}

/// Discovery refuses all connections for a while, and a backend is added meanwhile. Clients are still served by the
/// backends known before, the ingress does not use up a processor with its attempts, and once discovery is back the
/// new backend gets requests.
#[test]
fn the_ingress_recovers_from_discovery_that_was_down() {
    assert_recovers_from(DiscoveryServer::set_down);
}

/// Discovery accepts connections for a while and answers nothing, and a backend is added meanwhile. An ingress that
/// waited for that answer would never hear of the new backend, so it has to give up the poll and poll again.
#[test]
fn the_ingress_recovers_from_discovery_that_was_silent() {
    assert_recovers_from(DiscoveryServer::set_silent);
}
