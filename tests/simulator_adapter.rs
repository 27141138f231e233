//! Tests of the adapter's program with frames on standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const HEADER_BYTES: usize = 20;
const RECORD_BYTES: usize = 48;

/// Runs the adapter with this standard input until it exits.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write fails if the adapter exits on an error before it has read all input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

/// Encodes a batch as header, records and tail.
fn batch(number: u32, clock: u64, records: &[[u8; RECORD_BYTES]], tail: &[u8]) -> Vec<u8> {
    let size = HEADER_BYTES + records.len() * RECORD_BYTES + tail.len();
    let mut frame = Vec::new();
    frame.extend_from_slice(&(records.len() as u32).to_le_bytes());
    frame.extend_from_slice(&(size as u32).to_le_bytes());
    frame.extend_from_slice(&clock.to_le_bytes());
    frame.extend_from_slice(&number.to_le_bytes());
    for record in records {
        frame.extend_from_slice(record);
    }
    frame.extend_from_slice(tail);
    frame
}

/// Encodes a record as a code followed by fields, padded with zeros.
fn record(code: u8, fields: &[u8]) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    record[0] = code;
    record[1..=fields.len()].copy_from_slice(fields);
    record
}

/// Asserts that the adapter failed without a panic, with an error that contains all `parts`.
fn assert_fails_with(output: &Output, parts: &[&str]) {
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{text}");
    assert!(!text.contains("panicked"), "{text}");
    for part in parts {
        assert!(text.contains(part), "'{part}' not in: {text}");
    }
}

/// The simulator waits for a reply to each batch, including one without events, and ends a run by closing the
/// input. Without the reply it would hang, and with another exit status the run would fail.
#[test]
fn empty_batch_is_answered_and_end_of_input_is_a_success() {
    let output = run(&batch(9, 5, &[], &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 12, 0, 0, 0, 9, 0, 0, 0]);
}

/// A frame is truncated, or its length contradicts its contents. Without an error that states what is
/// missing, the failure of the run would be attributed to the gateway's decisions.
#[test]
fn truncated_or_inconsistent_frames_are_reported_without_a_reply() {
    assert_fails_with(&run(&batch(1, 5, &[], &[])[..13]), &["13 bytes of a batch header"]);
    let whole = batch(1, 5, &[record(70, &[0; 6])], &[]);
    let output = run(&whole[..40]);
    assert_fails_with(&output, &["20 of 48 bytes"]);
    assert!(output.stdout.is_empty());
    let mut short = whole.clone();
    short[4] = 21;
    assert_fails_with(&run(&short), &["batch 1", "too short"]);
}

/// One field of a record is invalid. Without batch, record and field in the error, the input would have to be
/// searched byte by byte.
#[test]
fn invalid_fields_are_reported_by_batch_record_and_field() {
    // A peer message whose bytes exceed the tail.
    let peer = record(80, &[0, 0, 1, 0, 200, 0, 0, 0, 9, 0, 0, 0]);
    assert_fails_with(
        &run(&batch(4, 5, &[record(70, &[0; 6]), peer], b"abc")),
        &["batch 4", "record 1", "octets"],
    );
    let attempt_ended = record(20, &[0; 30]);
    assert_fails_with(&run(&batch(4, 5, &[attempt_ended], &[])), &["record 0", "outcome", "unknown code 0"]);
    let start = record(50, &[0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 0, 15, 0, 0, 0]);
    assert_fails_with(
        &run(&batch(2, 5, &[start], b"grades.count=1\n")),
        &["record 0", "conf", "grades.0.effect"],
    );
}

/// A batch contains a record with an unknown code, and records for instances that are not running. These must
/// not terminate the run: the batch is answered, and the error output reports the ignored event.
#[test]
fn records_of_unknown_codes_and_stopped_instances_are_ignored() {
    let output = run(&batch(3, 5, &[record(222, &[1; 40]), record(90, &[7, 0]), record(110, &[7, 0])], &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 12, 0, 0, 0, 3, 0, 0, 0]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("instance is not running"));
}
