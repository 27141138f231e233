//! Tests of [`super`].

use super::error::Parsed;
use super::*;

fn argument_texts(buffer: &[u8]) -> Parsed<(Vec<String>, usize)> {
    let mut arguments = Vec::new();
    let length = parse_command(buffer, &mut arguments)?;
    let texts = arguments.iter().map(|range| String::from_utf8_lossy(&buffer[range.clone()]).into_owned());
    let texts = texts.collect();
    Ok(length.map(|length| (texts, length)))
}

/// A command arrives in pieces of any size. It is parsed only once its last byte has arrived, and the bytes
/// after it belong to the next command; a wrong length would yield a different command.
#[test]
fn a_command_is_complete_only_with_its_last_byte() {
    let complete = b"*2\r\n$4\r\nINFO\r\n$4\r\nlo\r\n\r\n*1";
    let expected = (vec!["INFO".to_string(), "lo\r\n".to_string()], complete.len() - 2);
    assert_eq!(argument_texts(complete), Ok(Some(expected)));
    for cut in 0..complete.len() - 2 {
        assert_eq!(argument_texts(&complete[..cut]), Ok(None), "cut at {cut}");
    }
}

/// A client sends input that can never become a valid command, or announces a length over the limit. It is
/// rejected at the first such byte; if the ingress waited for the rest, the client could make it buffer
/// without bound.
#[test]
fn a_malformed_or_oversized_command_is_rejected_at_its_first_invalid_byte() {
    for malformed in [
        &b"P"[..],
        b"*0\r\n",
        b"*-1\r\n",
        b"*9\r\n",
        b"*+1\r\n",
        b"*1\n",
        b"*1\r\n+",
        b"*1\r\n*1\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$65537\r\n",
        b"*1\r\n$99999999999",
        b"*1\r\n$1\r\nabc",
        b"*2\r\n$65536\r\n",
    ] {
        let text = String::from_utf8_lossy(malformed).into_owned();
        let padded = [malformed, &vec![b'x'; 70_000]].concat();
        // The last one is within the limit of a value: the total exceeds its limit only with the next
        // argument.
        let input = if text.contains("65536") {
            [malformed, &vec![b'x'; 65_536], b"\r\n$4097\r\n"].concat()
        } else {
            padded
        };
        assert!(argument_texts(&input).is_err(), "{text:?}");
    }
}

/// A backend's reply is an array with a value, which may be followed by nulls and a load report. An
/// incomplete reply is waited for, and a malformed or unbounded one is an error; accepted, it would give a
/// client a value that no backend sent.
#[test]
fn replies_are_parsed_with_nulls_and_within_the_limits() {
    let complete = b"*3\r\n$2\r\nhi\r\n*-1\r\n$9\r\nutil=0.61\r\n";
    let Ok(Some(ParsedReply { reply: Reply::Array(elements), length })) = parse_reply(complete) else {
        panic!("not an array")
    };
    assert_eq!(length, complete.len());
    assert_eq!(&complete[elements[0].span.clone()], b"$2\r\nhi\r\n");
    assert_eq!(
        (elements[1].kind, &complete[elements[2].payload.clone()]),
        (ElementKind::Null, &b"util=0.61"[..])
    );
    for cut in 0..complete.len() {
        assert_eq!(parse_reply(&complete[..cut]), Ok(None), "cut at {cut}");
    }
    for malformed in
        [&b"?\r\n"[..], b"*1\r\n*1\r\n:1\r\n", b"$65537\r\n", b"*9\r\n", b"+a\n", b"$1\r\nab\r\n"]
    {
        assert!(parse_reply(malformed).is_err(), "{:?}", String::from_utf8_lossy(malformed));
    }
    assert!(parse_reply(&[&b"-"[..], &[b'e'; 2000]].concat()).is_err(), "an unbounded line");
}

/// A command is discarded while it arrives, in whatever pieces. If the skipper and the parser disagreed on the
/// end of a command, the next one would be lost; if they disagreed on errors, a client could send without end.
#[test]
fn the_skipper_agrees_with_the_parser() {
    let long = [&b"*2\r\n$4\r\nSAVE\r\n$60000\r\n"[..], &vec![b'x'; 60_000], b"\r\n"].concat();
    let too_long = [&b"*2\r\n$65536\r\n"[..], &vec![b'x'; 65_536], b"\r\n$4097\r\n"].concat();
    for command in [
        &b"*2\r\n$0\r\n\r\n$2\r\n\r\n\r\n"[..],
        &long,
        &too_long,
        b"PING\r\n",
        b"*0\r\n",
        b"*9\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n:1\r\n",
        b"*1\r\n$1\r\nab\r\n",
        b"*1\r\n$00000000001\r\n",
    ] {
        let input = [command, b"*1\r\n"].concat();
        let expected = parse_command(&input, &mut Vec::new());
        for piece in [1, 7, 1000, input.len()] {
            let mut skipper = CommandSkipper::default();
            let mut arrived = 0;
            let mut result = Ok(None);
            for bytes in input.chunks(piece) {
                result = skipper.skip(bytes).map(|end| end.map(|end| arrived + end));
                arrived += bytes.len();
                if result != Ok(None) {
                    break;
                }
            }
            assert_eq!(result, expected, "{:?}", String::from_utf8_lossy(&command[..command.len().min(30)]));
        }
    }
}
