//! Tests of the graceful shutdown on SIGTERM.

use crate::requests::new_request_id;
use crate::support::backend::{reply_with_value, value_reply, Backend, BackendReply};
use crate::support::client::{encode_request, Client};
use crate::support::ingress::IngressSetup;
use crate::support::resp::{encode_command, encode_served};
use crate::support::wait::wait_until;
use std::thread;
use std::time::{Duration, Instant};

/// An ingress receives SIGTERM while requests are in flight, and clients keep sending on open and new
/// connections. All requests have to be served, connections may be closed only between requests, and the
/// process has to exit before SIGKILL.
#[test]
fn shutdown_serves_accepted_requests_and_new_connections() {
    let backend = Backend::start(|args| BackendReply::Delayed(Duration::from_millis(400), value_reply(args)));
    let mut ingress = IngressSetup::with_backends(&[&backend]).start();
    let idle = ingress.client();
    let mut accepted: Vec<Client> = (0..8).map(|_| ingress.client()).collect();
    for (number, client) in accepted.iter_mut().enumerate().take(4) {
        client.send(&encode_request("refer", &format!("r{number}"), 2500));
    }
    wait_until("the requests are sent", || backend.command_count() == 4);
    let start = Instant::now();
    ingress.signal("TERM");
    for (number, client) in accepted.iter_mut().enumerate().skip(4) {
        client.send(&encode_request("refer", &format!("r{number}"), 2500));
    }
    thread::sleep(Duration::from_millis(200));
    let mut late = ingress.client();
    assert_eq!(late.ping(), "+PONG");
    late.send(&encode_request("refer", "late", 2500));
    for (number, client) in accepted.iter_mut().enumerate() {
        assert_eq!(client.read_reply(), format!("value of r{number}"));
    }
    assert_eq!(late.read_reply(), "value of late");
    assert!(
        late.is_disconnected() && Client { stream: idle.stream }.is_disconnected(),
        "connections are closed between requests"
    );
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    assert!(start.elapsed() < Duration::from_secs(3), "SIGKILL may follow 3.7 s after SIGTERM");
    let log = ingress.log();
    assert!(!log.contains("panicked"));
    assert!(log.contains("shutdown: listener closed, open_requests="), "{log}");
    assert!(
        log.contains("shutdown: graceful shutdown finished, drained=true open_requests=0 clients=0"),
        "{log}"
    );
}

/// Receive buffer of a client with a small window, in bytes.
const SMALL_WINDOW_BYTES: usize = 2 * 1024;

/// Starts a backend that replies to each command with the same value, which the kernel of an ingress accepts at
/// once, but cannot transmit to a client with a small window before the client reads.
fn start_backend_with_long_value() -> (Backend, String) {
    let long_value = "x".repeat(64 * 1024);
    let reply = encode_served(&long_value, None);
    (Backend::start(move |_| BackendReply::Bytes(reply.clone())), long_value)
}

/// A long reply is in transit to a client with a small window when the ingress receives SIGTERM, and the client
/// sends a further request once the ingress has closed its idle connections. A close at once would reset the
/// connection, and the rest of a reply to a request that a backend has run would be lost.
#[test]
fn a_reply_in_transit_survives_sigterm() {
    let (backend, long_value) = start_backend_with_long_value();
    let mut ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = Client::connect_with_window(ingress.address, SMALL_WINDOW_BYTES);
    let mut idle = ingress.client();
    client.send(&encode_request("refer", "r1", 2500));
    client.wait_for_input();
    assert_eq!(idle.ping(), "+PONG");
    ingress.signal("TERM");
    assert!(idle.is_disconnected(), "idle connections are closed");
    client.send(&encode_request("refer", "r2", 2500));
    assert!(client.read_reply() == long_value, "the whole reply arrives");
    assert!(client.is_disconnected(), "the connection is closed between two requests");
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    assert_eq!(backend.command_count(), 1, "the further request was not read");
}

/// Clients that are not notified of the shutdown keep connecting after SIGTERM, and would be refused if the
/// listener were closed at once. It stays open while new clients connect.
#[test]
fn shutdown_accepts_connections_while_clients_keep_connecting() {
    let backend = Backend::start(reply_with_value);
    let mut ingress = IngressSetup::with_backends(&[&backend]).start();
    ingress.signal("TERM");
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1800) {
        let id = new_request_id();
        let mut client = ingress.client();
        assert_eq!(
            client.round_trip(&encode_request("quote", &id, 900)),
            format!("value of {id}"),
            "{:?}",
            start.elapsed()
        );
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
}

/// A backend never replies, and the ingress receives SIGTERM. SIGKILL may follow 3.7 s later and lose
/// unanswered requests, so the client has to get an error before that, after a grace period of about 3 s in
/// which the request could still be served.
#[test]
fn requests_in_flight_at_the_end_of_the_shutdown_grace_period_fail() {
    let silent = Backend::start(|_| BackendReply::NoReply);
    let mut ingress = IngressSetup::with_backends(&[&silent]).start();
    let mut client = ingress.client();
    client.send(&encode_request("refer", "r1", 7900));
    wait_until("the request is sent", || silent.command_count() == 1);
    let start = Instant::now();
    ingress.signal("TERM");
    assert_eq!(client.read_reply(), "-ERR failed");
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    let elapsed = start.elapsed();
    assert!(elapsed > Duration::from_secs(3), "the request failed after only {elapsed:?}");
    assert!(elapsed < Duration::from_secs(6), "the shutdown took {elapsed:?}");
}

/// A client has sent an incomplete command when the ingress receives SIGTERM. If the ingress waited for the
/// rest, it would be killed and the replies to other clients lost.
#[test]
fn an_incomplete_request_does_not_delay_shutdown() {
    let mut ingress = IngressSetup::with_backends(&[]).start();
    let mut client = ingress.client();
    client.send(b"*4\r\n$8\r\nCALL");
    assert_eq!(ingress.client().ping(), "+PONG");
    ingress.stop();
}

/// A client sends commands without reading the replies until all buffers of the connection are full, and the
/// ingress receives SIGTERM. If the ingress waited for the client to read, it would be killed and the replies
/// to other clients lost.
#[test]
fn unread_replies_do_not_delay_shutdown() {
    let mut ingress = IngressSetup::with_backends(&[]).start();
    let mut client = ingress.client();
    client.stream.set_nonblocking(true).unwrap();
    let (pings, mut blocked_since) = (encode_command(&["PING"]).repeat(10_000), None);
    wait_until("both buffers are full", || match std::io::Write::write(&mut client.stream, &pings) {
        Ok(_) => {
            blocked_since = None;
            false
        }
        Err(_) => blocked_since.get_or_insert_with(Instant::now).elapsed() > Duration::from_millis(500),
    });
    ingress.signal("TERM");
    let start = Instant::now();
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    assert!(start.elapsed() < Duration::from_millis(3500), "SIGKILL may follow 3.7 s after SIGTERM");
}

/// A long reply is in transit to a client that never reads it, and never closes its connection, when the ingress
/// receives SIGTERM. If the ingress waited for the client, it would be killed and the replies to other clients
/// lost.
#[test]
fn a_client_that_never_reads_a_reply_in_transit_does_not_delay_shutdown() {
    let (backend, _) = start_backend_with_long_value();
    let mut ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = Client::connect_with_window(ingress.address, SMALL_WINDOW_BYTES);
    client.send(&encode_request("refer", "r1", 2500));
    client.wait_for_input();
    ingress.signal("TERM");
    let start = Instant::now();
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    assert!(start.elapsed() < Duration::from_millis(3500), "SIGKILL may follow 3.7 s after SIGTERM");
}
