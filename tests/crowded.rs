//! Idle clients fill the descriptors while discovery is down: it must be called again all the same, and a connection to a
//! backend and a new configuration must get through, whether the lists are pushed or asked for.

mod support;

use std::io::{ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use support::backend::{reply_with_value, Backend};
use support::client::encode_request;
use support::discovery::DiscoveryServer;
use support::ingress::{IngressProcess, IngressSetup};
use support::resp::encode_command;
use support::wait::wait_until;

/// More than there are descriptors.
const CROWD: usize = 300;
const SOCKETS: usize = 256;

/// Clients that have said PING, all at once, and say nothing more.
struct Crowd(Vec<(TcpStream, bool)>);

impl Crowd {
    fn come(ingress: &IngressProcess) -> Crowd {
        let client = |_| {
            let mut client = ingress.client();
            client.send(&encode_command(&["PING"]));
            client.stream.set_nonblocking(true).unwrap();
            (client.stream, false)
        };
        Crowd((0..CROWD).map(client).collect())
    }

    /// Waits until each was answered, or closed to make room for others.
    fn settle(&mut self) {
        wait_until("all are answered or closed", || {
            for (stream, done) in &mut self.0 {
                *done |= !matches!(stream.read(&mut [0; 16]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            }
            self.0.iter().all(|c| c.1)
        });
    }

    /// How many of them are still connected, by what the ingress holds open.
    fn held(ingress: &IngressProcess) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", ingress.child.id())).unwrap().count()
    }
}

/// An ingress between such a crowd and a discovery that is down, at its start already or from then on.
fn crowded(mode: &str, by_system: bool, down_at_start: bool) {
    let what = format!("{mode}, limit of the system: {by_system}, down at the start: {down_at_start}");
    let (good, other) = (Backend::start(reply_with_value), Backend::start(reply_with_value));
    let (discovery, moved) = (DiscoveryServer::start(), DiscoveryServer::start());
    let mut setup = IngressSetup::with_backends(&[]);
    setup.discovery = Some(discovery.address);
    setup.replace_setting("\"push\"", &format!("\"{mode}\""));
    if by_system {
        setup.system_descriptor_limit = Some(SOCKETS);
    } else {
        setup.socket_limit = SOCKETS;
    }
    discovery.set_down(down_at_start);
    let ingress = setup.start();
    let mut crowd = Crowd::come(&ingress);
    discovery.set_down(true);
    crowd.settle();
    let held = Crowd::held(&ingress);
    assert!((SOCKETS / 2..=SOCKETS).contains(&held), "{held} descriptors; {what}");
    // Down for as long as it takes until it is back, it is told of a change meanwhile.
    let before = discovery.poll_count();
    discovery.publish(good.endpoint_json("s-0", "up"));
    discovery.set_down(false);
    wait_until(&format!("discovery is called again; {what}"), || discovery.poll_count() > before);
    // One more client comes; its request needs a connection to a backend that nobody was connected to.
    let mut client = ingress.client();
    let mut answer = String::new();
    for n in 0..100 {
        answer = client.round_trip(&encode_request("quote", &format!("r{n}"), 900));
        if answer.starts_with("value") {
            break; // until then the list may still be on its way
        }
    }
    assert!(answer.starts_with("value"), "{answer}; {what}");
    // A new configuration moves discovery, which knows of another backend only.
    moved.publish(other.endpoint_json("s-1", "up"));
    setup.discovery = Some(moved.address);
    ingress.write_config(&setup.config_json(ingress.address));
    ingress.signal("HUP");
    let mut n = 0;
    wait_until(&format!("a backend from there is used; {what}"), || {
        n += 1;
        client.round_trip(&encode_request("quote", &format!("m{n}"), 900));
        other.command_count() > 0
    });
    crowd.0.iter().for_each(|c| drop(c.0.shutdown(Shutdown::Both)));
}

#[test]
fn idle_clients_do_not_keep_an_ingress_from_discovery_where_lists_are_pushed() {
    crowded("push", false, false);
    crowded("push", true, true);
}

#[test]
fn idle_clients_do_not_keep_an_ingress_from_discovery_where_lists_are_asked_for() {
    crowded("ask", true, false);
    crowded("ask", false, true);
}

#[test]
fn idle_clients_do_not_keep_an_ingress_from_discovery_whatever_limits_it() {
    crowded("push", true, false);
    crowded("ask", true, true);
}
