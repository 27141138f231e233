//! Tests of [`super`].

use super::*;
use crate::discovery::max_body_bytes;
use crate::discovery::tests::{location_names, long_list, MOST_BODY};
use ingress::Availability;

const LIST: &str = r#"{"index":43,"snapshot":false,"endpoints":[
    {"name":"s-1","address":"127.0.0.9:6379","zone":"b","type":"m2","group":3,"status":"draining",
     "weight":1.5,"since_ms":7},
    {"name":"s-2","zone":"a","type":"m1","group":3,"status":"removed","weight":1.0,"since_ms":0}]}"#;

#[test]
fn answers_are_read_in_all_three_framings_and_never_before_their_end() {
    let chunked = format!("{:x}\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n", 9, &LIST[..9], LIST.len() - 9, &LIST[9..]);
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
    let chunked = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunked}");
    for (text, ended) in [(length, false), (chunked, false), (format!("HTTP/1.0 200 OK\r\n\r\n{LIST}"), true)]
    {
        let Answer::Whole(list, goes_on) = read_answer(text.as_bytes(), ended, &location_names(), MOST_BODY)
        else {
            panic!("not read: {text}")
        };
        assert_eq!((list.index, list.is_snapshot, goes_on), (43, false, !ended));
        let [one, two] = &list.entries[..] else { panic!("not two entries") };
        assert_eq!((one.endpoint.zone, one.endpoint.machine_type, one.endpoint.cell), (1, 1, 3));
        assert_eq!((one.endpoint.started_at, one.endpoint.availability), (7000, Availability::Draining));
        assert_eq!((two.address, two.endpoint.availability), (None, Availability::Gone));
        for cut in 0..text.len() - 1 {
            let part = read_answer(&text.as_bytes()[..cut], false, &location_names(), MOST_BODY);
            assert!(matches!(part, Answer::Partial), "cut at {cut}: {text}");
        }
    }
}

#[test]
fn what_is_no_list_is_told_apart_from_what_is_not_whole() {
    for bad in [
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "SSH-2.0\r\n",
    ] {
        assert!(
            matches!(read_answer(bad.as_bytes(), false, &location_names(), MOST_BODY), Answer::Bad(_)),
            "{bad}"
        );
    }
}

/// Guards against a list that is refused for its length where there is memory for it, and one that is taken where there is
/// none: 4 MiB were the most, some 35,000 backends, whatever the memory.
#[test]
fn a_list_may_be_as_long_as_the_memory_has_room_for() {
    assert_eq!((max_body_bytes(32 << 20), max_body_bytes(192 << 20)), (4 << 20, 24 << 20));
    let list = long_list(60_000);
    let size = list.len();
    assert!((4 << 20..16 << 20).contains(&size), "{size}");
    let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
    let halves = chunk(&list[..size / 2]) + &chunk(&list[size / 2..]);
    let texts = [
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n{list}"), false),
        (format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{halves}0\r\n\r\n"), false),
        (format!("HTTP/1.0 200 OK\r\n\r\n{list}"), true),
    ];
    for (n, (text, ended)) in texts.iter().enumerate() {
        let Answer::Whole(list, _) = read_answer(text.as_bytes(), *ended, &location_names(), 16 << 20) else {
            panic!("framing {n} is not read")
        };
        assert_eq!((list.entries.len(), list.is_snapshot), (60_000, true));
        // All but its last byte: not whole, or no list.
        let cut = read_answer(&text.as_bytes()[..text.len() - 1], *ended, &location_names(), 16 << 20);
        assert!(!matches!(cut, Answer::Whole(..)), "framing {n}");
    }
    let long = read_answer(texts[0].0.as_bytes(), false, &location_names(), MOST_BODY);
    assert!(matches!(long, Answer::Bad(_)), "longer than there is memory for");
}
