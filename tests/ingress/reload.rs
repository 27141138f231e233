//! Reloading the configuration on SIGHUP.

use crate::support::backend::{reply_with_value, Backend};
use crate::support::client::encode_request;
use crate::support::discovery::DiscoveryServer;
use crate::support::ingress::IngressSetup;
use crate::support::wait::wait_until;
use std::thread;
use std::time::{Duration, Instant};

/// An operator writes a configuration that names another discovery and sends SIGHUP, once while the file is only
/// half written. The ingress must neither stop nor lose requests: it logs the bad file, reads it again by itself,
/// and then takes its backends from the new discovery at once, although a poll of the old one is still waiting for
/// an answer.
#[test]
fn sighup_moves_the_watch_to_the_discovery_of_the_new_configuration() {
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
    old.set_silent(true);
    new.publish(two.endpoint_json("s-7", "up"));
    // Half a file is invalid: the ingress serves on, and reads it again by itself.
    setup.discovery = Some(new.address);
    let config = setup.config_json(ingress.address);
    ingress.write_config(&config[..config.len() / 2]);
    ingress.signal("HUP");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r1", 2000)), "value of r1");
    assert_eq!((one.command_count(), new.poll_count()), (1, 0));
    ingress.write_config(&config);
    wait_until("the new discovery is polled", || new.poll_count() > 1);
    // Its list is a snapshot: backends that are not in it are removed. Later changes come from there as well.
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
        "a line for the invalid file, one for the valid one: {log}"
    );
}

/// A reload fails because the file is broken, and the ingress waits longer and longer before it reads the file
/// again. The operator mends the file and sends SIGHUP once more: it is read at once, without the rest of that
/// wait.
#[test]
fn a_second_sighup_reloads_at_once() {
    let (one, two, new) =
        (Backend::start(reply_with_value), Backend::start(reply_with_value), DiscoveryServer::start());
    let mut setup = IngressSetup::with_backends(&[&one]);
    let ingress = setup.start();
    ingress.write_config("{");
    ingress.signal("HUP");
    thread::sleep(Duration::from_millis(3400)); // by now the backoff is 2 s, and has just begun
    new.publish(two.endpoint_json("s-7", "up"));
    setup.discovery = Some(new.address);
    ingress.write_config(&setup.config_json(ingress.address));
    let start = Instant::now();
    ingress.signal("HUP");
    wait_until("the new discovery is polled", || new.poll_count() > 1);
    assert!(start.elapsed() < Duration::from_millis(1300));
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r1", 2000)), "value of r1");
}
