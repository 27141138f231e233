//! Tests of [`super`].

use super::*;
use crate::discovery::max_body_bytes;
use crate::discovery::tests::{location_names, snapshot_json, MAX_BODY_BYTES};
use crate::error_chain::ErrorChain;
use ingress::{Availability, UnixTime};

/// Parses a response with the body limit of ingresses with little memory.
fn parse(received: &str, stream: StreamState) -> Result<Option<PollResponse>, PollError> {
    parse_response(received.as_bytes(), stream, &location_names(), MAX_BODY_BYTES)
}

const LIST: &str = r#"{"index":43,"snapshot":false,"endpoints":[
    {"name":"s-1","address":"127.0.0.9:6379","zone":"b","type":"m2","group":3,"status":"draining",
     "weight":1.5,"since_ms":7},
    {"name":"s-2","zone":"a","type":"m1","group":3,"status":"removed","weight":1.0,"since_ms":0}]}"#;

/// The end of a response is marked by its length, by chunks, or by closing the connection. If a list were
/// used before it is complete, healthy backends that it does not contain yet would be removed.
#[test]
fn responses_of_all_three_framings_are_parsed_only_when_complete() {
    let chunked = format!("{:x}\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n", 9, &LIST[..9], LIST.len() - 9, &LIST[9..]);
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
    let chunked = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunked}");
    let until_closed = format!("HTTP/1.0 200 OK\r\n\r\n{LIST}");
    for (text, stream, persistence) in [
        (length, StreamState::Open, Persistence::KeepAlive),
        (chunked, StreamState::Open, Persistence::KeepAlive),
        (until_closed, StreamState::Ended, Persistence::Close),
    ] {
        let Ok(Some(response)) = parse(&text, stream) else { panic!("not parsed: {text}") };
        let list = response.endpoints;
        assert_eq!((list.index, list.is_snapshot, response.persistence), (43, false, persistence));
        let [one, two] = &list.entries[..] else { panic!("not two entries") };
        assert_eq!((one.endpoint.zone, one.endpoint.machine_type, one.endpoint.cell), (1, 1, 3));
        assert_eq!(
            (one.started_at, one.endpoint.availability),
            (UnixTime::from_micros(7000), Availability::Draining)
        );
        assert_eq!((two.address, two.endpoint.availability), (None, Availability::Gone));
        for cut in 0..text.len() - 1 {
            let part = parse(&text[..cut], StreamState::Open);
            assert!(matches!(part, Ok(None)), "cut at {cut}: {text}");
        }
    }
}

/// Discovery responds with an error status, invalid JSON or bytes that are not HTTP. If this counted as an
/// incomplete response, the ingress would wait for more bytes with an outdated list instead of polling again.
#[test]
fn an_invalid_response_fails_at_once_instead_of_counting_as_incomplete() {
    for bad in [
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "SSH-2.0\r\n",
    ] {
        assert!(parse(bad, StreamState::Open).is_err(), "{bad}");
    }
}

/// A deployment has 60,000 backends. With a fixed limit of 4 MiB per response, about 35,000 backends, the
/// ingress would reject every list. The limit grows with the memory, and longer lists are still rejected.
#[test]
fn the_maximum_size_of_a_list_grows_with_the_memory() {
    assert_eq!((max_body_bytes(32 << 20), max_body_bytes(192 << 20)), (4 << 20, 24 << 20));
    let list = snapshot_json(60_000);
    let size = list.len();
    assert!((4 << 20..16 << 20).contains(&size), "{size}");
    let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
    let halves = chunk(&list[..size / 2]) + &chunk(&list[size / 2..]);
    let texts = [
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n{list}"), StreamState::Open),
        (
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{halves}0\r\n\r\n"),
            StreamState::Open,
        ),
        (format!("HTTP/1.0 200 OK\r\n\r\n{list}"), StreamState::Ended),
    ];
    let max_bytes = 16 << 20;
    for (framing, (text, stream)) in texts.iter().enumerate() {
        let parse =
            |received: &str| parse_response(received.as_bytes(), *stream, &location_names(), max_bytes);
        let Ok(Some(response)) = parse(text) else { panic!("framing {framing} is not parsed") };
        let list = response.endpoints;
        assert_eq!((list.entries.len(), list.is_snapshot), (60_000, true));
        // Without the last byte the response is incomplete or invalid.
        let cut = parse(&text[..text.len() - 1]);
        assert!(!matches!(cut, Ok(Some(_))), "framing {framing}");
    }
    let long = parse(&texts[0].0, StreamState::Open);
    assert!(long.is_err(), "longer than the limit");
}

/// Returns the error text of an invalid response.
fn error_text(response: &str) -> String {
    let error = parse(response, StreamState::Open).err().expect("the response is invalid");
    ErrorChain(&error).to_string()
}

/// Discovery sends a list with one mistake. The error in the log has to name the entry and the key, since
/// operators search for them.
#[test]
fn each_invalid_list_has_its_error_text() {
    let list = |entry: &str| format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{entry}]}}");
    let entry = r#"{"name":"s","address":"1.2.3.4:5","status":"up"}"#;
    let with = |from: &str, to: &str| list(entry).replace(from, to);
    for (body, text) in [
        ("{]".into(), "key must be a string at line 1 column 2"),
        ("[]".into(), "invalid type: sequence, expected an endpoint list at line 1 column 0"),
        ("{}".into(), "index is missing or not a whole number at line 1 column 2"),
        (with("\"index\":1", "\"index\":-1"), "index is missing or not a whole number at line 1 column 91"),
        (with("true", "1"), "snapshot is missing or not a boolean at line 1 column 87"),
        ("{\"index\":1,\"snapshot\":true}".into(), "endpoints is missing or not a list at line 1 column 27"),
        (
            "{\"index\":1,\"snapshot\":true,\"endpoints\":7}".into(),
            "invalid type: integer `7`, expected a list of endpoints at line 1 column 40",
        ),
        (list("{}"), "endpoints has an entry without a name at line 1 column 43"),
        (
            with("\"status\":\"up\"", "\"x\":1"),
            "endpoints: status of s is missing or invalid at line 1 column 81",
        ),
        (with("1.2.3.4:5", "x"), "endpoints: address of s is missing or invalid at line 1 column 81"),
        (
            with("\"up\"", "\"up\",\"since_ms\":-1"),
            "endpoints: since_ms of s is missing or invalid at line 1 column 103",
        ),
        (
            with("\"up\"", "\"up\",\"group\":70000"),
            "endpoints: group of s is missing or invalid at line 1 column 103",
        ),
        (list(entry) + "7", "trailing characters at line 1 column 91"),
    ] {
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        assert_eq!(error_text(&response), format!("response is not a valid endpoint list: {text}"));
    }
}

/// Discovery sends a malformed, unsuccessful or oversized HTTP response. The error in the log has to state
/// which of these it is, since operators search for it.
#[test]
fn each_invalid_response_has_its_error_text() {
    let long_head = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000));
    for (response, text) in [
        ("SSH-2.0\r\n", "malformed HTTP response: invalid HTTP version"),
        ("HTTP/1.1 503 Busy\r\n\r\n", "unexpected response status 503"),
        (&long_head[..], "response head exceeds its size limit"),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 1e3\r\n\r\n",
            "content length is not a number or exceeds the size limit: 1e3",
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n",
            "content length is not a number or exceeds the size limit: 4194305",
        ),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "malformed chunk size in response"),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
            "response exceeds its size limit",
        ),
    ] {
        assert_eq!(error_text(response), text);
    }
}
