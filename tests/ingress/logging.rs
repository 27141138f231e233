//! Tests of the log: request traces, close causes, counters and the log level.

use crate::support::backend::{reply_with_value, Backend, BackendReply};
use crate::support::client::encode_request;
use crate::support::ingress::{built_program, IngressSetup};
use crate::support::resp::encode_command;

/// Returns the value of a field in a log line.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let rest = line.split(&format!("{name}=")).nth(1).unwrap_or_else(|| panic!("no {name} in {line}"));
    rest.split([' ', ',']).next().unwrap()
}

/// A client reports a rejected request. In the debug log an operator has to find the request's attempts by
/// its id, the outcome of each, the reason why it was not retried, and the answer.
#[test]
fn the_log_traces_a_request_by_its_id() {
    let bad = Backend::start(|_| BackendReply::Bytes(b"-BUSY\r\n".to_vec()));
    let ingress = IngressSetup::with_backends(&[&bad]);
    let mut ingress = ingress.start_with(&format!("export LB_LOG=debug; {}", built_program()));
    assert!(ingress.client().round_trip(&encode_request("refer", "r77", 2000)).starts_with("-BUSY"));
    ingress.stop();
    let log = ingress.log();
    let opened = log.lines().find(|line| line.contains("request: request opened") && line.contains("=r77 "));
    let request = format!("request={}", field(opened.unwrap(), "request"));
    let trace: Vec<&str> =
        log.lines().filter(|line| line.split([' ', ',']).any(|word| word == request)).collect();
    for (event, detail) in [
        ("attempt: attempt started", "command=Sent"),
        ("attempt: attempt ended", "outcome=Rejected"),
        ("policy: retry considered", "permission="),
        ("policy: request rejected", "reason=AttemptsExhausted"),
        ("request: request answered", "answer=Rejected"),
    ] {
        assert!(
            trace.iter().any(|line| line.contains(event) && line.contains(detail)),
            "{event}: {trace:#?}"
        );
    }
}

/// A client sends bytes that are not RESP2, gets an error reply and disconnects. The log has to contain the
/// first cause of the close instead of the client's disconnect, and the names of backends beside the ids that
/// other lines use.
#[test]
fn the_log_contains_the_first_cause_of_a_close_and_the_names_of_backends() {
    let backend = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&backend]);
    let mut ingress = ingress.start_with(&format!("export LB_LOG=trace; {}", built_program()));
    let mut client = ingress.client();
    assert!(client.round_trip(b"*x\r\n").starts_with("-ERR protocol error"));
    client.disconnect();
    ingress.signal("TERM");
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    let log = ingress.log();
    let closed = |line: &&str| {
        line.contains("client_connection: client connection closed") && line.contains("cause=ProtocolError")
    };
    assert_eq!(log.lines().filter(closed).count(), 1, "{log}");
    let named = log.lines().find(|line| line.contains("discovery: endpoint parsed"));
    assert!(named.is_some_and(|line| line.contains("backend=") && line.contains("name=")), "{log}");
}

/// An operator sends SIGUSR1 to a running ingress. The log has to contain the counts of requests, answers and
/// attempts and no violation, and traffic is served as before.
#[test]
fn counters_are_logged_on_sigusr1() {
    let backend = Backend::start(reply_with_value);
    let mut ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    assert_eq!(client.round_trip(&encode_request("quote", "q1", 900)), "value of q1");
    ingress.signal("USR1");
    // The signal is handled before or together with a later command, and before SIGTERM.
    assert_eq!(client.round_trip(&encode_command(&["PING"])), "+PONG");
    ingress.stop();
    let log = ingress.log();
    assert!(log.contains("counters: requests, requests=1 answers=1 rejections=0"), "{log}");
    assert!(log.contains("counters: attempts, begun=1 served=1"), "{log}");
    assert!(log.contains("counters: log, dropped_lines=0"), "{log}");
    assert!(!log.contains("violations"), "{log}");
}

/// An operator sets an invalid log level. The ingress starts with the default level and logs the mistake;
/// otherwise the operator would wait for debug output that is never written.
#[test]
fn an_invalid_log_level_is_reported_and_the_default_used() {
    let ingress = IngressSetup::with_backends(&[]);
    let mut ingress = ingress.start_with(&format!("export LB_LOG=loud; {}", built_program()));
    ingress.stop();
    let log = ingress.log();
    assert!(log.contains("log: invalid log level in LB_LOG, given=loud used=info"), "{log}");
    assert!(log.contains("event_loop: listening for clients, address="), "{log}");
}
