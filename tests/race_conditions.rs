//! Races between a request and something that ends at the same time: a backend, a client or a configuration. Each is
//! forced by a backend that accepts or replies at a chosen step.

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

/// Settings with a long timeout for connections, so that one is still being established when the test interferes.
fn with_long_connect_timeout(mut setup: IngressSetup) -> IngressSetup {
    setup.replace_setting("\"connect_timeout_us\":250000", "\"connect_timeout_us\":8000000");
    setup
}

/// Changes the status of a backend while a request waits for its connection to it, and asserts that nothing of the
/// request is sent there.
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

/// A request waits for its connection to a backend that is slow to accept, and the backend is drained. Formerly the
/// request was sent there once the connection was established; now it goes to another backend at once, and the draining
/// one gets nothing.
#[test]
fn an_attempt_without_a_connection_ends_when_its_backend_drains() {
    assert_attempt_ends_when_its_backend_becomes("draining");
}

/// A request waits for its connection to a backend, and the backend is removed from the list. Its address may
/// belong to another program when the connection is established, so the request must not be sent there; it goes to
/// another backend at once.
#[test]
fn an_attempt_without_a_connection_ends_when_its_backend_is_removed() {
    assert_attempt_ends_when_its_backend_becomes("removed");
}

/// A request waits for its connection to a backend, and its client disconnects. Formerly, where the settings do not
/// permit cancelling, the request was sent once the connection was established, and the backend worked for nobody; now
/// nothing of it is sent, with or without that permission.
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

/// A backend that replies to nothing until its gate is opened.
struct GatedBackend {
    backend: Backend,
    is_open: Arc<AtomicBool>,
}

impl GatedBackend {
    fn start() -> GatedBackend {
        let is_open = Arc::new(AtomicBool::new(false));
        let shared = is_open.clone();
        let backend = Backend::start(move |args| {
            while !shared.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(1));
            }
            reply_with_value(args)
        });
        GatedBackend { backend, is_open }
    }

    /// Lets the backend reply to all that it has received, and to what comes later.
    fn open_gate(&self) {
        self.is_open.store(true, Ordering::SeqCst);
    }
}

/// A client sends 400 requests at once and disconnects while the first ten are in flight. Formerly the rest of its
/// input was not read any further, so that the ingress did not notice, and sent one waiting request after another to
/// backends for a client that was gone; now it sends no more than those that were in flight.
#[test]
fn pipelined_requests_are_not_sent_once_their_client_has_disconnected() {
    let gated = GatedBackend::start();
    let backend = &gated.backend;
    let ingress = IngressSetup::with_backends(&[backend]).start();
    let mut client = ingress.client();
    let requests: Vec<u8> =
        (0..400).flat_map(|number| encode_request("refer", &format!("r{number}"), 7000)).collect();
    client.send(&requests);
    wait_until("the concurrency limit is reached", || backend.command_count() == 10);
    ingress.wait_until_input_is_processed();
    client.disconnect();
    ingress.wait_until_input_is_processed();
    gated.open_gate();
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "last", 7000)), "value of last");
    let sent = backend.request_ids();
    assert!(sent.len() == 11 && sent[10] == "last", "{sent:?}");
}

/// A reload brings an endpoint list without the backends of two requests. One backend is executing its request, and
/// the client gets that reply; the connection to the other was not yet established, so that request goes to a
/// backend of the new list. Neither client may lose its request to the operator's change.
#[test]
fn a_reload_does_not_disturb_requests_in_flight() {
    let (gated, slow, other) =
        (GatedBackend::start(), UnreachableBackend::new(), Backend::start(reply_with_value));
    let working = &gated.backend;
    let (old, new) = (DiscoveryServer::start(), DiscoveryServer::start());
    let mut setup = with_long_connect_timeout(IngressSetup::with_backends(&[working]));
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
    gated.open_gate();
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

/// A connection to a backend takes 400 ms to be established. Formerly the command stated the time that was left when
/// the connection was begun, so that the backend could work on the request after its client had given up; now it states
/// what is left when the command is written.
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

/// A machine is overloaded and the ingress stands still for 0.8 s, while a request waits in its socket. Formerly the
/// ingress counted the client's time from when it read the request, gave the backend more time than the client had
/// left, and would have answered too late; now the time of waiting counts.
#[test]
fn the_time_that_a_request_waited_for_a_stalled_ingress_counts() {
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
    let stalled = sent_at.elapsed();
    ingress.signal("CONT");
    assert_eq!(client.read_reply(), "value of r1");
    let stated = option_of(&backend.commands()[0], "d");
    let left = TIMEOUT_MS - stalled.as_millis() as u64;
    assert!(stated <= left + SLACK_MS, "the command states {stated} ms of {left}");
}
