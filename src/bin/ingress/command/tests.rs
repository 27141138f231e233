//! Tests of [`super`].

use super::*;
use crate::resp;
use ingress::IdempotencyScope;

fn schema() -> CommandSchema {
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Cell, window: Duration::from_secs(3) };
    let classes = vec![
        ClassSchema { name: "quote".into(), idempotency: Idempotency::Idempotent },
        ClassSchema { name: "save".into(), idempotency: keyed },
        ClassSchema { name: "refer".into(), idempotency: Idempotency::NonIdempotent },
    ];
    let plans = vec!["starter".into(), "business".into()];
    CommandSchema { classes, plans, max_units: 4.0, gateway_count: 4 }
}

fn parse(parts: &[&str]) -> Result<Command, CommandError> {
    let (mut buffer, mut arguments) = (Vec::new(), Vec::new());
    resp::write_array_header(&mut buffer, parts.len());
    for part in parts {
        resp::write_bulk_string(&mut buffer, &[part.as_bytes()]);
    }
    resp::parse_command(&buffer, &mut arguments).unwrap().unwrap();
    Command::parse(&buffer, &arguments, &schema()).unwrap()
}

/// A command is parsed and encoded again for a backend. Customer, id, options and body stay as the client
/// sent them, byte by byte; only the timeout is replaced by the time that is left.
#[test]
fn a_command_is_forwarded_unchanged_except_for_its_timeout() {
    let options = "c=save,t=business,d=480,k=5c0f,r=1,units=2,spread=3,first=1,new=x";
    let command = parse(&["CALL.POST", "00000000b4d65521", "9b1f", options, "BO\r\nDY"]).unwrap();
    let request = command.request;
    assert_eq!(
        (request.class, request.plan, request.customer.0, command.timeout),
        (1, 1, 0xb4d6_5521, Duration::from_millis(480))
    );
    assert_eq!(command.client_request_id(), b"9b1f");
    assert_eq!((request.units, request.gateway_set_size, request.gateway_set_start), (2.0, 3.0, 1.0));
    let mut out = Vec::new();
    command.encode(Duration::from_micros(123_999), &mut out);
    let options = options.replace("480", "123");
    let expected = format!(
        "*5\r\n$9\r\nCALL.POST\r\n$16\r\n00000000b4d65521\r\n$4\r\n9b1f\r\n${}\r\n{options}\r\n$6\r\nBO\r\nDY\r\n",
        options.len()
    );
    assert_eq!(String::from_utf8(out).unwrap(), expected);
}

/// A client's request has an invalid, missing or repeated option, or an invalid customer, id or body. The
/// error names the fault, so that the client can be corrected; a request accepted with a wrong value could be
/// charged to another customer.
#[test]
fn an_error_names_the_missing_or_invalid_part() {
    let valid = "c=quote,t=starter,d=480,units=2,spread=3,first=1";
    assert!(parse(&["CALL.GET", "00000000b4d65521", "9b1f", valid]).is_ok());
    for (from, to, expected) in [
        ("c=quote", "c=other", "class"),
        ("c=quote", "c=save", "CALL.GET"),
        ("t=starter", "t=gold", "plan"),
        ("d=480", "d=-1", "d is no"),
        ("d=480", "d=99999999999999999999", "d is no"),
        ("units=2", "units=nan", "units"),
        ("units=2", "units=1e9", "units"),
        ("units=2", "units=-400", "units"),
        ("units=2", "units=0", "units is out of range"),
        ("units=2", "units=4.1", "units is out of range"),
        ("spread=3", "spread=0", "spread is out of range"),
        ("spread=3", "spread=5", "spread is out of range"),
        ("first=1", "first=4", "first is out of range"),
        ("first=1", "first=-1", "first is no"),
        ("spread=3", "spread=x", "spread"),
        (",first=1", "", "first is missing"),
        (",first=1", ",first", "'='"),
        ("units=2", "units=2,units=3", "twice"),
    ] {
        let error = parse(&["CALL.GET", "00000000b4d65521", "9b1f", &valid.replace(from, to)])
            .unwrap_err()
            .to_string();
        assert!(error.contains(expected), "{to}: {error}");
    }
    assert!(parse(&["CALL.GET", "0000000fb4d65521", "9b1f", valid]).is_err(), "a customer of 2^33 or more");
    assert!(parse(&["CALL.GET", "b4d65521", "9b1f", valid]).is_err(), "a short customer");
    assert!(parse(&["CALL.GET", "00000000b4d65521", "", valid]).is_err(), "an empty id");
    assert!(parse(&["CALL.GET", "00000000b4d65521", "9b1f", valid, "BODY"]).is_err());
    let save = valid.replace("quote", "save");
    assert!(parse(&["CALL.POST", "00000000b4d65521", "9b1f", &save, "BODY"])
        .unwrap_err()
        .to_string()
        .contains('k'));
}
