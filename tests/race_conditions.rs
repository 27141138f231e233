//! Tests of races between a request and a concurrent change: a removed backend, a disconnecting client or a
//! reload. Each race is forced by a backend that accepts or replies at a given step.

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

/// Sets a long connect timeout, so that a connection is still being established when the race occurs.
fn with_long_connect_timeout(mut setup: IngressSetup) -> IngressSetup {
    setup.replace_setting("\"connect_timeout_us\":250000", "\"connect_timeout_us\":8000000");
    setup
}

/// Changes the status of a backend while a request waits for a connection to it, and asserts that the request
/// is sent to another backend only.
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
    assert_eq!(client.read_reply(), "value of r1", "the request was never executed and is retried elsewhere");
    // Connections are established in the order in which they are opened: a remaining one for r1 would precede
    // r2.
    discovery.publish(endpoint_json("s-0", slow.address, "up"));
    discovery.publish_and_wait(good.endpoint_json("s-1", "draining"));
    client.send(&encode_request("refer", "r2", 7000));
    ingress.wait_until_input_is_processed();
    let slow = slow.accept_connections();
    assert_eq!(client.read_reply(), "value of r2");
    assert_eq!((slow.request_ids(), good.request_ids()), (vec!["r2".into()], vec!["r1".into()]));
}

/// A request waits for its connection to a backend, and the backend is drained. If the attempt continued, the
/// request would be sent to the draining backend once the connection is established.
#[test]
fn an_attempt_without_a_connection_ends_when_its_backend_drains() {
    assert_attempt_ends_when_its_backend_becomes("draining");
}

/// A request waits for its connection to a backend, and the backend is removed from the endpoint list. Its
/// address may belong to another program when the connection is established, so the request must not be sent
/// there.
#[test]
fn an_attempt_without_a_connection_ends_when_its_backend_is_removed() {
    assert_attempt_ends_when_its_backend_becomes("removed");
}

/// A request waits for its connection to a backend, and its client disconnects. If the attempt continued, the
/// backend would execute a request whose reply nobody reads. The attempt has to end even if the settings do
/// not permit cancellation, since nothing is sent yet.
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
        assert_eq!(staying.read_reply(), "value of r2", "cancelling: {cancelling}");
        assert_eq!(slow.request_ids(), ["r2"], "cancelling: {cancelling}");
    }
}

/// A backend that holds back its replies until its gate is opened.
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

    /// Lets the backend reply to all received and later requests.
    fn open_gate(&self) {
        self.is_open.store(true, Ordering::SeqCst);
    }
}

/// A client pipelines 400 requests and disconnects while the first ten are in flight. Unless the ingress
/// reads the rest of the input, it does not detect the disconnect, and backends execute the waiting requests
/// although nobody reads the replies.
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

/// A reload leads to an endpoint list without the backends of two requests in flight, neither of which may be
/// lost. The first backend is executing its request, whose reply has to be delivered. The connection to the
/// second one is not yet established, so its request has to be sent to a backend of the new list.
#[test]
fn a_reload_does_not_affect_requests_in_flight() {
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
    // The first connection established to the old address has to be for r3 instead of an earlier request.
    new.publish(endpoint_json("s-1", slow.address, "up"));
    new.publish_and_wait(other.endpoint_json("s-9", "draining"));
    second.send(&encode_request("refer", "r3", 7000));
    ingress.wait_until_input_is_processed();
    let slow = slow.accept_connections();
    assert_eq!(second.read_reply(), "value of r3");
    assert_eq!(slow.request_ids(), ["r3"]);
}

/// A connection to a backend takes 400 ms to be established. If the command stated the time left when the
/// connection was opened, the backend could execute the request after the client's deadline.
#[test]
fn a_command_states_the_time_left_when_its_connection_is_established() {
    let slow = UnreachableBackend::new();
    let mut setup = with_long_connect_timeout(IngressSetup::with_backends(&[]));
    setup.known_endpoints.push(endpoint_json("s-0", slow.address, "up"));
    let ingress = setup.start();
    let mut client = ingress.client();
    let sent_at = Instant::now();
    client.send(&encode_request("refer", "r1", 7000));
    ingress.wait_until_input_is_processed();
    thread::sleep(Duration::from_millis(400)); // the time left has to decrease by at least this
    let waited = sent_at.elapsed().as_millis() as u64;
    let slow = slow.accept_connections();
    assert_eq!(client.read_reply(), "value of r1");
    let options = slow.commands()[0][3].clone();
    let time_left_ms =
        options.split(',').find_map(|option| option.strip_prefix("d=")).unwrap().parse::<u64>().unwrap();
    assert!(
        (1..=7000 - waited).contains(&time_left_ms),
        "{time_left_ms} ms left of 7000, {waited} ms after the request"
    );
}

/// Returns the value of a numeric option of a command, such as `d`.
fn option_of(command: &[String], name: &str) -> u64 {
    let value = command[3].split(',').find_map(|option| option.strip_prefix(name)?.strip_prefix('='));
    value.unwrap().parse().unwrap()
}

/// The ingress stalls for 0.8 s while a request waits in its socket. If the client's timeout were counted
/// from the read of the request, the backend would get more time than the client has left, and the answer
/// could be late.
#[test]
fn the_time_left_excludes_the_time_waited_for_a_stalled_ingress() {
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
    assert!(stated <= left + SLACK_MS, "the command states {stated} ms, the client has {left} ms left");
}
