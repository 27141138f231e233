//! Tests of client connections: pipelining, disconnects and timeouts.

use crate::support::backend::{reply_with_value, value_reply, Backend, BackendReply};
use crate::support::client::encode_request;
use crate::support::ingress::IngressSetup;
use crate::support::resp::encode_command;
use crate::support::wait::wait_until;
use std::thread;
use std::time::{Duration, Instant};

/// A client disconnects while a slow backend executes its request. The ingress closes the connection to the
/// backend, so that the backend can stop executing it, and serves the next client.
#[test]
fn a_request_is_cancelled_when_its_client_disconnects() {
    let slow = Backend::start(|args| BackendReply::Delayed(Duration::from_millis(300), value_reply(args)));
    let ingress = IngressSetup::with_backends(&[&slow]).start();
    let mut client = ingress.client();
    client.send(&encode_request("refer", "r1", 5000));
    wait_until("the request is sent", || slow.command_count() == 1);
    client.disconnect();
    wait_until("the attempt is cancelled", || slow.connections_closed() == 1);
    assert_eq!(ingress.client().round_trip(&encode_request("refer", "r2", 5000)), "value of r2");
}

/// A client pipelines several commands, of which the first takes longest and one is invalid, and then 2,000
/// more. Replies carry no id, so a missing or reordered reply would be taken for the reply to another
/// command.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let backend = Backend::start(|args| match &args[2][..1] {
        "s" => BackendReply::Delayed(Duration::from_millis(150), value_reply(args)),
        _ => reply_with_value(args),
    });
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    let invalid = encode_command(&["GET", "x"]);
    client.send(
        &[
            encode_request("save", "s1", 2000),
            encode_request("quote", "q2", 900),
            invalid,
            encode_command(&["PING"]),
        ]
        .concat(),
    );
    let replies: Vec<String> = (0..4).map(|_| client.read_reply()).collect();
    assert_eq!(replies, ["value of s1", "value of q2", "-ERR unknown command", "+PONG"]);
    // More than the pipeline limit of one connection.
    let pings = 2000;
    client.send(&encode_command(&["PING"]).repeat(pings));
    client.send(&encode_request("quote", "q3", 900));
    (0..pings).for_each(|_| assert_eq!(client.read_reply(), "+PONG"));
    assert_eq!(client.read_reply(), "value of q3");
}

/// A client pipelines 600 requests, more than the ingress keeps open per connection, so that the ingress
/// stops reading until some are answered. If it did not resume reading, the remaining requests would get no
/// answer.
#[test]
fn a_pipeline_over_the_limit_is_read_completely() {
    let slow = Backend::start(|args| BackendReply::Delayed(Duration::from_millis(5), value_reply(args)));
    let ingress = IngressSetup::with_backends(&[&slow]).start();
    let mut client = ingress.client();
    let requests: Vec<u8> =
        (0..600).flat_map(|number| encode_request("save", &format!("s{number}"), 3000)).collect();
    client.send(&requests);
    for number in 0..600 {
        let reply = client.read_reply();
        assert!(reply == format!("value of s{number}") || reply.starts_with('-'), "{number}: {reply:?}");
    }
    assert_eq!(client.ping(), "+PONG");
}

/// A client on a slow network sends its request one byte at a time. The ingress has to wait for the last byte
/// instead of rejecting the incomplete command.
#[test]
fn a_request_that_arrives_byte_by_byte_is_served() {
    let backend = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    for byte in encode_request("save", "s1", 2500) {
        client.send(&[byte]);
        thread::sleep(Duration::from_micros(200));
    }
    assert_eq!(client.read_reply(), "value of s1");
}

/// One client connects and sends nothing, another stops within a command. Such clients would occupy
/// descriptors permanently until no client could connect, so each gets an error or a close within 3 s. A
/// client that has sent a complete command stays connected.
#[test]
fn clients_without_a_complete_command_are_disconnected() {
    let ingress = IngressSetup::with_backends(&[]).start();
    let (mut active, mut silent, mut incomplete) = (ingress.client(), ingress.client(), ingress.client());
    let start = Instant::now();
    assert_eq!(active.ping(), "+PONG");
    incomplete.send(b"*4\r\n$8\r\nCALL");
    assert!(incomplete.read_reply().starts_with("-ERR"));
    assert!(incomplete.is_disconnected() && silent.is_disconnected());
    assert!(start.elapsed() < Duration::from_secs(5), "it took {:?}", start.elapsed());
    assert_eq!(active.ping(), "+PONG");
    // The timeout of an incomplete command starts with its first byte, not with the previous command.
    let ping = encode_command(&["PING"]);
    active.send(&ping[..5]);
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(active.round_trip(&ping[5..]), "+PONG");
}
