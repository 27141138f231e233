//! Changes of the endpoint list, and discovery that fails.

use crate::requests::reply_through;
use crate::support::backend::{reply_with_value, Backend};
use crate::support::client::encode_request;
use crate::support::discovery::DiscoveryServer;
use crate::support::ingress::IngressSetup;
use crate::support::wait::wait_until;
use std::thread;
use std::time::Duration;

#[test]
fn a_backend_that_drains_gets_nothing_new() {
    let (one, two, discovery) =
        (Backend::start(reply_with_value), Backend::start(reply_with_value), DiscoveryServer::start());
    let mut setup = IngressSetup::with_backends(&[&one, &two]);
    setup.discovery = Some(discovery.address);
    let ingress = setup.start();
    reply_through(&ingress, "quote", &one);
    reply_through(&ingress, "quote", &two);
    discovery.publish_and_wait(one.endpoint_json("s-0", "draining"));
    let before = one.command_count();
    let mut client = ingress.client();
    for n in 0..50 {
        assert_eq!(
            client.round_trip(&encode_request("refer", &format!("d{n}"), 2000)),
            format!("value of d{n}")
        );
    }
    assert_eq!(one.command_count(), before);
    wait_until("its idle connections are closed", || one.connections_closed() == one.connections_opened());
    discovery.publish_and_wait(one.endpoint_json("s-0", "up"));
    reply_through(&ingress, "quote", &one);
}

#[test]
fn a_backend_that_moved_is_found_at_its_new_address() {
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

/// Without discovery the list stays as it is; once it is back, what changed meanwhile is heard.
fn survives(fail: impl Fn(&DiscoveryServer, bool)) {
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
    assert_eq!(two.command_count(), 0, "nobody can have told of it");
    let busy = ingress.cpu_centiseconds();
    thread::sleep(Duration::from_millis(1000));
    assert!(ingress.cpu_centiseconds() - busy < 50, "it is busy with asking");
    fail(&discovery, false);
    reply_through(&ingress, "quote", &two);
}

#[test]
fn discovery_lost_and_back() {
    survives(DiscoveryServer::set_down);
}

#[test]
fn discovery_silent_and_back() {
    survives(DiscoveryServer::set_silent);
}
