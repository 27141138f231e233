//! Tests of configuration reloads on SIGHUP.

use crate::support::backend::{reply_with_value, Backend};
use crate::support::client::encode_request;
use crate::support::discovery::DiscoveryServer;
use crate::support::ingress::IngressSetup;
use crate::support::wait::wait_until;
use std::thread;
use std::time::{Duration, Instant};

/// An operator writes a configuration with another address of discovery and sends SIGHUP while the file is
/// incomplete. The ingress has to log the invalid file, keep serving, retry the reload, and then apply the
/// endpoint list of the new discovery at once, although a poll of the old one is pending.
#[test]
fn sighup_switches_the_watch_to_the_new_address_of_discovery() {
    let (one, two, three) = (
        Backend::start(reply_with_value),
        Backend::start(reply_with_value),
        Backend::start(reply_with_value),
    );
    let (old, new) = (DiscoveryServer::start(), DiscoveryServer::start());
    let mut setup = IngressSetup::with_backends(&[&one]);
    setup.discovery = Some(old.address);
    let mut ingress = setup.start();
    wait_until("the old discovery is polled", || old.poll_count() > 0);
    old.set_unresponsive(true);
    new.publish(two.endpoint_json("s-7", "up"));
    // The incomplete file is invalid: the ingress keeps serving and retries the reload.
    setup.discovery = Some(new.address);
    let config = setup.config_json(ingress.address);
    ingress.write_config(&config[..config.len() / 2]);
    ingress.signal("HUP");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r1", 2000)), "value of r1");
    assert_eq!((one.command_count(), new.poll_count()), (1, 0));
    ingress.write_config(&config);
    wait_until("the new discovery is polled", || new.poll_count() > 1);
    // Its list is a snapshot that removes all other backends. Later changes are received from it as well.
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r2", 2000)), "value of r2");
    assert_eq!((one.command_count(), two.command_count()), (1, 1));
    new.publish_and_wait(two.endpoint_json("s-7", "draining"));
    new.publish_and_wait(three.endpoint_json("s-8", "up"));
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r3", 2000)), "value of r3");
    assert_eq!((two.command_count(), three.command_count()), (1, 1));
    ingress.stop();
    let log = ingress.log();
    assert_eq!(
        log.matches("reload: ").count(),
        2,
        "expected a line for the invalid file and one for the valid one: {log}"
    );
}

/// A reload fails because the file is invalid, and retries are delayed by exponential backoff. After the
/// operator has corrected the file and sent SIGHUP again, the file is read at once instead of after the rest
/// of the delay.
#[test]
fn a_second_sighup_reloads_at_once() {
    let (one, two, new) =
        (Backend::start(reply_with_value), Backend::start(reply_with_value), DiscoveryServer::start());
    let mut setup = IngressSetup::with_backends(&[&one]);
    let ingress = setup.start();
    ingress.write_config("{");
    ingress.signal("HUP");
    thread::sleep(Duration::from_millis(3400)); // a backoff of 2 s has just started
    new.publish(two.endpoint_json("s-7", "up"));
    setup.discovery = Some(new.address);
    ingress.write_config(&setup.config_json(ingress.address));
    let start = Instant::now();
    ingress.signal("HUP");
    wait_until("the new discovery is polled", || new.poll_count() > 1);
    assert!(start.elapsed() < Duration::from_millis(1300));
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r1", 2000)), "value of r1");
}
