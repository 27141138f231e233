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

/// An unsafe request that a backend was given whole goes to nobody else, whatever becomes of it.
fn may_have_run(bad: Backend) -> (Backend, String) {
    let good = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&bad, &good]).start();
    let answer = reply_through(&ingress, "refer", &bad);
    let id = bad.commands()[0][2].clone();
    assert!(good.commands().iter().all(|c| c[2] != id), "it was sent again");
    assert_eq!(bad.command_count(), 1, "it was sent again to the same one");
    assert!(!is_rejected(&answer), "a refusal says that it is harmless to try again");
    (bad, answer)
}

#[test]
fn an_unsafe_request_with_an_error_answer_has_failed() {
    assert_eq!(
        may_have_run(Backend::start(|_| BackendReply::Bytes(b"-ERR failed\r\n".to_vec()))).1,
        "-ERR failed"
    );
}

/// Guards against taking a break behind the last byte for a connection that never was.
#[test]
fn an_unsafe_request_cut_after_its_last_byte_has_failed() {
    assert_eq!(may_have_run(Backend::start(|_| BackendReply::Disconnect)).1, "-ERR failed");
}

#[test]
fn a_garbled_answer_counts_as_a_reset_and_ends_its_connection() {
    let (bad, answer) =
        may_have_run(Backend::start(|_| BackendReply::Bytes(b"*3\r\n$2\r\nvalue\r\n".to_vec())));
    assert_eq!(answer, "-ERR failed");
    wait_until("the connection is closed", || bad.connections_closed() == 1);
}

/// Guards against waiting for the rest of what will not come until the client's time is over.
#[test]
fn an_answer_without_an_end_is_given_up() {
    for spoilt in [&b"*3\r\n$40000\r\nabc\r\n"[..], b"-ERR and so on", b"*3\r\n"] {
        let bad = Backend::start(|_| BackendReply::Bytes(spoilt.to_vec()));
        let ingress = IngressSetup::with_backends(&[&bad]).start();
        let start = Instant::now();
        assert_eq!(ingress.client().round_trip(&encode_request("refer", "r1", 7000)), "-ERR failed");
        assert!(start.elapsed() < Duration::from_secs(4), "waited for {:?}", start.elapsed());
    }
}

#[test]
fn an_answer_in_another_form_is_no_value() {
    let (_, answer) =
        may_have_run(Backend::start(|_| BackendReply::Bytes(b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec())));
    assert_eq!(answer, "-ERR failed");
}

#[test]
fn an_unsafe_request_without_an_answer_fails_before_the_client_gives_up() {
    let silent = Backend::start(|_| BackendReply::Nothing);
    let ingress = IngressSetup::with_backends(&[&silent]).start();
    // The answer comes some 10 ms before the client's time is over: a busy machine may miss that once.
    let soonest = (0..4).map(|n| {
        let start = Instant::now();
        assert_eq!(
            ingress.client().round_trip(&encode_request("refer", &format!("r{n}"), 1500)),
            "-ERR failed"
        );
        start.elapsed().as_millis()
    });
    let soonest = soonest.min().unwrap_or_default();
    assert!((1400..1500).contains(&soonest), "after {soonest} ms");
    assert_eq!(silent.command_count(), 4);
    wait_until("the attempts are given up", || silent.connections_closed() == 4);
}

/// Requests of a class that must never run twice are all served, though `bad` lets none in. They come at once:
/// one after the other they would all go to the backend that answers.
fn never_executed(bad: SocketAddr) -> Duration {
    let good = Backend::start(|args| BackendReply::Delayed(Duration::from_millis(30), value_reply(args)));
    let mut setup = IngressSetup::with_backends(&[&good]);
    setup.known_endpoints.push(endpoint_json("s-9", bad, "up"));
    let ingress = setup.start();
    let mut clients: Vec<Client> = (0..6).map(|_| ingress.client()).collect();
    let start = Instant::now();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&encode_request("refer", &format!("r{n}"), 4000));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.read_reply(), format!("value of r{n}"));
    }
    start.elapsed()
}

#[test]
fn an_unsafe_request_turned_away_is_sent_elsewhere() {
    let bad = Backend::start(|_| BackendReply::Bytes(b"-BUSY util=0.99\r\n".to_vec()));
    never_executed(bad.address);
    assert!(bad.command_count() > 0, "it was never tried");
}

#[test]
fn an_unsafe_request_to_a_closed_port_is_sent_elsewhere() {
    never_executed(unused_address());
}

/// Guards against waiting for a connection for as long as for an answer: a machine that is cut off says nothing.
#[test]
fn a_connection_that_never_comes_up_is_given_up_in_time() {
    let silent = UnreachableBackend::new();
    let longest = never_executed(silent.address);
    assert!(longest >= Duration::from_millis(250), "it was never tried, or not waited for: {longest:?}");
}

/// Guards against calling an attempt off on a connection that goes on: the second copy's answer is the answer.
#[test]
fn a_safe_request_gets_a_second_copy_and_the_first_is_called_off() {
    let slow = Backend::start(|args| BackendReply::Delayed(Duration::from_millis(5000), value_reply(args)));
    let good = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&slow, &good]).start();
    let answer = reply_through(&ingress, "quote", &slow);
    assert!(answer.starts_with("value of"), "{answer}");
    let id = slow.commands()[0][2].clone();
    assert!(good.commands().iter().any(|c| c[2] == id));
    wait_until("the first copy is called off", || slow.connections_closed() == 1);
}
