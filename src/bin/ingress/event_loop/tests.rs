//! Tests of [`super`].

use super::shutdown::{Phase, ACCEPTING_CHECK_INTERVAL, MAX_DRAINING_TIME, MIN_ACCEPTING_TIME};
use super::timer_queue::Timer;
use super::*;
use crate::clients::{AcceptOutcome, ClientEvent, LINGER_TIMEOUT};
use crate::config::tests::CONFIG;
use crate::config::Config;
use crate::discovery::{EndpointEntry, EndpointList};
use crate::error_chain::ErrorChain;
use crate::readiness::Readiness;
use crate::resp;
use crate::start_retry::StartRetry;
use ingress::{BackendId, Endpoint, EndpointUpdate, UnixTime};
use std::io::{Read, Write};
use std::net::{Shutdown as Direction, SocketAddr, TcpListener, TcpStream, UdpSocket};

mod disconnects;
mod exit;

/// A command that is answered by the ingress itself.
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// Starts an event loop with a configuration, which a reload reads again from the file at `path`.
fn started_with(config: Config, path: String) -> Result<EventLoop, EventLoopError> {
    let retry = StartRetry::new();
    EventLoop::start(config, Reload::new(path), register_signals(retry).unwrap(), retry)
}

/// Starts an event loop whose iterations the test runs, and connects a client to it.
fn start(name: &str, config: &str) -> (EventLoop, TcpStream) {
    let file = std::env::temp_dir().join(format!("ingress-{name}-{}.json", std::process::id()));
    std::fs::write(&file, config).unwrap();
    let path = file.to_str().unwrap().to_string();
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let variable = |name: &str| (name == "LB_LISTEN").then(|| address.to_string());
    let config = Config::read(&path, variable).unwrap();
    let event_loop = started_with(config, path).unwrap();
    std::fs::remove_file(&file).unwrap();
    let client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
    (event_loop, client)
}

/// Returns an encoded request of the customer with this number, with a unique id.
fn request_command(number: usize) -> Vec<u8> {
    let (customer, id) = (format!("{number:016x}"), format!("q{number}"));
    let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
    let mut command = Vec::new();
    resp::write_array_header(&mut command, 4);
    for word in ["CALL.GET", &customer, &id, options] {
        resp::write_bulk_string(&mut command, &[word.as_bytes()]);
    }
    command
}

/// All descriptors are in use, and accepting fails for one client after another. If each failure set a timer
/// that sets the next one, every new client would add a retry every 10 ms while descriptors are short. One
/// timer is set, however often accepting fails.
#[test]
fn repeated_accept_failures_schedule_one_retry() {
    // 8 connections beyond the reserved descriptors, 6 of them for clients.
    let config = CONFIG.replacen("\"sockets\":256", "\"sockets\":36", 1);
    let (mut event_loop, first) = start("accept-retry", &config);
    let address = first.peer_addr().unwrap();
    // Clients with an incomplete command are not closed to free descriptors for others.
    let mut clients = vec![first];
    clients.extend((0..20).map(|_| TcpStream::connect(address).unwrap()));
    for client in &mut clients {
        client.write_all(&PING[..6]).unwrap();
    }
    while event_loop.accept() != AcceptOutcome::RetryLater {
        event_loop.clients.read_all(event_loop.now);
    }
    (0..5).for_each(|_| assert_eq!(event_loop.accept(), AcceptOutcome::RetryLater));
    let due = event_loop.timers.take_due(Instant::FAR_FUTURE);
    assert_eq!(due.iter().filter(|timer| **timer == Timer::RetryAccept).count(), 1);
}

/// Startup fails because a limit is too low or an address is in use. The error names the setting, by which
/// operators find the cause.
#[test]
fn each_startup_failure_names_its_setting() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let datagrams = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (address, peer) = (taken.local_addr().unwrap(), datagrams.local_addr().unwrap());
    let in_use = "Address already in use (os error 98)";
    let own_peers = format!("{{\"peer_listen\":\"{peer}\",\"peers\":[\"{peer}\"],");
    for (config, text) in [
        (
            CONFIG.replacen("\"sockets\":256", "\"sockets\":3", 1),
            "limits.sockets or the system's limit is too low: 3 file descriptors".into(),
        ),
        (
            CONFIG.replacen("127.0.0.1:0", &address.to_string(), 1),
            format!("listen: cannot listen on {address}: {in_use}"),
        ),
        (
            CONFIG.replacen("\"peers\":false", "\"peers\":true", 1).replacen('{', &own_peers, 1),
            format!("peer_listen: cannot bind {peer}: {in_use}"),
        ),
    ] {
        let config = Config::parse(&config, |_| None).ok().unwrap();
        let started = started_with(config, String::new());
        assert_eq!(ErrorChain(&started.err().unwrap()).to_string(), text);
    }
}

/// Requests have used up the memory and have ended, and then only long commands arrive. These open no request while
/// they are discarded, so that the freed memory has to be noticed without one; otherwise all would be rejected.
#[test]
fn memory_that_requests_have_freed_is_available_for_long_commands() {
    let (mut event_loop, mut client) = start("freed-memory", CONFIG);
    event_loop.clients.set_memory_used_by_requests(1 << 30);
    let command = [&b"*2\r\n$4\r\nPING\r\n$60000\r\n"[..], &vec![b'x'; 60_000], b"\r\n"].concat();
    client.write_all(&command).unwrap();
    client.set_nonblocking(true).unwrap();
    let mut reply = Vec::new();
    for _ in 0..10_000 {
        let mut events = Events::with_capacity(16);
        event_loop.poll.poll(&mut events, Some(std::time::Duration::from_millis(1))).unwrap();
        let mut ready: Vec<ReadySocket> = events.iter().map(ReadySocket::from).collect();
        event_loop.process_ready(&mut ready);
        let _ = client.read_to_end(&mut reply);
        if !reply.is_empty() {
            break;
        }
    }
    assert_eq!(String::from_utf8_lossy(&reply), "+PONG\r\n");
}
