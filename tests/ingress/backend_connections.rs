//! The pool of connections to a backend.

use crate::requests::new_request_id;
use crate::support::backend::{reply_with_value, value_reply, Backend, BackendReply};
use crate::support::client::encode_request;
use crate::support::ingress::IngressSetup;
use crate::support::wait::wait_until;
use std::thread;
use std::time::Duration;

/// Guards against serving a request with the copy of the answer before it: it came once the connection was in its
/// pool again.
#[test]
fn what_comes_behind_an_answer_serves_nobody() {
    let backend = Backend::start(|args| {
        let mut twice = value_reply(args);
        twice.extend_from_slice(&value_reply(args));
        BackendReply::InTwoParts(twice.len() / 2, twice)
    });
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    for n in 0..200 {
        assert_eq!(
            client.round_trip(&encode_request("refer", &format!("r{n}"), 2000)),
            format!("value of r{n}")
        );
        thread::sleep(Duration::from_micros(n * 20));
    }
}

/// Guards against keeping connections that the backend has ended: what is written to one may have run.
#[test]
fn connections_that_a_backend_ended_are_not_used_again() {
    let backend = Backend::start(reply_with_value);
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    for n in 0..5 {
        assert_eq!(
            client.round_trip(&encode_request("refer", &format!("r{n}"), 2000)),
            format!("value of r{n}")
        );
        backend.set_close_when_idle(true);
        wait_until("the backend hangs up", || backend.connections_closed() == n + 1);
        backend.set_close_when_idle(false);
        thread::sleep(Duration::from_millis(30));
    }
    assert_eq!(backend.command_count(), 5);
}

/// Guards against connections that are dead after a moment of idleness and say so only under the next request:
/// a request that must not run twice fails with each. They are found out by how long they were idle.
#[test]
fn connections_that_die_of_idleness_are_found_out() {
    let backend = Backend::start(reply_with_value);
    backend.set_reset_after_idle(Duration::from_millis(130));
    let ingress = IngressSetup::with_backends(&[&backend]).start();
    let mut client = ingress.client();
    let mut ask = |pause| {
        thread::sleep(Duration::from_millis(pause));
        let id = new_request_id();
        client.round_trip(&encode_request("refer", &id, 2000)) == format!("value of {id}")
    };
    let served = (0..30).filter(|_| ask(260)).count();
    assert!(served >= 22, "{served} of 30 served");
    assert!((0..10).all(|_| ask(260)), "found out by now");
    // Those that were idle for less are used on.
    let before = backend.connections_opened();
    assert!((0..10).filter(|_| ask(50)).count() >= 7);
    assert!(backend.connections_opened() <= before + 7, "each request has a new one");
}

#[test]
fn idle_connections_are_closed_before_the_backend_does() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.replace_setting("15000000", "1000000");
    let ingress = setup.start();
    assert_eq!(ingress.client().round_trip(&encode_request("quote", "q1", 900)), "value of q1");
    wait_until("it is closed", || backend.connections_closed() == 1);
}
