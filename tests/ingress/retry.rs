//! What becomes of a request whose attempt fails: retries, hedging and final errors.

use crate::requests::{is_rejected, reply_from};
use crate::support::address::unused_address;
use crate::support::backend::{reply_with_value, value_reply, Backend, BackendReply, UnreachableBackend};
use crate::support::client::{encode_request, Client};
use crate::support::discovery::endpoint_json;
use crate::support::ingress::IngressSetup;
use crate::support::wait::wait_until;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A request that was sent once, and the reply that its client got.
struct SingleAttempt {
    backend: Backend,
    reply: String,
}

/// Asserts that a non-idempotent request that a bad backend has received completely is sent to no backend again.
fn assert_not_retried(bad: Backend) -> SingleAttempt {
    let good = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&bad, &good]).start();
    let reply = reply_from(&ingress, "refer", &bad);
    let id = bad.commands()[0][2].clone();
    assert!(good.commands().iter().all(|command| command[2] != id), "it was retried elsewhere");
    assert_eq!(bad.command_count(), 1, "it was retried at the same backend");
    assert!(!is_rejected(&reply), "a rejection says that a retry is harmless");
    SingleAttempt { backend: bad, reply }
}

/// A backend answers a customer's order with an error, after which nobody knows whether it was executed. The client
/// gets an error too; the order is neither retried nor rejected as if a retry were harmless, since it could be
/// executed twice.
#[test]
fn a_non_idempotent_request_fails_on_an_error_reply() {
    assert_eq!(
        assert_not_retried(Backend::start(|_| BackendReply::Bytes(b"-ERR failed\r\n".to_vec()))).reply,
        "-ERR failed"
    );
}

/// A backend closes the connection after it has received the whole request. The request may have been executed, so
/// it must not be taken for one whose connection was never established and be sent to another backend.
#[test]
fn a_non_idempotent_request_fails_if_the_connection_closes_after_its_last_byte() {
    assert_eq!(assert_not_retried(Backend::start(|_| BackendReply::Disconnect)).reply, "-ERR failed");
}

/// A backend sends a reply that cannot be parsed. The request may have been executed, so the client gets an error
/// and no retry follows; the connection is closed, since nobody can tell where the next reply would begin.
#[test]
fn a_malformed_reply_counts_as_a_reset_and_closes_its_connection() {
    let SingleAttempt { backend: bad, reply } =
        assert_not_retried(Backend::start(|_| BackendReply::Bytes(b"*3\r\n$2\r\nvalue\r\n".to_vec())));
    assert_eq!(reply, "-ERR failed");
    wait_until("the connection is closed", || bad.connections_closed() == 1);
}

/// A backend sends the beginning of a reply and then nothing more. The client gets an error well before its
/// deadline, instead of waiting for the rest until it gives up.
#[test]
fn an_incomplete_reply_times_out() {
    for incomplete in [&b"*3\r\n$40000\r\nabc\r\n"[..], b"-ERR and so on", b"*3\r\n"] {
        let bad = Backend::start(|_| BackendReply::Bytes(incomplete.to_vec()));
        let ingress = IngressSetup::with_backends(&[&bad]).start();
        let start = Instant::now();
        assert_eq!(ingress.client().round_trip(&encode_request("refer", "r1", 7000)), "-ERR failed");
        assert!(start.elapsed() < Duration::from_secs(4), "waited for {:?}", start.elapsed());
    }
}

/// A backend answers with an array that holds no value. The request may have been executed, so the client gets an
/// error and the request goes to no other backend.
#[test]
fn a_reply_of_another_shape_is_an_error() {
    let SingleAttempt { reply, .. } =
        assert_not_retried(Backend::start(|_| BackendReply::Bytes(b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec())));
    assert_eq!(reply, "-ERR failed");
}

/// A backend takes a request and never answers. The client gets an error shortly before it would give up by itself,
/// so that it has an answer, and the connection to the silent backend is closed.
#[test]
fn a_non_idempotent_request_without_a_reply_fails_before_its_deadline() {
    let silent = Backend::start(|_| BackendReply::Nothing);
    let ingress = IngressSetup::with_backends(&[&silent]).start();
    // The reply comes some 10 ms before the client's deadline: a busy machine may miss that once.
    let delays = (0..4).map(|number| {
        let start = Instant::now();
        assert_eq!(
            ingress.client().round_trip(&encode_request("refer", &format!("r{number}"), 1500)),
            "-ERR failed"
        );
        start.elapsed().as_millis()
    });
    let shortest = delays.min().unwrap_or_default();
    assert!((1400..1500).contains(&shortest), "after {shortest} ms");
    assert_eq!(silent.command_count(), 4);
    wait_until("the attempts time out", || silent.connections_closed() == 4);
}

/// Asserts that non-idempotent requests are all served by another backend, though `bad` executes none. They are sent
/// together, as one after the other they would all go to the backend that replies. Returns how long they took.
fn assert_all_retried_elsewhere(bad: SocketAddr) -> Duration {
    let good = Backend::start(|args| BackendReply::Delayed(Duration::from_millis(30), value_reply(args)));
    let mut setup = IngressSetup::with_backends(&[&good]);
    setup.known_endpoints.push(endpoint_json("s-9", bad, "up"));
    let ingress = setup.start();
    let mut clients: Vec<Client> = (0..6).map(|_| ingress.client()).collect();
    let start = Instant::now();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&encode_request("refer", &format!("r{number}"), 4000));
    }
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.read_reply(), format!("value of r{number}"));
    }
    start.elapsed()
}

/// A backend with a full queue rejects a request, which it has therefore not executed. The request is safe to send
/// to another backend, and the client gets its value instead of an error.
#[test]
fn a_rejected_non_idempotent_request_is_retried_elsewhere() {
    let bad = Backend::start(|_| BackendReply::Bytes(b"-BUSY util=0.99\r\n".to_vec()));
    assert_all_retried_elsewhere(bad.address);
    assert!(bad.command_count() > 0, "it was never tried");
}

/// A backend has crashed and its port refuses connections. The request cannot have been executed there, so it goes
/// to another backend, and the client notices nothing.
#[test]
fn a_non_idempotent_request_to_a_closed_port_is_retried_elsewhere() {
    assert_all_retried_elsewhere(unused_address());
}

/// A backend's machine is cut off from the network, so that a new connection is neither established nor refused.
/// The ingress gives up on it after a quarter of a second and sends the request elsewhere; if it waited as long as
/// for a reply, the client would give up first.
#[test]
fn a_connection_that_is_never_established_times_out() {
    let silent = UnreachableBackend::new();
    let longest = assert_all_retried_elsewhere(silent.address);
    assert!(longest >= Duration::from_millis(250), "it was never tried, or there was no wait: {longest:?}");
}

/// A backend takes much longer than usual, and a second backend gets a copy of the request. The client gets the
/// reply of the faster one, and the connection of the slower attempt is closed, so that its backend stops working
/// and its late reply reaches nobody.
#[test]
fn an_idempotent_request_is_hedged_and_its_slower_attempt_cancelled() {
    let slow = Backend::start(|args| BackendReply::Delayed(Duration::from_secs(5), value_reply(args)));
    let good = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&slow, &good]).start();
    let reply = reply_from(&ingress, "quote", &slow);
    assert!(reply.starts_with("value of"), "{reply}");
    let id = slow.commands()[0][2].clone();
    assert!(good.commands().iter().any(|command| command[2] == id));
    wait_until("the slower attempt is cancelled", || slow.connections_closed() == 1);
}
