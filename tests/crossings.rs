//! Instants in which something is still owed: a backend, a client or the ingress ends just then. Each crossing is
//! forced by a peer that holds, closes or answers at a chosen step.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::backend::{reply_with_value, Backend, UnreachableBackend};
use support::client::encode_request;
use support::discovery::{endpoint_json, DiscoveryServer};
use support::ingress::IngressSetup;
use support::wait::wait_until;

/// Settings under which a connection may take its time, so that it is surely still to come up at the crossing.
fn patient(mut setup: IngressSetup) -> IngressSetup {
    setup.replace_setting("\"connect_timeout_us\":250000", "\"connect_timeout_us\":8000000");
    setup
}

fn ids(backend: &Backend) -> Vec<String> {
    backend.request_ids()
}

// ---- A connection that is still to come up ----

/// A request waits for its connection to a backend when that changes as told; nothing of it may go there any more.
fn called_back_when_it(status: &str) {
    let (slow, good, discovery) =
        (UnreachableBackend::new(), Backend::start(reply_with_value), DiscoveryServer::start());
    let mut setup = patient(IngressSetup::with_backends(&[]));
    setup.known_endpoints.push(endpoint_json("s-0", slow.address, "up"));
    setup.discovery = Some(discovery.address);
    let ingress = setup.start();
    let mut client = ingress.client();
    client.send(&encode_request("refer", "r1", 7000));
    ingress.wait_until_input_is_processed();
    discovery.publish(good.endpoint_json("s-1", "up"));
    discovery.publish_and_wait(endpoint_json("s-0", slow.address, status));
    assert_eq!(client.read_reply(), "value of r1", "it never ran, and goes to another one");
    // Connections come up in the order of their beginning: one that were left for r1 would come before that for r2.
    discovery.publish(endpoint_json("s-0", slow.address, "up"));
    discovery.publish_and_wait(good.endpoint_json("s-1", "draining"));
    client.send(&encode_request("refer", "r2", 7000));
    ingress.wait_until_input_is_processed();
    let slow = slow.accept_connections();
    assert_eq!(client.read_reply(), "value of r2");
    assert_eq!((ids(&slow), ids(&good)), (vec!["r2".into()], vec!["r1".into()]));
}

/// Guards against a first byte that goes to a draining backend once its connection is up.
#[test]
fn an_attempt_without_a_connection_ends_when_its_backend_drains() {
    called_back_when_it("draining");
}

/// Guards against a request that goes to whoever has the address of a backend that is gone.
#[test]
fn an_attempt_without_a_connection_ends_when_its_backend_is_gone() {
    called_back_when_it("removed");
}

/// Guards against sending what nobody waits for any more: an attempt was called off where the settings allow that,
/// and else went out once its connection was up.
#[test]
fn an_attempt_without_a_connection_ends_when_its_client_leaves() {
    for cancel in ["true", "false"] {
        let slow = UnreachableBackend::new();
        let mut setup = patient(IngressSetup::with_backends(&[]));
        setup.known_endpoints.push(endpoint_json("s-0", slow.address, "up"));
        setup.replace_setting("\"cancelling\":true", &format!("\"cancelling\":{cancel}"));
        let ingress = setup.start();
        let (mut leaves, mut stays) = (ingress.client(), ingress.client());
        leaves.send(&encode_request("refer", "r1", 7000));
        ingress.wait_until_input_is_processed();
        leaves.disconnect();
        ingress.wait_until_input_is_processed();
        stays.send(&encode_request("refer", "r2", 7000));
        ingress.wait_until_input_is_processed();
        let slow = slow.accept_connections();
        assert_eq!(stays.read_reply(), "value of r2", "cancel {cancel}");
        assert_eq!(ids(&slow), ["r2"], "cancel {cancel}");
    }
}

// ---- Clients that leave ----

