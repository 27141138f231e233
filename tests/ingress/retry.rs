//! What becomes of a request whose attempt fails: retries, hedging and final errors.

use crate::requests::{is_rejected, reply_through};
use crate::support::address::unused_address;
use crate::support::backend::{reply_with_value, value_reply, Backend, BackendReply, UnreachableBackend};
use crate::support::client::{encode_request, Client};
use crate::support::discovery::endpoint_json;
use crate::support::ingress::IngressSetup;
use crate::support::wait::wait_until;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A non-idempotent request that was sent whole to a backend goes to no other, whatever becomes of it.
/// Returns that backend and the reply.
fn assert_not_retried(bad: Backend) -> (Backend, String) {
    let good = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&bad, &good]).start();
    let reply = reply_through(&ingress, "refer", &bad);
    let id = bad.commands()[0][2].clone();
    assert!(good.commands().iter().all(|command| command[2] != id), "it was retried elsewhere");
    assert_eq!(bad.command_count(), 1, "it was retried at the same backend");
    assert!(!is_rejected(&reply), "a rejection says that a retry is harmless");
    (bad, reply)
}

#[test]
fn a_non_idempotent_request_fails_on_an_error_reply() {
    assert_eq!(
        assert_not_retried(Backend::start(|_| BackendReply::Bytes(b"-ERR failed\r\n".to_vec()))).1,
        "-ERR failed"
    );
}

/// Guards against taking a close after the last byte for a connection that was never established.
#[test]
fn a_non_idempotent_request_fails_if_the_connection_closes_after_its_last_byte() {
    assert_eq!(assert_not_retried(Backend::start(|_| BackendReply::Disconnect)).1, "-ERR failed");
}

#[test]
fn a_malformed_reply_counts_as_a_reset_and_closes_its_connection() {
    let (bad, reply) =
        assert_not_retried(Backend::start(|_| BackendReply::Bytes(b"*3\r\n$2\r\nvalue\r\n".to_vec())));
    assert_eq!(reply, "-ERR failed");
    wait_until("the connection is closed", || bad.connections_closed() == 1);
}

/// Guards against waiting for the rest of a reply that does not come until the client's deadline.
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

#[test]
fn a_reply_of_another_shape_is_an_error() {
    let (_, reply) =
        assert_not_retried(Backend::start(|_| BackendReply::Bytes(b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec())));
    assert_eq!(reply, "-ERR failed");
}

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

/// Non-idempotent requests are all served, though `bad` accepts none. They are sent at once: one after the
/// other they would all go to the backend that replies. Returns how long they took.
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

#[test]
fn a_rejected_non_idempotent_request_is_retried_elsewhere() {
    let bad = Backend::start(|_| BackendReply::Bytes(b"-BUSY util=0.99\r\n".to_vec()));
    assert_all_retried_elsewhere(bad.address);
    assert!(bad.command_count() > 0, "it was never tried");
}

#[test]
fn a_non_idempotent_request_to_a_closed_port_is_retried_elsewhere() {
    assert_all_retried_elsewhere(unused_address());
}

/// Guards against waiting for a connection for as long as for a reply: a machine that is cut off sends
/// nothing.
#[test]
fn a_connection_that_is_never_established_times_out() {
    let silent = UnreachableBackend::new();
    let longest = assert_all_retried_elsewhere(silent.address);
    assert!(longest >= Duration::from_millis(250), "it was never tried, or there was no wait: {longest:?}");
}

/// Guards against cancelling an attempt on a connection that stays open: the reply to the hedge is the reply.
#[test]
fn an_idempotent_request_is_hedged_and_its_slower_attempt_cancelled() {
    let slow = Backend::start(|args| BackendReply::Delayed(Duration::from_millis(5000), value_reply(args)));
    let good = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&slow, &good]).start();
    let reply = reply_through(&ingress, "quote", &slow);
    assert!(reply.starts_with("value of"), "{reply}");
    let id = slow.commands()[0][2].clone();
    assert!(good.commands().iter().any(|command| command[2] == id));
    wait_until("the slower attempt is cancelled", || slow.connections_closed() == 1);
}
