//! Idle clients use up the descriptors while discovery is down. It must be polled again all the same, a connection to a
//! backend must be established and a reload take effect, whether discovery pushes the endpoint list or has to be polled.

use test_support as support;

use std::fs;
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use support::backend::{reply_with_value, Backend};
use support::client::{encode_request, Client};
use support::discovery::DiscoveryServer;
use support::ingress::{IngressProcess, IngressSetup};
use support::resp::encode_command;
use support::wait::wait_until;

/// More than there are descriptors.
const CLIENTS: usize = 300;
const DESCRIPTORS: usize = 256;

/// What limits the descriptors of the ingress.
#[derive(Clone, Copy, Debug)]
enum DescriptorLimit {
    Configuration,
    System,
}

/// When discovery is down.
#[derive(Clone, Copy, Debug)]
enum Outage {
    FromTheStart,
    OnceConnected,
}

/// A client that has sent a PING, and sends nothing more.
struct IdleClient {
    stream: TcpStream,
    is_settled: bool,
}

impl IdleClient {
    fn connect(ingress: &IngressProcess) -> IdleClient {
        let mut client = ingress.client();
        client.send(&encode_command(&["PING"]));
        client.stream.set_nonblocking(true).unwrap();
        IdleClient { stream: client.stream, is_settled: false }
    }

    /// Records whether it got its reply, or was disconnected to make room for others.
    fn settle(&mut self) {
        self.is_settled |=
            !matches!(self.stream.read(&mut [0; 16]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    }
}

/// Waits until each idle client got its reply or was disconnected.
fn settle(clients: &mut [IdleClient]) {
    wait_until("all are answered or closed", || {
        clients.iter_mut().for_each(IdleClient::settle);
        clients.iter().all(|client| client.is_settled)
    });
}

/// How many descriptors the ingress has open.
fn open_descriptors(ingress: &IngressProcess) -> usize {
    fs::read_dir(format!("/proc/{}/fd", ingress.child.id())).unwrap().count()
}

/// Settings for a mode of discovery, which they call `push` or `ask`, and for a limit on descriptors.
fn setup(discovery_mode: &str, limit: DescriptorLimit) -> IngressSetup {
    let mut setup = IngressSetup::with_backends(&[]);
    setup.replace_setting("\"push\"", &format!("\"{discovery_mode}\""));
    match limit {
        DescriptorLimit::Configuration => setup.socket_limit = DESCRIPTORS,
        DescriptorLimit::System => setup.system_descriptor_limit = Some(DESCRIPTORS),
    }
    setup
}

/// Brings discovery back with a backend that was added meanwhile, and asserts that it is polled again.
fn assert_polled_again(discovery: &DiscoveryServer, added: &Backend, case: &str) {
    let polls_before = discovery.poll_count();
    discovery.publish(added.endpoint_json("s-0", "up"));
    discovery.set_down(false);
    wait_until(&format!("discovery is polled again; {case}"), || discovery.poll_count() > polls_before);
}

/// Asserts that a request is served, which needs a new connection to a backend.
fn assert_served(client: &mut Client, case: &str) {
    let mut reply = String::new();
    for number in 0..100 {
        reply = client.round_trip(&encode_request("quote", &format!("r{number}"), 900));
        if reply.starts_with("value") {
            break; // until then the list may still be on its way
        }
    }
    assert!(reply.starts_with("value"), "{reply}; {case}");
}

/// Asserts that discovery and a reload work with more idle clients than descriptors, once discovery is back.
fn assert_discovery_and_reload_work(discovery_mode: &str, limit: DescriptorLimit, outage: Outage) {
    let case = format!("{discovery_mode}, {limit:?}, {outage:?}");
    let (backend, other_backend) = (Backend::start(reply_with_value), Backend::start(reply_with_value));
    let (discovery, other_discovery) = (DiscoveryServer::start(), DiscoveryServer::start());
    let mut setup = setup(discovery_mode, limit);
    setup.discovery = Some(discovery.address);
    discovery.set_down(matches!(outage, Outage::FromTheStart));
    let ingress = setup.start();
    let mut idle_clients: Vec<_> = (0..CLIENTS).map(|_| IdleClient::connect(&ingress)).collect();
    discovery.set_down(true);
    settle(&mut idle_clients);
    let open = open_descriptors(&ingress);
    assert!((DESCRIPTORS / 2..=DESCRIPTORS).contains(&open), "{open} descriptors; {case}");
    assert_polled_again(&discovery, &backend, &case);
    let mut client = ingress.client();
    assert_served(&mut client, &case);
    // A new configuration names another discovery, which knows only another backend.
    other_discovery.publish(other_backend.endpoint_json("s-1", "up"));
    setup.discovery = Some(other_discovery.address);
    ingress.write_config(&setup.config_json(ingress.address));
    ingress.signal("HUP");
    let mut number = 0;
    wait_until(&format!("a backend from there is used; {case}"), || {
        number += 1;
        client.round_trip(&encode_request("quote", &format!("m{number}"), 900));
        other_backend.command_count() > 0
    });
    for idle in &idle_clients {
        drop(idle.stream.shutdown(Shutdown::Both));
    }
}

/// Idle clients hold every descriptor while discovery, which pushes its changes, is down. When it is back the
/// ingress needs descriptors for the watch, for a backend and for a reload; without them it would serve from an
/// outdated list, and an operator could not change that.
#[test]
fn idle_clients_do_not_block_discovery_that_pushes_changes() {
    assert_discovery_and_reload_work("push", DescriptorLimit::Configuration, Outage::OnceConnected);
    assert_discovery_and_reload_work("push", DescriptorLimit::System, Outage::FromTheStart);
}

/// The same where discovery has to be polled: idle clients hold every descriptor and discovery comes back. It must
/// be polled again, the backend added meanwhile must get requests, and a reload must take effect.
#[test]
fn idle_clients_do_not_block_discovery_that_is_polled() {
    assert_discovery_and_reload_work("ask", DescriptorLimit::System, Outage::OnceConnected);
    assert_discovery_and_reload_work("ask", DescriptorLimit::Configuration, Outage::FromTheStart);
}

/// The operating system allows fewer descriptors than the configuration, and idle clients use up all of them while
/// discovery is down. The ingress learns of that limit only from calls that fail, and still has to poll discovery,
/// connect to a backend and reload.
#[test]
fn idle_clients_do_not_block_discovery_under_a_system_limit() {
    assert_discovery_and_reload_work("push", DescriptorLimit::System, Outage::OnceConnected);
    assert_discovery_and_reload_work("ask", DescriptorLimit::System, Outage::FromTheStart);
}