/// A backend that answers nothing until the gate is opened.
fn gated() -> (Backend, Arc<AtomicBool>) {
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

/// Guards against an end that is not seen behind a full line: what waits there for a place was sent on as places fell
/// free, though its client had left.
#[test]
fn what_waits_on_a_full_connection_is_not_sent_once_its_client_has_left() {
    let (backend, gate) = gated();
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    let many: Vec<u8> = (0..400).flat_map(|n| encode_request("refer", &format!("r{n}"), 7000)).collect();
    client.send(&many);
    wait_until("all places are taken", || backend.command_count() == 10);
    ingress.wait_until_input_is_processed();
    client.disconnect();
    ingress.wait_until_input_is_processed();
    gate.store(true, Ordering::SeqCst);
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "last", 7000)), "value of last");
    let sent = ids(&backend);
    assert!(sent.len() == 11 && sent[10] == "last", "{sent:?}");
}

// ---- A new configuration ----

/// What is out when the configuration changes is still owed its answer, though the new list names neither backend: one
/// works on it, and one's connection was still to come up, so that its request never began.
#[test]
fn a_new_configuration_takes_nothing_from_requests_that_are_out() {
    let ((working, gate), slow, other) =
        (gated(), UnreachableBackend::new(), Backend::start(reply_with_value));
    let (old, new) = (DiscoveryServer::start(), DiscoveryServer::start());
    let mut setup = patient(IngressSetup::with_backends(&[&working]));
    setup.discovery = Some(old.address);
    let ingress = setup.start();
    let (mut first, mut second) = (ingress.client(), ingress.client());
    first.send(&encode_request("refer", "r1", 7000));
    wait_until("it is sent", || working.command_count() == 1);
    old.publish(endpoint_json("s-1", slow.address, "up"));
    old.publish_and_wait(working.endpoint_json("s-0", "draining"));
    second.send(&encode_request("refer", "r2", 7000));
    ingress.wait_until_input_is_processed();
    new.publish(other.endpoint_json("s-9", "up"));
    setup.discovery = Some(new.address);
    ingress.write_config(&setup.config_json(ingress.address));
    ingress.signal("HUP");
    assert_eq!(second.read_reply(), "value of r2");
    assert_eq!(ids(&other), ["r2"]);
    gate.store(true, Ordering::SeqCst);
    assert_eq!(first.read_reply(), "value of r1");
    // The next connection to the old place comes up before nobody else's.
    new.publish(endpoint_json("s-1", slow.address, "up"));
    new.publish_and_wait(other.endpoint_json("s-9", "draining"));
    second.send(&encode_request("refer", "r3", 7000));
    ingress.wait_until_input_is_processed();
    let slow = slow.accept_connections();
    assert_eq!(second.read_reply(), "value of r3");
    assert_eq!(ids(&slow), ["r3"]);
}

/// Guards against a command that tells more time than is left: its connection took a while to come up, and it told what had
/// been left when that was begun.
#[test]
fn an_attempt_tells_what_is_left_once_its_connection_is_up() {
    let slow = UnreachableBackend::new();
    let mut setup = patient(IngressSetup::with_backends(&[]));
    setup.known_endpoints.push(endpoint_json("s-0", slow.address, "up"));
    let ingress = setup.start();
    let mut client = ingress.client();
    let sent = std::time::Instant::now();
    client.send(&encode_request("refer", "r1", 7000));
    ingress.wait_until_input_is_processed();
    thread::sleep(Duration::from_millis(400)); // at the least: what is told must have fallen by as much
    let waited = sent.elapsed().as_millis() as u64;
    let slow = slow.accept_connections();
    assert_eq!(client.read_reply(), "value of r1");
    let options = slow.commands()[0][3].clone();
    let told = options.split(',').find_map(|o| o.strip_prefix("d=")).unwrap().parse::<u64>().unwrap();
    assert!((1..=7000 - waited).contains(&told), "{told} ms told, {waited} ms after it was asked for 7000");
}
