//! Tests of [`super`].

use super::field_reader::FieldReader;
use super::record::RECORD_BYTES;
use super::reply::{ACTION_BYTES, REPLY_HEADER_BYTES};
use super::*;
use ingress::{
    Action, AttemptEnded, Availability, BackendId, CustomerId, Duration, Endpoint, EndpointUpdate, Event,
    GatewayId, Instant, LoadReportField, Outcome, Request, RequestId,
};

/// A field of an action at a wrong offset would send a request to another backend or answer another client,
/// and the simulator could not detect it.
#[test]
fn actions_are_encoded_with_their_codes_and_offsets() {
    let (id, backend) = (RequestId(0x0a_0b0c), BackendId(0x0605_0403_0201));
    let actions = [
        (
            10,
            Action::Send { id, backend, expires_at: Some(Instant::from_micros(77)) },
            vec![(3, 0x0c), (11, 77), (19, 1), (24, 6)],
        ),
        (
            20,
            Action::Reject { id, retry_after: Duration::from_micros(300) },
            vec![(3, 0x0c), (11, 44), (12, 1)],
        ),
        (30, Action::Fail(id), vec![(3, 0x0c), (4, 0x0b)]),
        (40, Action::Cancel { id, attempt: 258 }, vec![(3, 0x0c), (11, 2), (12, 1)]),
        (50, Action::SetTimer { delay: Duration::from_micros(5), token: 9 }, vec![(3, 5), (7, 9)]),
        (80, Action::SendToPeer { to: Some(GatewayId(2)), bytes: vec![8, 9] }, vec![(3, 2), (5, 0), (9, 2)]),
        (80, Action::SendToPeer { to: None, bytes: vec![7] }, vec![(3, 255), (4, 255), (5, 2), (9, 1)]),
        (90, Action::Log("abc".into()), vec![(3, 3), (7, 3)]),
        (110, Action::PollDiscovery, vec![(3, 1)]),
    ];
    let mut reply = Reply::new(5);
    let list: Vec<Action> = actions.iter().map(|(_, action, _)| action.clone()).collect();
    reply.push(InstanceId(3), &list);
    let frame = reply.finish();
    let mut header = FieldReader::new(&frame);
    assert_eq!((header.u32() as usize, header.u32() as usize), (actions.len(), frame.len()));
    assert_eq!(header.u32(), 5);
    assert_eq!(&frame[REPLY_HEADER_BYTES + ACTION_BYTES * actions.len()..], b"\x08\x09\x07abc");
    for (index, (code, action, fields)) in actions.iter().enumerate() {
        let record = &frame[REPLY_HEADER_BYTES + ACTION_BYTES * index..][..ACTION_BYTES];
        assert_eq!(record[..3], [*code, 3, 0], "{action:?}");
        for (at, value) in fields {
            assert_eq!(record[*at], *value, "{action:?} at offset {at}");
        }
    }
}

/// Encodes the record of an event for instance 1, with the given bytes at the given offsets.
fn event_record(code: u8, parts: &[(usize, &[u8])]) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    (record[0], record[1]) = (code, 1);
    for (at, bytes) in parts {
        record[*at..*at + bytes.len()].copy_from_slice(bytes);
    }
    record
}

/// Decodes a record, and asserts that it is an event for instance 1.
fn read_event(body: [u8; RECORD_BYTES]) -> Event {
    let record = Record { batch: 1, index: 0, body: &body, tail: &[4, 5, 6] };
    assert_eq!(record.instance(), InstanceId(1));
    match record.decode(&[LoadReportField::QueueDepth]) {
        Ok(RecordContent::Event(event)) => event,
        _ => panic!("record is not an event"),
    }
}

fn float(value: f32) -> [u8; 4] {
    value.to_le_bytes()
}

/// Decoded from wrong offsets, a request would have another customer, plan or deadline.
#[test]
fn request_is_decoded_from_its_offsets() {
    let request = event_record(
        10,
        &[
            (3, &[9]),
            (11, &[2]),
            (12, &[3]),
            (14, &[4]),
            (22, &[5]),
            (30, &float(2.0)),
            (34, &float(3.0)),
            (38, &float(7.0)),
        ],
    );
    let Event::Request(request) = read_event(request) else { panic!("event is not a request") };
    let Request { id, class, plan, customer, deadline, units, gateway_set_size, gateway_set_start } = request;
    assert_eq!((id, class, plan, customer), (RequestId(9), 2, 3, CustomerId(4)));
    assert_eq!(deadline, Instant::from_micros(5));
    assert_eq!((units, gateway_set_size, gateway_set_start), (2.0, 3.0, 7.0));
}

