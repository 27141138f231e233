//! Tests of the limits on descriptors and memory.

use crate::requests::is_rejected;
use crate::support::backend::{reply_with_value, Backend, BackendReply};
use crate::support::client::{encode_request, encode_request_of, Client};
use crate::support::ingress::{IngressProcess, IngressSetup};
use crate::support::resp::encode_served;
use crate::support::wait::wait_until;
use std::thread;
use std::time::{Duration, Instant};

/// Connects more clients than there are descriptors, and asserts that idle clients are disconnected and that
/// every client that sends a command gets its reply.
fn assert_serves_more_clients_than_descriptors(setup: &IngressSetup) {
    let ingress = setup.start();
    let mut clients: Vec<Client> = Vec::new();
    for number in 0..80 {
        let mut client = ingress.client();
        assert_eq!(client.ping(), "+PONG", "client {number}");
        clients.push(client);
    }
    let mut last = clients.pop().unwrap();
    assert_eq!(last.round_trip(&encode_request("refer", "r1", 3000)), "value of r1");
    assert!(clients[0].is_disconnected(), "the client that was idle for longest is disconnected");
    let open = std::fs::read_dir(format!("/proc/{}/fd", ingress.child.id())).unwrap().count();
    assert!(open <= setup.socket_limit, "{open} descriptors");
    let cpu_before = ingress.cpu_centiseconds();
    thread::sleep(Duration::from_secs(1));
    assert!(ingress.cpu_centiseconds() - cpu_before < 50, "the ingress runs in a busy loop");
}

/// More clients connect than the configuration allows descriptors. The ingress has to disconnect the clients
/// that have been idle for longest, serve all others, and neither exceed the limit nor retry in a busy loop.
#[test]
fn the_descriptor_limit_of_the_configuration_is_enforced() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.socket_limit = 64;
    assert_serves_more_clients_than_descriptors(&setup);
}

/// The operating system allows fewer descriptors than the configuration, so accepting a client fails with
/// EMFILE. Unless idle clients are disconnected, new clients would never be accepted while the ingress
/// retries in a busy loop.
#[test]
fn idle_clients_are_disconnected_when_accept_fails_with_emfile() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.system_descriptor_limit = Some(40);
    assert_serves_more_clients_than_descriptors(&setup);
}

/// Connects as many clients as an ingress with 64 descriptors serves, each of which waits for a reply and has
/// sent a part of a further command.
fn use_up_descriptors(ingress: &IngressProcess, slow: &Backend) -> Vec<Client> {
    let mut busy: Vec<Client> = (0..27).map(|_| ingress.client()).collect();
    for (number, client) in busy.iter_mut().enumerate() {
        client.send(&[&encode_request("refer", &format!("r{number}"), 8000)[..], b"*1\r\n"].concat());
    }
    wait_until("requests are sent", || slow.command_count() > 3);
    busy
}

/// All descriptors are used by clients that wait for replies, and another client connects. Instead of waiting
/// in the kernel's accept queue until it times out, it is accepted and its request rejected, so that it can
/// try another ingress.
#[test]
fn a_connection_over_the_limit_is_rejected_when_none_is_idle() {
    let slow = Backend::start(|_| BackendReply::NoReply);
    let mut setup = IngressSetup::with_backends(&[&slow]);
    setup.socket_limit = 64;
    let ingress = setup.start();
    let _busy = use_up_descriptors(&ingress, &slow);
    let start = Instant::now();
    assert!(is_rejected(&ingress.client().round_trip(&encode_request("refer", "r99", 8000))));
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// All descriptors are used by clients that wait for replies, and another client connects and sends several
/// requests in one write. Each of them is read, so each has to be rejected: a client whose connection ends
/// without a reply could not exclude that its request was executed.
#[test]
fn each_request_on_a_connection_over_the_limit_is_rejected() {
    let slow = Backend::start(|_| BackendReply::NoReply);
    let mut setup = IngressSetup::with_backends(&[&slow]);
    setup.socket_limit = 64;
    let ingress = setup.start();
    let _busy = use_up_descriptors(&ingress, &slow);
    let mut client = ingress.client();
    let requests: Vec<u8> =
        (0..4).flat_map(|number| encode_request("refer", &format!("r9{number}"), 8000)).collect();
    client.send(&requests);
    for number in 0..4 {
        let reply = client.read_reply();
        assert!(is_rejected(&reply), "request {number}: {reply:?}");
    }
    assert!(client.is_disconnected());
}

/// All descriptors are used by clients that never read the long replies in transit to them, and other clients
/// connect. Connections with a reply in transit are kept for a limited time, so the other clients are served.
#[test]
fn clients_that_never_read_do_not_keep_others_from_connecting() {
    let reply = encode_served(&"x".repeat(64 * 1024), None);
    let backend = Backend::start(move |_| BackendReply::Bytes(reply.clone()));
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.socket_limit = 64;
    let ingress = setup.start();
    let never_reading: Vec<Client> = (0..27)
        .map(|number| {
            let mut client = Client::connect_with_window(ingress.address, 2 * 1024);
            client.send(&encode_request("quote", &format!("q{number}"), 2500));
            client.wait_for_input();
            client
        })
        .collect();
    let start = Instant::now();
    let others: Vec<Client> = (0..27)
        .map(|number| {
            let mut client = ingress.client();
            assert_eq!(client.ping(), "+PONG", "client {number}");
            client
        })
        .collect();
    let open = std::fs::read_dir(format!("/proc/{}/fd", ingress.child.id())).unwrap().count();
    assert!(open <= setup.socket_limit, "{open} descriptors");
    assert!(start.elapsed() < Duration::from_secs(5), "each connection is kept for about 1 s");
    drop((never_reading, others));
}

/// 150 clients each send most of a 64 KiB command and stop. Each is within the limit per connection, but
/// together they would exceed the memory limit, and the process would be killed with all requests. Some of
/// them have to be disconnected, and other clients served.
#[test]
fn incomplete_commands_do_not_exceed_the_memory_limit() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.memory_limit_mb = 16;
    let ingress = setup.start();
    let incomplete = [&b"*2\r\n$65536\r\n"[..], &vec![b'x'; 60_000]].concat();
    let mut clients: Vec<Client> = (0..150).map(|_| ingress.client()).collect();
    for client in &mut clients {
        drop(std::io::Write::write_all(&mut client.stream, &incomplete));
    }
    let answer = ingress.client().round_trip(&encode_request("quote", "q1", 2000));
    assert_eq!(answer, "value of q1");
    let peak = peak_memory_kb(&ingress);
    assert!(peak < 14_000, "{peak} kB");
}

