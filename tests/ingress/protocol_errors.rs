//! Tests of commands that are malformed, out of range or too large.

use crate::requests::new_request_id;
use crate::support::backend::{reply_with_value, value_reply, Backend, BackendReply};
use crate::support::client::{encode_request, encode_request_of};
use crate::support::ingress::IngressSetup;
use crate::support::resp::encode_command;
use crate::support::wait::wait_until;
use std::time::Duration;

/// A client sends requests with an unknown class, plan or command, or with malformed options. Each gets an
/// error reply and reaches no backend. The connection stays open, since the requests of many customers share
/// it.
#[test]
fn an_invalid_request_gets_an_error_without_closing_its_connection() {
    let backend = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    let valid = String::from_utf8(encode_request("quote", "q1", 900)).unwrap();
    for (from, to) in [
        ("c=quote", "c=quota"),
        ("t=starter", "t=stopper"),
        ("d=900", "d=9x0"),
        ("units=1", "units=x"),
        ("first=0", "fifth=0"),
        ("CALL.GET", "CALL.PUT"),
    ] {
        let answer = client.round_trip(valid.replace(from, to).as_bytes());
        assert!(answer.starts_with("-ERR"), "{to}: {answer}");
    }
    assert_eq!(client.round_trip(&encode_request("quote", "q2", 900)), "value of q2");
    assert_eq!(backend.command_count(), 1, "no invalid request reaches a backend");
}

/// A client sends units or a gateway set that the settings do not allow. Such values would distort the quota
/// record of the customer that the request names, and a backend would reject the request anyway, so it gets
/// an error at once.
#[test]
fn a_request_with_a_value_out_of_range_reaches_no_backend() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.replace_setting("\"post_paid\"", "\"most_units\":4,\"post_paid\"");
    let ingress = setup.start();
    let valid = String::from_utf8(encode_request_of(4711, "quote", "q1", 900)).unwrap();
    for (from, to) in [
        ("units=1", "units=0"),
        ("units=1", "units=9"),
        ("spread=1", "spread=0"),
        ("spread=1", "spread=2"),
        ("first=0", "first=1"),
    ] {
        let answer = ingress.client().round_trip(valid.replace(from, to).as_bytes());
        assert!(answer.starts_with("-ERR"), "{to}: {answer}");
    }
    assert_eq!(ingress.client().round_trip(valid.as_bytes()), "value of q1");
    assert_eq!(backend.command_count(), 1);
}

/// A client sends a request with the id of one that is open or was answered a moment ago. A backend would
/// take it for a copy of the first request, so it gets an error and reaches no backend, and the first request
/// is served.
#[test]
fn a_duplicate_request_id_is_an_error_and_does_not_affect_the_first_request() {
    let backend = Backend::start(|args| BackendReply::Delayed(Duration::from_millis(400), value_reply(args)));
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut first = ingress.client();
    first.send(&encode_request("refer", "r1", 4000));
    wait_until("the request is sent", || backend.command_count() == 1);
    for id in ["r1", "r1"] {
        let answer = ingress.client().round_trip(&encode_request("refer", id, 4000));
        assert!(answer.starts_with("-ERR"), "{answer}");
    }
    assert_eq!(first.read_reply(), "value of r1");
    // The id stays reserved for a moment after the answer.
    assert!(ingress.client().round_trip(&encode_request("refer", "r1", 4000)).starts_with("-ERR"));
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r2", 4000)), "value of r2");
    assert_eq!(backend.command_count(), 2);
}

/// A faulty client sends invalid commands endlessly, each of which costs the ingress work. After a few errors
/// its connection is closed, the reply to its earlier, valid request is still delivered, and other clients
/// are served.
#[test]
fn a_connection_is_closed_after_several_invalid_commands() {
    let backend = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    client.send(&[encode_request("quote", "q1", 900), encode_command(&["GET", "x"]).repeat(300)].concat());
    assert_eq!(client.read_reply(), "value of q1");
    let errors = (0..300).take_while(|_| client.read_reply().starts_with("-ERR")).count();
    assert!((1..20).contains(&errors), "{errors} errors");
    assert_eq!(ingress.client().round_trip(&encode_request("quote", "q2", 900)), "value of q2");
}

/// A client announces a value of 60 MB and keeps sending. If the ingress closed the connection with unread
/// bytes, the kernel would reset it and discard the error reply before the client reads it.
#[test]
fn an_oversized_value_gets_an_error_reply_that_is_not_lost_to_a_reset() {
    let ingress = IngressSetup::with_backends(&[]).start();
    let mut client = ingress.client();
    client.send(b"*1\r\n$60000000\r\n");
    for _ in 0..60 {
        client.send(&vec![b'x'; 1_000_000]);
    }
    assert!(client.read_reply().starts_with("-ERR protocol error"));
    assert_eq!(ingress.client().ping(), "+PONG");
}

/// A client sends a valid request and then malformed input, after which nothing can be parsed. Before the
/// connection is closed the client has to receive the reply to its request and an error reply, and neither
/// may be lost to a reset.
#[test]
fn malformed_input_gets_an_error_and_a_close_after_earlier_replies() {
    let backend = Backend::start(|args| BackendReply::Delayed(Duration::from_millis(100), value_reply(args)));
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    for malformed in
        ["PING\r\n", "*1\r\n$70000\r\n", "*2000000000\r\n", "*1\r\n$-1\r\n", "*1\r\n$4\r\nPINGxx", "\0\0\0"]
    {
        let (mut client, id) = (ingress.client(), new_request_id());
        client.send(&encode_request("quote", &id, 900));
        // Enough bytes follow that closing with them unread would cause a reset.
        client.send(&[malformed.as_bytes(), &vec![b'x'; 40_000]].concat());
        assert_eq!(client.read_reply(), format!("value of {id}"), "{malformed:?}");
        assert!(client.read_reply().starts_with("-ERR protocol error"), "{malformed:?}");
        assert!(client.is_disconnected(), "{malformed:?}");
    }
    assert_eq!(ingress.client().ping(), "+PONG");
}
