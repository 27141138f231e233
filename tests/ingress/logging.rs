//! The log: the trace of a request, the counters and the log level.

use crate::support::backend::{reply_with_value, Backend, BackendReply};
use crate::support::client::encode_request;
use crate::support::ingress::{built_program, IngressSetup};
use crate::support::resp::encode_command;

/// The value of a field in a line of the log.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let rest = line.split(&format!("{name}=")).nth(1).unwrap_or_else(|| panic!("no {name} in {line}"));
    rest.split([' ', ',']).next().unwrap()
}

/// A client complains about a request that was rejected. By the request's id an operator finds in the debug log
/// which attempts it had, how each ended, why it was not retried, and which answer the client got.
#[test]
fn the_log_traces_a_request_by_its_id() {
    let bad = Backend::start(|_| BackendReply::Bytes(b"-BUSY\r\n".to_vec()));
    let ingress = IngressSetup::with_backends(&[&bad]);
    let mut ingress = ingress.start_with(&format!("export LB_LOG=debug; {}", built_program()));
    assert!(ingress.client().round_trip(&encode_request("refer", "r77", 2000)).starts_with("-BUSY"));
    ingress.stop();
    let log = ingress.log();
    let opened = log.lines().find(|line| line.contains("request: opened") && line.contains("=r77 "));
    let request = format!("request={}", field(opened.unwrap(), "request"));
    let trace: Vec<&str> =
        log.lines().filter(|line| line.split([' ', ',']).any(|word| word == request)).collect();
    for (event, detail) in [
        ("attempt: started", "command=Sent"),
        ("attempt: ended", "outcome=Rejected"),
        ("policy: retry considered", "permission="),
        ("policy: rejected", "reason=AttemptsExhausted"),
        ("request: answered", "answer=Rejected"),
    ] {
        assert!(
            trace.iter().any(|line| line.contains(event) && line.contains(detail)),
            "{event}: {trace:#?}"
        );
    }
}

/// A client reports that its connections break. It sends what is not RESP2, gets an error line, and closes its end;
/// the log has to name the first cause of the close, and not only that the client was the one who closed it. The
/// names of the backends stand beside the numbers that all other lines have.
#[test]
fn the_log_names_the_first_cause_of_a_close_and_the_backends() {
    let backend = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&backend]);
    let mut ingress = ingress.start_with(&format!("export LB_LOG=trace; {}", built_program()));
    let mut client = ingress.client();
    assert!(client.round_trip(b"*x\r\n").starts_with("-ERR protocol error"));
    client.disconnect();
    ingress.signal("TERM");
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    let log = ingress.log();
    let closed =
        |line: &&str| line.contains("client_connection: closed") && line.contains("cause=ProtocolError");
    assert_eq!(log.lines().filter(closed).count(), 1, "{log}");
    let named = log.lines().find(|line| line.contains("discovery: backend named"));
    assert!(named.is_some_and(|line| line.contains("backend=") && line.contains("name=")), "{log}");
}

/// An operator sends SIGUSR1 to a running ingress and reads in the log how many requests, answers and attempts
/// there were. Traffic goes on, and no violation is reported where there was none.
#[test]
fn counters_are_logged_on_request() {
    let backend = Backend::start(reply_with_value);
    let mut ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    assert_eq!(client.round_trip(&encode_request("quote", "q1", 900)), "value of q1");
    ingress.signal("USR1");
    // The signal is handled before or with a later command, and before the one to stop.
    assert_eq!(client.round_trip(&encode_command(&["PING"])), "+PONG");
    ingress.stop();
    let log = ingress.log();
    assert!(log.contains("counters: requests, requests=1 answers=1 rejections=0"), "{log}");
    assert!(log.contains("counters: attempts, begun=1 served=1"), "{log}");
    assert!(log.contains("counters: log, dropped_lines=0"), "{log}");
    assert!(!log.contains("violations"), "{log}");
}

/// An operator misspells the log level. The ingress starts all the same and logs at its default level, with a line
/// that names the mistake; without that line the operator would wait for debug output that never comes.
#[test]
fn an_invalid_log_level_is_reported_and_the_default_used() {
    let ingress = IngressSetup::with_backends(&[]);
    let mut ingress = ingress.start_with(&format!("export LB_LOG=loud; {}", built_program()));
    ingress.stop();
    let log = ingress.log();
    assert!(log.contains("log: LB_LOG is no level, given=loud used=info"), "{log}");
    assert!(log.contains("event_loop: listening"), "{log}");
}
