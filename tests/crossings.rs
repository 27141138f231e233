//! Instants in which something is still owed: a backend, a client or the ingress ends just then. Each crossing is
//! forced by a peer that holds, closes or answers at a chosen step.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::backend::{serve, Backend, Unreached};
use support::client::{call, leave};
use support::discovery::{entry, Discovery};
use support::ingress::Setup;
use support::wait::until;

/// Settings under which a connection may take its time, so that it is surely still to come up at the crossing.
fn patient(mut setup: Setup) -> Setup {
    setup.settings =
        setup.settings.replace("\"connect_timeout_us\":250000", "\"connect_timeout_us\":8000000");
    setup
}

fn ids(backend: &Backend) -> Vec<String> {
    backend.seen.commands.lock().unwrap().iter().map(|c| c[2].clone()).collect()
}

// ---- A connection that is still to come up ----

/// A request waits for its connection to a backend when that changes as told; nothing of it may go there any more.
fn called_back_when_it(status: &str) {
    let (slow, good, discovery) = (Unreached::new(), Backend::start(serve), Discovery::start());
    let mut setup = patient(Setup::of(&[]));
    setup.known.push(entry("s-0", slow.at, "up"));
    setup.discovery = Some(discovery.at);
    let ingress = setup.start();
    let mut client = ingress.client();
    client.send(&call("refer", "r1", 7000));
    ingress.caught_up();
    discovery.change(good.entry("s-1", "up"));
    discovery.tell(entry("s-0", slow.at, status));
    assert_eq!(client.answer(), "value of r1", "it never ran, and goes to another one");
    // Connections come up in the order of their beginning: one that were left for r1 would come before that for r2.
    discovery.change(entry("s-0", slow.at, "up"));
    discovery.tell(good.entry("s-1", "draining"));
    client.send(&call("refer", "r2", 7000));
    ingress.caught_up();
    let slow = slow.open();
    assert_eq!(client.answer(), "value of r2");
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
        let slow = Unreached::new();
        let mut setup = patient(Setup::of(&[]));
        setup.known.push(entry("s-0", slow.at, "up"));
        setup.settings = setup.settings.replace("\"cancelling\":true", &format!("\"cancelling\":{cancel}"));
        let ingress = setup.start();
        let (mut leaves, mut stays) = (ingress.client(), ingress.client());
        leaves.send(&call("refer", "r1", 7000));
        ingress.caught_up();
        leave(leaves);
        ingress.caught_up();
        stays.send(&call("refer", "r2", 7000));
        ingress.caught_up();
        let slow = slow.open();
        assert_eq!(stays.answer(), "value of r2", "cancel {cancel}");
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
        serve(args)
    });
    (backend, gate)
}

/// Guards against an end that is not seen behind a full line: what waits there for a place was sent on as places fell
/// free, though its client had left.
#[test]
fn what_waits_on_a_full_connection_is_not_sent_once_its_client_has_left() {
    let (backend, gate) = gated();
    let ingress = Setup::of(&[&backend]).start();
    let mut client = ingress.client();
    let many: Vec<u8> = (0..400).flat_map(|n| call("refer", &format!("r{n}"), 7000)).collect();
    client.send(&many);
    until("all places are taken", || backend.count() == 10);
    ingress.caught_up();
    leave(client);
    ingress.caught_up();
    gate.store(true, Ordering::SeqCst);
    assert_eq!(ingress.client().ask(&call("refer", "last", 7000)), "value of last");
    let sent = ids(&backend);
    assert!(sent.len() == 11 && sent[10] == "last", "{sent:?}");
}

// ---- A new configuration ----

/// What is out when the configuration changes is still owed its answer, though the new list names neither backend: one
/// works on it, and one's connection was still to come up, so that its request never began.
#[test]
fn a_new_configuration_takes_nothing_from_requests_that_are_out() {
    let ((working, gate), slow, other) = (gated(), Unreached::new(), Backend::start(serve));
    let (old, new) = (Discovery::start(), Discovery::start());
    let mut setup = patient(Setup::of(&[&working]));
    setup.discovery = Some(old.at);
    let ingress = setup.start();
    let (mut first, mut second) = (ingress.client(), ingress.client());
    first.send(&call("refer", "r1", 7000));
    until("it is sent", || working.count() == 1);
    old.change(entry("s-1", slow.at, "up"));
    old.tell(working.entry("s-0", "draining"));
    second.send(&call("refer", "r2", 7000));
    ingress.caught_up();
    new.change(other.entry("s-9", "up"));
    setup.discovery = Some(new.at);
    ingress.configure(&setup.config(ingress.at));
    ingress.signal("HUP");
    assert_eq!(second.answer(), "value of r2");
    assert_eq!(ids(&other), ["r2"]);
    gate.store(true, Ordering::SeqCst);
    assert_eq!(first.answer(), "value of r1");
    // The next connection to the old place comes up before nobody else's.
    new.change(entry("s-1", slow.at, "up"));
    new.tell(other.entry("s-9", "draining"));
    second.send(&call("refer", "r3", 7000));
    ingress.caught_up();
    let slow = slow.open();
    assert_eq!(second.answer(), "value of r3");
    assert_eq!(ids(&slow), ["r3"]);
}

/// Guards against a command that tells more time than is left: its connection took a while to come up, and it told what had
/// been left when that was begun.
#[test]
fn an_attempt_tells_what_is_left_once_its_connection_is_up() {
    let slow = Unreached::new();
    let mut setup = patient(Setup::of(&[]));
    setup.known.push(entry("s-0", slow.at, "up"));
    let ingress = setup.start();
    let mut client = ingress.client();
    let sent = std::time::Instant::now();
    client.send(&call("refer", "r1", 7000));
    ingress.caught_up();
    thread::sleep(Duration::from_millis(400)); // at the least: what is told must have fallen by as much
    let waited = sent.elapsed().as_millis() as u64;
    let slow = slow.open();
    assert_eq!(client.answer(), "value of r1");
    let options = slow.seen.commands.lock().unwrap()[0][3].clone();
    let told = options.split(',').find_map(|o| o.strip_prefix("d=")).unwrap().parse::<u64>().unwrap();
    assert!((1..=7000 - waited).contains(&told), "{told} ms told, {waited} ms after it was asked for 7000");
}
