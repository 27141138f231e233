//! Tests of an ingress whose descriptors are used up by idle clients while discovery is down. Polls, a new
//! connection to a backend and a reload have to succeed, whether discovery pushes the endpoint list or has to
//! be polled.

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

/// Number of idle clients, more than [`DESCRIPTORS`].
const CLIENTS: usize = 300;
const DESCRIPTORS: usize = 256;

/// Origin of the limit on the ingress's descriptors.
#[derive(Clone, Copy, Debug)]
enum DescriptorLimit {
    Configuration,
    System,
}

/// Start of the outage of discovery.
#[derive(Clone, Copy, Debug)]
enum Outage {
    FromTheStart,
    OnceConnected,
}

/// A client that has sent a PING and then stays idle.
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

    /// Records whether the client has received its reply or was disconnected.
    fn update(&mut self) {
        self.is_settled |=
            !matches!(self.stream.read(&mut [0; 16]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    }
}

/// Waits until each idle client has received its reply or was disconnected.
fn wait_until_settled(clients: &mut [IdleClient]) {
    wait_until("all idle clients are answered or disconnected", || {
        clients.iter_mut().for_each(IdleClient::update);
        clients.iter().all(|client| client.is_settled)
    });
}

/// Counts the entries of `/proc/PID/fd` of the ingress.
fn open_descriptors(ingress: &IngressProcess) -> usize {
    fs::read_dir(format!("/proc/{}/fd", ingress.child.id())).unwrap().count()
}

/// Returns a setup with a mode of discovery, `push` or `ask` in the settings, and a limit on descriptors.
fn setup(discovery_mode: &str, limit: DescriptorLimit) -> IngressSetup {
    let mut setup = IngressSetup::with_backends(&[]);
    setup.replace_setting("\"push\"", &format!("\"{discovery_mode}\""));
    match limit {
        DescriptorLimit::Configuration => setup.socket_limit = DESCRIPTORS,
        DescriptorLimit::System => setup.system_descriptor_limit = Some(DESCRIPTORS),
    }
    setup
}

/// Ends the outage of discovery, which then lists an added backend, and asserts that discovery is polled
/// again.
fn assert_polled_again(discovery: &DiscoveryServer, added: &Backend, case: &str) {
    let polls_before = discovery.poll_count();
    discovery.publish(added.endpoint_json("s-0", "up"));
    discovery.set_unavailable(false);
    wait_until(&format!("discovery is polled again; {case}"), || discovery.poll_count() > polls_before);
}

/// Asserts that a request which needs a new connection to a backend is served.
fn assert_served(client: &mut Client, case: &str) {
    let mut reply = String::new();
    for number in 0..100 {
        reply = client.round_trip(&encode_request("quote", &format!("r{number}"), 900));
        if reply.starts_with("value") {
            break; // earlier requests may precede the arrival of the endpoint list
        }
    }
    assert!(reply.starts_with("value"), "{reply}; {case}");
}

/// Asserts that polls and a reload succeed after an outage of discovery with more idle clients than
/// descriptors.
fn assert_discovery_and_reload_work(discovery_mode: &str, limit: DescriptorLimit, outage: Outage) {
    let case = format!("{discovery_mode}, {limit:?}, {outage:?}");
    let (backend, other_backend) = (Backend::start(reply_with_value), Backend::start(reply_with_value));
    let (discovery, other_discovery) = (DiscoveryServer::start(), DiscoveryServer::start());
    let mut setup = setup(discovery_mode, limit);
    setup.discovery = Some(discovery.address);
    discovery.set_unavailable(matches!(outage, Outage::FromTheStart));
    let ingress = setup.start();
    let mut idle_clients: Vec<_> = (0..CLIENTS).map(|_| IdleClient::connect(&ingress)).collect();
    discovery.set_unavailable(true);
    wait_until_settled(&mut idle_clients);
    let open = open_descriptors(&ingress);
    assert!((DESCRIPTORS / 2..=DESCRIPTORS).contains(&open), "{open} descriptors; {case}");
    assert_polled_again(&discovery, &backend, &case);
    let mut client = ingress.client();
    assert_served(&mut client, &case);
    // The new configuration has the address of another discovery, which lists only another backend.
    other_discovery.publish(other_backend.endpoint_json("s-1", "up"));
    setup.discovery = Some(other_discovery.address);
    ingress.write_config(&setup.config_json(ingress.address));
    ingress.signal("HUP");
    let mut number = 0;
    wait_until(&format!("the backend of the new discovery is used; {case}"), || {
        number += 1;
        client.round_trip(&encode_request("quote", &format!("m{number}"), 900));
        other_backend.command_count() > 0
    });
    for idle in &idle_clients {
        drop(idle.stream.shutdown(Shutdown::Both));
    }
}

/// Idle clients hold all descriptors while discovery, which pushes changes, is down. After the outage the
/// ingress needs descriptors for the watch, a backend and a reload; without them it would use an outdated
/// endpoint list that an operator cannot replace.
#[test]
fn idle_clients_do_not_block_discovery_that_pushes_changes() {
    assert_discovery_and_reload_work("push", DescriptorLimit::Configuration, Outage::OnceConnected);
    assert_discovery_and_reload_work("push", DescriptorLimit::System, Outage::FromTheStart);
}

/// Idle clients hold all descriptors during an outage of discovery that has to be polled. After the outage it
/// has to be polled again, the added backend has to receive requests, and a reload has to take effect.
#[test]
fn idle_clients_do_not_block_discovery_that_is_polled() {
    assert_discovery_and_reload_work("ask", DescriptorLimit::System, Outage::OnceConnected);
    assert_discovery_and_reload_work("ask", DescriptorLimit::Configuration, Outage::FromTheStart);
}

/// The operating system allows fewer descriptors than the configuration, and idle clients use up all of them
/// during an outage of discovery. The ingress detects this limit only by failed calls, and still has to poll
/// discovery, connect to a backend and reload.
#[test]
fn idle_clients_do_not_block_discovery_under_a_system_limit() {
    assert_discovery_and_reload_work("push", DescriptorLimit::System, Outage::OnceConnected);
    assert_discovery_and_reload_work("ask", DescriptorLimit::System, Outage::FromTheStart);
}
