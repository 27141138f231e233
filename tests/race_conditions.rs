//! Races between requests and what ends at the same time: a backend, a client or a configuration. Each is forced by a
//! backend that accepts or replies at a chosen step.

use test_support as support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::backend::{reply_with_value, Backend, UnreachableBackend};
use support::client::encode_request;
use support::discovery::{endpoint_json, DiscoveryServer};
use support::ingress::IngressSetup;
use support::wait::wait_until;

/// A connection that is being established takes long to time out, so that it is surely pending when the test
/// interferes.
fn with_long_connect_timeout(mut setup: IngressSetup) -> IngressSetup {
    setup.replace_setting("\"connect_timeout_us\":250000", "\"connect_timeout_us\":8000000");
    setup
}

/// A request waits for its connection to a backend when the status of that changes; nothing of the request
/// may go there any more.
fn assert_attempt_ends_when_its_backend_becomes(status: &str) {
    let (slow, good, discovery) =
        (UnreachableBackend::new(), Backend::start(reply_with_value), DiscoveryServer::start());
    let mut setup = with_long_connect_timeout(IngressSetup::with_backends(&[]));
    setup.known_endpoints.push(endpoint_json("s-0", slow.address, "up"));
    setup.discovery = Some(discovery.address);
    let ingress = setup.start();
    let mut client = ingress.client();
    client.send(&encode_request("refer", "r1", 7000));
    ingress.wait_until_input_is_processed();
    discovery.publish(good.endpoint_json("s-1", "up"));
    discovery.publish_and_wait(endpoint_json("s-0", slow.address, status));
    assert_eq!(client.read_reply(), "value of r1", "it was never executed, and is retried elsewhere");
    // Connections are established in the order of their beginning: one left over from r1 would precede that for r2.
    discovery.publish(endpoint_json("s-0", slow.address, "up"));
    discovery.publish_and_wait(good.endpoint_json("s-1", "draining"));
    client.send(&encode_request("refer", "r2", 7000));
    ingress.wait_until_input_is_processed();
    let slow = slow.accept_connections();
    assert_eq!(client.read_reply(), "value of r2");
    assert_eq!((slow.request_ids(), good.request_ids()), (vec!["r2".into()], vec!["r1".into()]));
}

/// Guards against a first byte that goes to a draining backend once its connection is established.
#[test]
fn an_attempt_without_a_connection_ends_when_its_backend_drains() {
    assert_attempt_ends_when_its_backend_becomes("draining");
}

/// Guards against a request that goes to whatever has the address of a backend that was removed.
#[test]
fn an_attempt_without_a_connection_ends_when_its_backend_is_removed() {
    assert_attempt_ends_when_its_backend_becomes("removed");
}

/// Guards against sending a request that no client waits for: an attempt was cancelled where the settings
/// permit that, and otherwise sent once its connection was established.
#[test]
fn an_attempt_without_a_connection_ends_when_its_client_disconnects() {
    for cancelling in ["true", "false"] {
        let slow = UnreachableBackend::new();
        let mut setup = with_long_connect_timeout(IngressSetup::with_backends(&[]));
        setup.known_endpoints.push(endpoint_json("s-0", slow.address, "up"));
        setup.replace_setting("\"cancelling\":true", &format!("\"cancelling\":{cancelling}"));
        let ingress = setup.start();
        let (mut leaving, mut staying) = (ingress.client(), ingress.client());
        leaving.send(&encode_request("refer", "r1", 7000));
        ingress.wait_until_input_is_processed();
        leaving.disconnect();
        ingress.wait_until_input_is_processed();
        staying.send(&encode_request("refer", "r2", 7000));
        ingress.wait_until_input_is_processed();
        let slow = slow.accept_connections();
        assert_eq!(staying.read_reply(), "value of r2", "cancelling {cancelling}");
        assert_eq!(slow.request_ids(), ["r2"], "cancelling {cancelling}");
    }
}

/// A backend that replies to nothing until the gate is opened.
fn gated_backend() -> (Backend, Arc<AtomicBool>) {
    let gate = Arc::new(AtomicBool::new(false));
    let shared = gate.clone();
    let backend = Backend::start(move |args| {
        while !shared.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        reply_with_value(args)
    });
    (backend, gate)
}

/// Guards against a disconnect that is not seen behind a full pipeline: requests in it were sent as the
/// concurrency limit allowed, though their client had disconnected.
#[test]
fn pipelined_requests_are_not_sent_once_their_client_has_disconnected() {
    let (backend, gate) = gated_backend();
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    let requests: Vec<u8> =
        (0..400).flat_map(|number| encode_request("refer", &format!("r{number}"), 7000)).collect();
    client.send(&requests);
    wait_until("the concurrency limit is reached", || backend.command_count() == 10);
    ingress.wait_until_input_is_processed();
    client.disconnect();
    ingress.wait_until_input_is_processed();
    gate.store(true, Ordering::SeqCst);
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "last", 7000)), "value of last");
    let sent = backend.request_ids();
    assert!(sent.len() == 11 && sent[10] == "last", "{sent:?}");
}

