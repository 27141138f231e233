//! The built adapter tested through the frames on its standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const HEADER_SIZE: usize = 20;
const RECORD_SIZE: usize = 48;

/// Runs the adapter on this input to its end.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may end before it has read all: that is what some of these tests are about.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

/// A frame of a batch: header, records and tail.
fn batch(number: u32, clock: u64, records: &[[u8; RECORD_SIZE]], tail: &[u8]) -> Vec<u8> {
    let size = HEADER_SIZE + records.len() * RECORD_SIZE + tail.len();
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

/// A record of an event: its code, followed by its fields.
fn record(code: u8, fields: &[u8]) -> [u8; RECORD_SIZE] {
    let mut record = [0; RECORD_SIZE];
    record[0] = code;
    record[1..=fields.len()].copy_from_slice(fields);
    record
}

/// Asserts that the adapter ended without a panic and with an error that names all of these parts.
fn assert_fails_with(output: &Output, parts: &[&str]) {
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{text}");
    assert!(!text.contains("panicked"), "{text}");
    for part in parts {
        assert!(text.contains(part), "'{part}' not in: {text}");
    }
}

/// The simulator sends a batch without events and then closes the input. The adapter answers the batch, since the
/// simulator waits for an answer to each, and exits with success, since this is how a run ends.
#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_is_a_success() {
    let output = run(&batch(9, 5, &[], &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 12, 0, 0, 0, 9, 0, 0, 0]);
}

/// A frame ends too early, or its size contradicts its contents. The adapter exits with an error that says what is
/// missing, and neither panics nor answers; whoever runs a simulation learns that the input is at fault and not a
/// decision.
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

/// One field of one record among many is invalid. The error names batch, record and field, without which the person
/// who runs the simulation would have to search the input byte by byte.
#[test]
fn invalid_fields_are_reported_by_batch_record_and_field() {
    // A message whose bytes exceed the tail.
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

/// A batch holds an event of a kind that the adapter does not know, and events for instances that are not running.
/// The adapter skips them, answers the batch as usual and says so on its error output; one event that it cannot use
/// must not end the whole run.
#[test]
fn unknown_codes_and_instances_that_are_not_running_do_no_harm() {
    let output = run(&batch(3, 5, &[record(222, &[1; 40]), record(90, &[7, 0]), record(110, &[7, 0])], &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 12, 0, 0, 0, 3, 0, 0, 0]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("no such instance"));
}