/// Returns the peak of the resident memory of an ingress, in kB.
fn peak_memory_kb(ingress: &IngressProcess) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", ingress.child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Requests that a client sends at once, the first of which a backend does not answer.
struct Burst {
    client: Client,
    ids: Vec<String>,
}

/// Clients send many requests at once, the first of each hangs at its backend, and the long replies to the
/// others wait for it. When they are written, the memory limit of all clients is reached, and the clients are
/// reading. If the connections that wait for their clients were closed, the replies would be lost. Instead, requests
/// beyond the limit have been rejected, each request gets its reply, and the memory stays within the limit.
#[test]
fn replies_behind_a_hanging_request_are_not_dropped_at_the_memory_limit() {
    const BURSTS: usize = 3;
    const REQUESTS: usize = 80;
    const VALUE_BYTES: usize = 65_000;
    let reply = encode_served(&"x".repeat(VALUE_BYTES), None);
    let reply_unless_hanging = move |args: &[String]| {
        if args[2].starts_with("hang") {
            BackendReply::NoReply
        } else {
            BackendReply::Bytes(reply.clone())
        }
    };
    let backends: Vec<Backend> = (0..8).map(|_| Backend::start(reply_unless_hanging.clone())).collect();
    let mut setup = IngressSetup::with_backends(&backends.iter().collect::<Vec<_>>());
    setup.memory_limit_mb = 16;
    let ingress = setup.start();
    let mut bursts: Vec<Burst> = (0..BURSTS)
        .map(|burst| {
            let hanging = (format!("hang{burst}"), encode_request("refer", &format!("hang{burst}"), 2000));
            let quotes = (0..REQUESTS).map(|number| {
                let id = format!("q{burst}-{number}");
                (id.clone(), encode_request("quote", &id, 2000))
            });
            let (ids, commands): (Vec<_>, Vec<_>) = std::iter::once(hanging).chain(quotes).unzip();
            let mut client = Client::connect_with_window(ingress.address, 8 * 1024);
            client.send(&commands.concat());
            Burst { client, ids }
        })
        .collect();
    for burst in &bursts {
        burst.client.wait_for_input(); // The hanging request has failed, and the replies are being written.
    }
    ingress.wait_until_input_is_processed();
    let ran: Vec<String> = backends.iter().flat_map(Backend::request_ids).collect();
    let mut served = 0;
    for burst in &mut bursts {
        for id in &burst.ids {
            let reply = burst.client.read_reply();
            if id.starts_with("hang") && ran.contains(id) {
                assert_eq!(reply, "-ERR failed");
            } else if ran.contains(id) {
                assert_eq!(reply.len(), VALUE_BYTES, "{id} ran, and its reply is {reply:?}");
                served += 1;
            } else {
                assert!(is_rejected(&reply), "{id} did not run, and its reply is {reply:?}");
            }
        }
    }
    assert!(served * VALUE_BYTES > 4 << 20, "only {served} replies were waiting");
    let peak = peak_memory_kb(&ingress);
    assert!(peak < setup.memory_limit_mb * 1024, "{peak} kB");
}

/// One client sends requests at full speed, each of a new customer and with a timeout of a minute. The records of
/// customers, ids and timers must not exceed the memory limit, and other clients are answered meanwhile.
#[test]
fn requests_of_ever_new_customers_do_not_exceed_the_memory_limit() {
    const BATCHES: usize = 100;
    const BATCH: usize = 400;
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.memory_limit_mb = 16;
    let ingress = setup.start();
    let mut flood = ingress.client();
    let mut other = ingress.client();
    for batch in 0..BATCHES {
        let requests =
            (0..BATCH).map(|number| encode_request("quote", &format!("n{batch}-{number}"), 60_000));
        flood.send(&requests.collect::<Vec<_>>().concat());
        let answer = other.round_trip(&encode_request_of(1, "quote", &format!("o{batch}"), 60_000));
        assert!(answer == format!("value of o{batch}") || is_rejected(&answer), "{answer}");
        for number in 0..BATCH {
            let answer = flood.read_reply();
            let is_served = answer == format!("value of n{batch}-{number}");
            assert!(is_served || is_rejected(&answer), "request {number} of batch {batch}: {answer}");
        }
    }
    let peak = peak_memory_kb(&ingress);
    assert!(peak < setup.memory_limit_mb * 1024, "{peak} kB");
}