/// A request in flight at a reload is still owed its reply, though the new endpoint list names neither
/// backend: one executes it, and the connection to the other was not yet established, so that its request
/// never began.
#[test]
fn a_reload_does_not_disturb_requests_in_flight() {
    let ((working, gate), slow, other) =
        (gated_backend(), UnreachableBackend::new(), Backend::start(reply_with_value));
    let (old, new) = (DiscoveryServer::start(), DiscoveryServer::start());
    let mut setup = with_long_connect_timeout(IngressSetup::with_backends(&[&working]));
    setup.discovery = Some(old.address);
    let ingress = setup.start();
    let (mut first, mut second) = (ingress.client(), ingress.client());
    first.send(&encode_request("refer", "r1", 7000));
    wait_until("the request is sent", || working.command_count() == 1);
    old.publish(endpoint_json("s-1", slow.address, "up"));
    old.publish_and_wait(working.endpoint_json("s-0", "draining"));
    second.send(&encode_request("refer", "r2", 7000));
    ingress.wait_until_input_is_processed();
    new.publish(other.endpoint_json("s-9", "up"));
    setup.discovery = Some(new.address);
    ingress.write_config(&setup.config_json(ingress.address));
    ingress.signal("HUP");
    assert_eq!(second.read_reply(), "value of r2");
    assert_eq!(other.request_ids(), ["r2"]);
    gate.store(true, Ordering::SeqCst);
    assert_eq!(first.read_reply(), "value of r1");
    // The first connection that is established to the old address is for the next request, and for no earlier one.
    new.publish(endpoint_json("s-1", slow.address, "up"));
    new.publish_and_wait(other.endpoint_json("s-9", "draining"));
    second.send(&encode_request("refer", "r3", 7000));
    ingress.wait_until_input_is_processed();
    let slow = slow.accept_connections();
    assert_eq!(second.read_reply(), "value of r3");
    assert_eq!(slow.request_ids(), ["r3"]);
}

/// Guards against a command that carries more time than is left: it carried what had been left when its
/// connection was begun, and that took a while.
#[test]
fn an_attempt_carries_the_time_left_when_its_connection_is_established() {
    let slow = UnreachableBackend::new();
    let mut setup = with_long_connect_timeout(IngressSetup::with_backends(&[]));
    setup.known_endpoints.push(endpoint_json("s-0", slow.address, "up"));
    let ingress = setup.start();
    let mut client = ingress.client();
    let sent_at = Instant::now();
    client.send(&encode_request("refer", "r1", 7000));
    ingress.wait_until_input_is_processed();
    thread::sleep(Duration::from_millis(400)); // at the least: the time left must have fallen by as much
    let waited = sent_at.elapsed().as_millis() as u64;
    let slow = slow.accept_connections();
    assert_eq!(client.read_reply(), "value of r1");
    let options = slow.commands()[0][3].clone();
    let time_left_ms =
        options.split(',').find_map(|option| option.strip_prefix("d=")).unwrap().parse::<u64>().unwrap();
    assert!(
        (1..=7000 - waited).contains(&time_left_ms),
        "{time_left_ms} ms left, {waited} ms after it was asked for 7000"
    );
}

/// The value of an option of a command, such as `d`.
fn option_of(command: &[String], name: &str) -> u64 {
    let value = command[3].split(',').find_map(|option| option.strip_prefix(name)?.strip_prefix('='));
    value.unwrap().parse().unwrap()
}

/// Guards against counting a client's time from when its request is read: an ingress that stands still for a while, as on a
/// machine that is overloaded, then tells a backend more time than the client has left.
#[test]
fn the_time_that_a_request_waited_for_a_held_up_ingress_counts() {
    const TIMEOUT_MS: u64 = 6000;
    const SLACK_MS: u64 = 150;
    let backend = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    assert_eq!(client.ping(), "+PONG");
    ingress.signal("STOP");
    wait_until("the process is stopped", || ingress.is_stopped());
    client.send(&encode_request("refer", "r1", TIMEOUT_MS as u32));
    let sent_at = Instant::now();
    thread::sleep(Duration::from_millis(800));
    let held_up = sent_at.elapsed();
    ingress.signal("CONT");
    assert_eq!(client.read_reply(), "value of r1");
    let told = option_of(&backend.commands()[0], "d");
    let left = TIMEOUT_MS - held_up.as_millis() as u64;
    assert!(told <= left + SLACK_MS, "told {told} ms of {left}");
}
