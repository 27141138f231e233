//! Tests of the protocols: encoding, and parsing of complete and partial input.

use stand_ins::endpoint::{list_json, EndpointEntry, EndpointStatus, ListKind};
use stand_ins::http::{read_head, response, Poll};
use stand_ins::request::{encode_request, Customer, RequestClass};
use stand_ins::resp::{
    encode_command, encode_served, parse_command, parse_reply, read_value, Command, ReceivedReply, Reply,
};
use std::time::Duration;

/// Returns all proper prefixes of `bytes`.
fn incomplete_prefixes(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    (0..bytes.len()).map(|length| &bytes[..length])
}

/// A backend parses a command that arrives in pieces only once it is complete, and leaves the following bytes
/// unread. If it accepted a partial command, the ingress would appear to be faulty.
#[test]
fn command_is_parsed_only_when_complete() {
    let bytes = encode_command(&["CALL.GET", "7", "", "c=quote"]);
    assert_eq!(bytes, b"*4\r\n$8\r\nCALL.GET\r\n$1\r\n7\r\n$0\r\n\r\n$7\r\nc=quote\r\n");
    for part in incomplete_prefixes(&bytes) {
        assert_eq!(parse_command(part), None, "{part:?}");
    }
    let words = ["CALL.GET", "7", "", "c=quote"].map(String::from).to_vec();
    let command = Command { words: words.clone(), length: bytes.len() };
    assert_eq!(parse_command(&bytes), Some(command.clone()));
    let followed = [bytes.as_slice(), b"*1\r\n"].concat();
    assert_eq!(parse_command(&followed), Some(command), "the following bytes are not consumed");
    assert_eq!(read_value(&mut followed.as_slice()), Some(words));
    assert_eq!(parse_command(b"+PONG\r\n"), None);
}

/// A client parses a reply that arrives in pieces only once it is complete. A partial reply would be reported
/// as a wrong value.
#[test]
fn reply_is_parsed_only_when_complete() {
    let value = |text: &str, length| ReceivedReply { reply: Reply::Value(text.into()), length };
    let line = |text: &str, length| ReceivedReply { reply: Reply::Line(text.into()), length };
    for (bytes, expected) in [
        (&b"$5\r\na\r\nbc\r\n"[..], value("a\r\nbc", 11)),
        (b"$0\r\n\r\n", value("", 6)),
        (b"-BUSY retry_after_ms=7\r\n", line("-BUSY retry_after_ms=7", 24)),
        (b"$-1\r\n", line("$-1", 5)),
    ] {
        for part in incomplete_prefixes(bytes) {
            assert_eq!(parse_reply(part), None, "{part:?}");
        }
        assert_eq!(parse_reply(bytes), Some(expected));
    }
}

/// A backend's reply consists of a value and an optional load report in the protocol's encoding. The ingress
/// would report an error for a malformed reply, and a test would attribute it to the ingress.
#[test]
fn backend_reply_has_value_and_load_report() {
    assert_eq!(encode_served("abc", None), b"*3\r\n$3\r\nabc\r\n$-1\r\n$-1\r\n");
    assert_eq!(encode_served("", Some("util=0.25")), b"*3\r\n$0\r\n\r\n$-1\r\n$9\r\nutil=0.25\r\n");
    let texts = read_value(&mut encode_served("abc", Some("util=0.25")).as_slice());
    assert_eq!(texts.unwrap(), ["abc", "$-1", "util=0.25"]);
    assert_eq!(read_value(&mut &b"*2\r\n$3\r\nabc\r\n"[..]), None);
}

/// A client sends requests of each class with the command, options and key of that class. A keyed request
/// without a key, for example, would not test idempotency keys.
#[test]
fn requests_have_the_options_of_their_class() {
    let customer = Customer { number: 255, plan: "metered", set_size: 3, set_start: 9 };
    let words = |class| parse_command(&encode_request(class, "r1", customer, 900)).unwrap().words;
    let options = |class: &str, key: &str| format!("c={class},t=metered,d=900{key},units=1,spread=3,first=9");
    let customer = "00000000000000ff";
    let quote = options("quote", "");
    assert_eq!(words(RequestClass::Idempotent), ["CALL.GET", customer, "r1", &quote]);
    let save = options("save", ",k=00ff");
    assert_eq!(words(RequestClass::Keyed), ["CALL.POST", customer, "r1", &save, "BODY"]);
    let refer = options("refer", "");
    assert_eq!(words(RequestClass::NonIdempotent), ["CALL.POST", customer, "r1", &refer, "BODY"]);
    for class in [RequestClass::Idempotent, RequestClass::Keyed, RequestClass::NonIdempotent] {
        assert_eq!(class.name().parse(), Ok(class));
    }
    assert!("none".parse::<RequestClass>().is_err());
}

/// Discovery answers polls for a snapshot and for changes, and refuses other requests. Otherwise an ingress
/// that sends wrong requests would pass its tests.
#[test]
fn only_polls_of_the_endpoint_list_are_parsed() {
    let parse = |target: &str| Poll::parse(&format!("GET {target} HTTP/1.1\r\nHost: d\r\n\r\n")).ok();
    let snapshot = Poll { since: None, timeout: Duration::ZERO };
    assert_eq!(parse("/v1/endpoints"), Some(snapshot));
    let watch = Poll { since: Some(41), timeout: Duration::from_secs(20) };
    assert_eq!(parse("/v1/endpoints?since=41&timeout_ms=20000"), Some(watch));
    for target in
        ["/v1/endpoint", "/v1/endpoints2", "/v1/endpoints?timeout_ms=1", "/", "/v1/endpoints?since=x"]
    {
        assert_eq!(parse(target), None, "{target}");
    }
    assert!(Poll::parse("POST /v1/endpoints HTTP/1.1\r\n\r\n").is_err());
}

/// A request head is read if it arrives completely, but not if the connection ends early or the server is
/// being stopped. Waiting for the rest of the head would block the test.
#[test]
fn request_head_is_read_only_while_the_connection_stays_open() {
    let head = "GET /v1/endpoints HTTP/1.1\r\n\r\n";
    assert_eq!(read_head(&mut head.as_bytes(), || true).as_deref(), Some(head));
    assert_eq!(read_head(&mut head.as_bytes(), || false), None);
    assert_eq!(read_head(&mut &head.as_bytes()[..20], || true), None);
    assert_eq!(response("{}"), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
}

/// An endpoint list has the protocol's JSON format, with the name, location, status and start of each entry.
/// The ingress rejects other formats, so that tests would have no backends.
#[test]
fn endpoint_list_has_the_expected_json() {
    let entry = EndpointEntry {
        name: "s-1",
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "a",
        machine_type: "m",
        cell: 3,
        status: EndpointStatus::Draining,
        started_at_ms: 12,
    };
    let json = r#"{"name":"s-1","address":"127.0.0.1:80","zone":"a","type":"m","group":3,"status":"draining","weight":1.0,"since_ms":12}"#;
    assert_eq!(entry.to_json(), json);
    let entries = [entry.to_json(), entry.to_json()];
    let expected = format!(r#"{{"index":7,"snapshot":true,"endpoints":[{json},{json}]}}"#);
    assert_eq!(list_json(7, ListKind::Snapshot, &entries), expected);
    assert_eq!(list_json(8, ListKind::Delta, &[]), r#"{"index":8,"snapshot":false,"endpoints":[]}"#);
    for status in [EndpointStatus::Up, EndpointStatus::Draining, EndpointStatus::Removed] {
        assert_eq!(status.name().parse(), Ok(status));
    }
    assert!("gone".parse::<EndpointStatus>().is_err());
}