/// With an outcome decoded from a wrong offset, a request that was executed could be retried, or one that was
/// served could be failed.
#[test]
fn end_of_an_attempt_is_decoded_from_its_offsets() {
    let attempt_ended = event_record(
        20,
        &[
            (3, &[9]),
            (11, &[7]),
            (15, &[200]),
            (17, &[1]),
            (18, &[2]),
            (20, &[51]),
            (22, &[8]),
            (28, &[3]),
            (30, &[1]),
            (31, &float(6.0)),
        ],
    );
    let Event::AttemptEnded(AttemptEnded {
        id,
        attempt,
        backend,
        outcome,
        request_closed,
        elapsed,
        charged_units,
        reported_queue_depth,
    }) = read_event(attempt_ended)
    else {
        panic!("event is not the end of an attempt")
    };
    assert_eq!((id, attempt, backend), (RequestId(9), 2, BackendId(8)));
    assert_eq!((outcome, request_closed, elapsed), (Outcome::Ok, true, Duration::from_micros(7)));
    assert_eq!((charged_units, reported_queue_depth), (Some(3.0), Some(6.0)));
}

/// Decoded from wrong offsets, disconnects, timers, first bytes and peer messages would concern another
/// request or peer. Health checks and counters are decoded as well, though they are ignored.
#[test]
fn other_events_are_decoded_from_their_offsets() {
    assert!(matches!(read_event(event_record(90, &[(3, &[6])])), Event::RequestClosed(RequestId(6))));
    assert!(matches!(read_event(event_record(70, &[(3, &[6])])), Event::Timer(6)));
    let first_byte = read_event(event_record(100, &[(3, &[6]), (11, &[2])]));
    assert!(matches!(first_byte, Event::FirstByte { id: RequestId(6), attempt: 2 }));
    let message = read_event(event_record(80, &[(3, &[2]), (5, &[1]), (9, &[2])]));
    let Event::PeerMessage { from, bytes } = message else { panic!("event is not a peer message") };
    assert_eq!((from, bytes), (GatewayId(2), vec![5, 6]));
    let health_check = event_record(30, &[(3, &[8]), (9, &[0x99, 1]), (11, &[7])]);
    assert!(matches!(read_event(health_check), Event::Unused));
    let counter = event_record(40, &[(3, &[5]), (11, &[200]), (13, &float(38.0))]);
    assert!(matches!(read_event(counter), Event::Unused));
}

/// An unknown outcome in an ignored event means that the layout of the frame differs from the expected one.
/// Without an error, the following records would be decoded wrongly.
#[test]
fn unused_event_with_an_unknown_outcome_is_rejected() {
    for (code, outcome_at) in [(30, 9), (40, 11)] {
        let body = event_record(code, &[(outcome_at, &[0x9a, 1])]);
        let record = Record { batch: 1, index: 0, body: &body, tail: &[] };
        let Err(error) = record.decode(&[]) else { panic!("code {code}: record was accepted") };
        assert_eq!(error.to_string(), "batch 1, record 0, field outcome: unknown code 410");
    }
}

/// The rows of an endpoint list are in the tail of a batch, 24 bytes each. Decoded from wrong offsets, a row
/// would contain an unknown backend, or a draining one as ready.
#[test]
fn endpoint_list_is_decoded_from_the_tail() {
    let mut row = [0; 24];
    row[0] = 7;
    (row[6], row[7], row[9], row[11]) = (2, 3, 4, 1);
    row[12..16].copy_from_slice(&1.5f32.to_le_bytes());
    row[16] = 9;
    let mut body = [0; RECORD_BYTES];
    (body[0], body[1], body[3], body[16]) = (60, 1, 1, 1);
    let record = Record { batch: 1, index: 0, body: &body, tail: &row };
    assert_eq!(record.instance(), InstanceId(1));
    let Ok(RecordContent::Event(Event::Endpoints(update, endpoints))) = record.decode(&[]) else {
        panic!("event is not an endpoint list")
    };
    assert_eq!((update, endpoints.len()), (EndpointUpdate::Snapshot, 1));
    let Endpoint { backend, zone, cell, machine_type, availability, size, started_at } = endpoints[0];
    assert_eq!((backend, zone, machine_type, cell), (BackendId(7), 2, 3, 4));
    assert_eq!((availability, size, started_at), (Availability::Ready, 1.5, Some(Instant::from_micros(9))));
}
