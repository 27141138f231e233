//! Tests of requests whose attempts fail: retries, hedging and final errors.

use crate::requests::{is_rejected, reply_from};
use crate::support::address::unused_address;
use crate::support::backend::{reply_with_value, value_reply, Backend, BackendReply, UnreachableBackend};
use crate::support::client::{encode_request, Client};
use crate::support::discovery::endpoint_json;
use crate::support::ingress::IngressSetup;
use crate::support::wait::wait_until;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The backend that received a request's only attempt, and the client's reply.
struct SingleAttempt {
    backend: Backend,
    reply: String,
}

/// Asserts that a non-idempotent request is not retried after the bad backend has received it completely.
fn assert_not_retried(bad: Backend) -> SingleAttempt {
    let good = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&bad, &good]).start();
    let reply = reply_from(&ingress, "refer", &bad);
    let id = bad.commands()[0][2].clone();
    assert!(
        good.commands().iter().all(|command| command[2] != id),
        "the request was retried at another backend"
    );
    assert_eq!(bad.command_count(), 1, "the request was retried at the same backend");
    assert!(!is_rejected(&reply), "a rejection allows the client to retry");
    SingleAttempt { backend: bad, reply }
}

/// A backend replies to a non-idempotent request with an error, after which its execution is unknown. The
/// request may be neither retried nor rejected, since a rejection allows the client to retry, and it could be
/// executed twice.
#[test]
fn a_non_idempotent_request_fails_on_an_error_reply() {
    assert_eq!(
        assert_not_retried(Backend::start(|_| BackendReply::Bytes(b"-ERR failed\r\n".to_vec()))).reply,
        "-ERR failed"
    );
}

/// A backend closes the connection after it has received the whole request. The request may have been
/// executed, so it must not be retried like one whose connection was never established.
#[test]
fn a_non_idempotent_request_fails_if_the_connection_closes_after_its_last_byte() {
    assert_eq!(assert_not_retried(Backend::start(|_| BackendReply::Disconnect)).reply, "-ERR failed");
}

/// A backend sends a malformed reply. The request may have been executed, so it fails without a retry. The
/// connection is closed, since the start of the next reply is unknown.
#[test]
fn a_malformed_reply_counts_as_a_reset_and_closes_its_connection() {
    let SingleAttempt { backend: bad, reply } =
        assert_not_retried(Backend::start(|_| BackendReply::Bytes(b"*3\r\n$2\r\nvalue\r\n".to_vec())));
    assert_eq!(reply, "-ERR failed");
    wait_until("the connection is closed", || bad.connections_closed() == 1);
}

/// A backend sends an incomplete reply and then nothing more. The client has to get an error well before its
/// deadline instead of waiting for the rest.
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

/// A backend replies with an array without a value. The request may have been executed, so it fails without a
/// retry.
#[test]
fn a_reply_without_a_value_is_an_error() {
    let SingleAttempt { reply, .. } =
        assert_not_retried(Backend::start(|_| BackendReply::Bytes(b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec())));
    assert_eq!(reply, "-ERR failed");
}

/// A backend receives a request and never replies. The client has to get an error shortly before its
/// deadline, and the connection to the backend is closed.
#[test]
fn a_non_idempotent_request_without_a_reply_fails_before_its_deadline() {
    let silent = Backend::start(|_| BackendReply::NoReply);
    let ingress = IngressSetup::with_backends(&[&silent]).start();
    // The reply is sent some 10 ms before the client's deadline, which a busy machine may miss once.
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

/// Asserts that non-idempotent requests which `bad` does not execute are all served by another backend, and
/// returns the time that this takes. The requests are sent concurrently, since sequential ones would all go
/// to the backend that replies.
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

/// A backend with a full queue rejects a request without executing it, so the request can be sent to another
/// backend, and the client gets its value instead of an error.
#[test]
fn a_rejected_non_idempotent_request_is_retried_elsewhere() {
    let bad = Backend::start(|_| BackendReply::Bytes(b"-BUSY util=0.99\r\n".to_vec()));
    assert_all_retried_elsewhere(bad.address);
    assert!(bad.command_count() > 0, "no attempt was sent to the rejecting backend");
}

/// A backend has crashed and its port refuses connections. The request cannot have been executed there, so it
/// is sent to another backend without an error for the client.
#[test]
fn a_non_idempotent_request_to_a_closed_port_is_retried_elsewhere() {
    assert_all_retried_elsewhere(unused_address());
}

/// A backend's machine is cut off from the network, so a new connection is neither established nor refused.
/// The connect timeout of 250 ms lets the request be retried elsewhere; with the timeout of a reply, the
/// client's deadline would pass first.
#[test]
fn a_connection_that_is_never_established_times_out() {
    let silent = UnreachableBackend::new();
    let longest = assert_all_retried_elsewhere(silent.address);
    assert!(longest >= Duration::from_millis(250), "no attempt waited for the connect timeout: {longest:?}");
}

/// A backend takes much longer than usual, and a hedged attempt is sent to a second backend. The client gets
/// the reply of the faster one, and the slower attempt's connection is closed, so that its backend stops
/// executing the request and its late reply is discarded.
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
