//! Graceful shutdown on SIGTERM.

use crate::requests::new_request_id;
use crate::support::backend::{reply_with_value, value_reply, Backend, BackendReply};
use crate::support::client::{encode_request, Client};
use crate::support::ingress::IngressSetup;
use crate::support::resp::encode_command;
use crate::support::wait::wait_until;
use std::thread;
use std::time::{Duration, Instant};

/// An ingress gets SIGTERM while requests are in flight, and clients go on sending on their connections and open
/// new ones. All of them are served; connections are closed only between two requests, and the process exits before
/// it would be killed.
#[test]
fn shutdown_serves_accepted_requests_and_new_connections() {
    let backend = Backend::start(|args| BackendReply::Delayed(Duration::from_millis(400), value_reply(args)));
    let mut ingress = IngressSetup::with_backends(&[&backend]).start();
    let idle = ingress.client();
    let mut accepted: Vec<Client> = (0..8).map(|_| ingress.client()).collect();
    for (number, client) in accepted.iter_mut().enumerate().take(4) {
        client.send(&encode_request("refer", &format!("r{number}"), 2500));
    }
    wait_until("the requests are sent", || backend.command_count() == 4);
    let start = Instant::now();
    ingress.signal("TERM");
    for (number, client) in accepted.iter_mut().enumerate().skip(4) {
        client.send(&encode_request("refer", &format!("r{number}"), 2500));
    }
    thread::sleep(Duration::from_millis(200));
    let mut late = ingress.client();
    assert_eq!(late.ping(), "+PONG");
    late.send(&encode_request("refer", "late", 2500));
    for (number, client) in accepted.iter_mut().enumerate() {
        assert_eq!(client.read_reply(), format!("value of r{number}"));
    }
    assert_eq!(late.read_reply(), "value of late");
    assert!(
        late.is_disconnected() && Client { stream: idle.stream }.is_disconnected(),
        "connections are closed between requests"
    );
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    assert!(start.elapsed() < Duration::from_secs(3), "SIGKILL may come 3.7 s after SIGTERM");
    let log = ingress.log();
    assert!(!log.contains("panicked"));
    assert!(log.contains("shutdown: listener closed, open_requests="), "{log}");
    assert!(log.contains("shutdown: finished, drained=true open_requests=0 clients=0"), "{log}");
}

/// Clients that have not heard of a shutdown go on connecting after SIGTERM. If the listener were closed at once,
/// each of them would be refused; it stays open for as long as they keep coming.
#[test]
fn shutdown_accepts_connections_while_clients_still_come() {
    let backend = Backend::start(reply_with_value);
    let mut ingress = IngressSetup::with_backends(&[&backend]).start();
    ingress.signal("TERM");
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1800) {
        let id = new_request_id();
        let mut client = ingress.client();
        assert_eq!(
            client.round_trip(&encode_request("quote", &id, 900)),
            format!("value of {id}"),
            "{:?}",
            start.elapsed()
        );
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
}

/// A backend never answers, and the ingress gets SIGTERM. SIGKILL may follow 3.7 s later, and whatever is
/// unanswered then is lost; so the client gets an error before that, but has some three seconds in which its
/// request could still be served.
#[test]
fn requests_in_flight_at_the_end_of_the_shutdown_grace_period_fail() {
    let silent = Backend::start(|_| BackendReply::Nothing);
    let mut ingress = IngressSetup::with_backends(&[&silent]).start();
    let mut client = ingress.client();
    client.send(&encode_request("refer", "r1", 7900));
    wait_until("the request is sent", || silent.command_count() == 1);
    let start = Instant::now();
    ingress.signal("TERM");
    assert_eq!(client.read_reply(), "-ERR failed");
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    let elapsed = start.elapsed();
    assert!(elapsed > Duration::from_secs(3), "it gave up after {elapsed:?}");
    assert!(elapsed < Duration::from_secs(6), "it took {elapsed:?}");
}

/// A client has sent half a command and never completes it when the ingress gets SIGTERM. The ingress does not wait
/// for the rest and exits in time; otherwise it would be killed, and others' replies with it.
#[test]
fn an_incomplete_request_does_not_delay_shutdown() {
    let mut ingress = IngressSetup::with_backends(&[]).start();
    let mut client = ingress.client();
    client.send(b"*4\r\n$8\r\nCALL");
    assert_eq!(ingress.client().ping(), "+PONG");
    ingress.stop();
}

/// A client sends commands and never reads its replies, until nothing more fits into the connection, and the
/// ingress gets SIGTERM. If it waited for that client to read, it would be killed, and the replies of other clients
/// would be lost with it.
#[test]
fn unread_replies_do_not_delay_shutdown() {
    let mut ingress = IngressSetup::with_backends(&[]).start();
    let mut client = ingress.client();
    client.stream.set_nonblocking(true).unwrap();
    let (pings, mut blocked_since) = (encode_command(&["PING"]).repeat(10_000), None);
    wait_until("both directions are full", || match std::io::Write::write(&mut client.stream, &pings) {
        Ok(_) => {
            blocked_since = None;
            false
        }
        Err(_) => blocked_since.get_or_insert_with(Instant::now).elapsed() > Duration::from_millis(500),
    });
    ingress.signal("TERM");
    let start = Instant::now();
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    assert!(start.elapsed() < Duration::from_millis(3500), "SIGKILL may come 3.7 s after SIGTERM");
}
