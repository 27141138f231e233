//! Tests of forwarding requests and replies, connection reuse and rejections over quota.

use crate::requests::is_rejected;
use crate::support::backend::{reply_with_value, Backend, BackendReply};
use crate::support::client::{encode_request, encode_request_of};
use crate::support::ingress::IngressSetup;
use crate::support::resp::encode_command;
use std::thread;
use std::time::{Duration, Instant};

/// The backend receives the command as the client sent it, except for the time left, and the client receives
/// the backend's value. A changed customer, id, key or body would charge the wrong customer or execute
/// another order.
#[test]
fn a_request_and_its_value_are_forwarded_unchanged() {
    let backend = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    let request = encode_command(&[
        "CALL.POST",
        "00000000b4d65521",
        "9b1f03aa5c7e2d41",
        "c=save,t=starter,d=2480,k=5c0f6e1a,r=1,units=2,spread=1,first=0,new=x",
        "BO\r\nDY",
    ]);
    assert_eq!(client.round_trip(&request), "value of 9b1f03aa5c7e2d41");
    let commands = backend.commands();
    let [args] = &commands[..] else { panic!("expected one attempt: {commands:?}") };
    assert_eq!(
        (&args[..3].join(" "), &args[4]),
        (&"CALL.POST 00000000b4d65521 9b1f03aa5c7e2d41".into(), &"BO\r\nDY".into())
    );
    let (before, rest) = args[3].split_once("d=").unwrap();
    let (wait_ms, after) = rest.split_once(',').unwrap();
    assert_eq!((before, after), ("c=save,t=starter,", "k=5c0f6e1a,r=1,units=2,spread=1,first=0,new=x"));
    // The time left of this attempt is at most the client's timeout and close to it.
    assert!((2000..=2480).contains(&wait_ms.parse::<u32>().unwrap()), "d={wait_ms}");
}

/// Consecutive requests reuse one connection to the backend. A new connection costs the backend work and
/// delays the request, as a TLS handshake does.
#[test]
fn an_idle_backend_connection_is_reused() {
    let backend = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    for number in 0..20 {
        assert_eq!(
            client.round_trip(&encode_request("quote", &format!("q{number}"), 900)),
            format!("value of q{number}")
        );
        thread::sleep(Duration::from_millis(40)); // a connection is not reused for a moment after a reply
    }
    assert_eq!(backend.connections_opened(), 1, "the newest idle connection is reused");
}

/// A customer with a burst of seven sends twelve requests in a row. Requests over the quota are rejected
/// quickly, without reaching a backend, and with a retry-after time, without which clients would retry at
/// once and be rejected again.
#[test]
fn requests_over_the_quota_are_rejected_at_once_with_a_retry_after() {
    let backend = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    let mut rejections = Vec::new();
    for number in 0..12 {
        let start = Instant::now();
        let reply = client.round_trip(&encode_request_of(4711, "quote", &format!("q{number}"), 900));
        if is_rejected(&reply) {
            rejections.push((reply, start.elapsed()));
        }
    }
    assert!(rejections.len() >= 3, "more than 9 of 12 requests admitted with a burst of 7");
    assert_eq!(backend.command_count(), 12 - rejections.len(), "rejected requests reach no backend");
    for (reply, elapsed) in rejections {
        let retry_after: u32 =
            reply.trim_start_matches("-BUSY ").parse().unwrap_or_else(|_| panic!("{reply}"));
        assert!(
            (1..=2000).contains(&retry_after) && elapsed < Duration::from_millis(450),
            "{reply} after {elapsed:?}"
        );
    }
}

/// A backend adds a malformed load report to its reply. The request was executed and its value is valid, so
/// the client has to receive the value instead of an error.
#[test]
fn a_value_is_forwarded_despite_a_malformed_load_report() {
    for load in ["$3\r\n=,=\r\n", "$9\r\nutil=-1e9\r\n", "$8\r\nutil=nan\r\n", ":7\r\n", "+x\r\n"] {
        let reply = format!("*3\r\n$2\r\nok\r\n$-1\r\n{load}");
        let backend = Backend::start(move |_| BackendReply::Bytes(reply.clone().into_bytes()));
        let ingress = IngressSetup::with_backends(&[&backend]).start();
        assert_eq!(ingress.client().round_trip(&encode_request("refer", "r1", 2000)), "ok", "{load:?}");
    }
}
