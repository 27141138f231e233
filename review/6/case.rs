//! Clients send many commands at once, half of the answers are long, and two of seventeen backends hang. The
//! answers behind a hanging one are kept; when they are written, the ingress closes the connections of usual clients
//! for its memory limit, and the answers are lost.

#[path = "../common-2/lab.rs"]
mod lab;

use lab::*;
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Commands that a client sends at once, and the time between two such clients: 140 requests a second.
const BURST: u64 = 200;
const EVERY_MS: u64 = 1_430;
const BURSTS: u64 = 17;
const BACKENDS: u64 = 17;
/// Backends that hang: one of eight.
const HANGING: u64 = 2;
const HANG_AT: u64 = 4_000;
const WORK_MS: u64 = 100;
/// The length of a long value; a value holds 64 KiB at most.
const LONG: usize = 65_000;
/// How long a client waits: the time after which a payout order is given up, and four fifths of that of a quote.
const WAIT_MS: u64 = 4_000;
/// Time that 16 KiB take to a client: a network of 1 Gbit/s.
const PACE: Duration = Duration::from_micros(131);
/// The limits of the ingress.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum End {
    Served,
    Refused,
    Failed,
    Wrong,
    /// The ingress ended the connection without an answer.
    Ended,
}

fn value(id: &str) -> Vec<u8> {
    let number = u64::from_str_radix(&id[8..], 16).unwrap_or(0);
    let length = if number % 2 == 0 { LONG } else { 100 };
    let mut value = format!("done {id} ").into_bytes();
    value.resize(length, b'v');
    value
}

/// A quote or, for 26 per cent as on the site, an order.
fn request(number: u64) -> Request {
    if number * 37 % 100 < 26 {
        Request::order(number, WAIT_MS, b"pay".to_vec())
    } else {
        Request::quote(number, WAIT_MS)
    }
}

type Ends = Mutex<HashMap<String, End>>;

/// Sends many requests at once on a connection that is free or new, and reads the answers.
fn client(ingress: SocketAddr, first: u64, free: &Mutex<Vec<Wire>>, ends: &Ends) {
    let requests: Vec<Request> = (first..first + BURST).map(request).collect();
    let kept = lock(free).pop();
    let Some(mut wire) = kept.or_else(|| connect(ingress).ok()) else { return };
    wire.pace = Some(PACE);
    let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(15)));
    let bytes: Vec<u8> = requests.iter().flat_map(Request::encode).collect();
    if wire.stream.write_all(&bytes).is_err() {
        return;
    }
    record(format!("sent   {} to {}", requests[0].id, requests[requests.len() - 1].id));
    for request in &requests {
        let (end, text) = match wire.read_answer() {
            Ok(answer) if answer.starts_with(b"$") => {
                let right = answer[1..] == value(&request.id);
                (if right { End::Served } else { End::Wrong }, format!("a value of {} bytes", answer.len() - 1))
            }
            Ok(line) => {
                let refused = line.starts_with(b"-BUSY");
                let end = if refused { End::Refused } else { End::Failed };
                (end, String::from_utf8_lossy(&line).into_owned())
            }
            Err(error) => (End::Ended, error.to_string()),
        };
        record(format!("answer {} {end:?} {text}", request.id));
        lock(ends).insert(request.id.clone(), end);
    }
    lock(free).push(wire);
}

fn main() {
    begin(6);
    let discovery = Discovery::start();
    let backends: Vec<Backend> = (0..BACKENDS)
        .map(|number| {
            Backend::start(&format!("s-{number}"), move |arrival| {
                let hangs = trouble() && number < HANGING && now_ms() > HANG_AT;
                Work { after_ms: if hangs { 60_000 } else { WORK_MS }, value: value(&arrival.id) }
            })
        })
        .collect();
    for backend in &backends {
        discovery.publish(&backend.name, backend.entry("up", 0));
    }
    // Orders are unsafe to repeat.
    let settings = with(SETTINGS, r#""effect":"by_key""#, r#""effect":"once""#);
    let setup = Setup { sockets: SOCKETS, memory_mb: MEMORY_MB, settings, ..Setup::new(&discovery) };
    let ingress = Ingress::start(&setup);
    let (free, ends): (Arc<Mutex<Vec<Wire>>>, Arc<Ends>) = Default::default();
    let start = now_ms();
    let mut clients = Vec::new();
    for number in 0..BURSTS {
        sleep_until_ms(start + number * EVERY_MS);
        let (free, ends, address) = (Arc::clone(&free), Arc::clone(&ends), ingress.address);
        clients.push(thread::spawn(move || client(address, number * BURST, &free, &ends)));
        record(format!("memory {} KB", ingress.resident_kb()));
    }
    for client in clients {
        let _ = client.join();
    }
    let ran: HashSet<String> =
        backends.iter().flat_map(Backend::arrivals).map(|arrival| arrival.id).collect();
    let ends = lock(&ends).clone();
    let count = |end: End| ends.values().filter(|other| **other == end).count();
    // Only requests that a backend ran, so that the ingress has surely read them.
    let lost = ends.iter().filter(|(id, end)| **end == End::Ended && ran.contains(*id)).count();
    let verdict = format!(
        "{} requests: {} served, {} refused, {} failed, {} wrong, {lost} ran and lost with a connection that the ingress ended",
        ends.len(),
        count(End::Served),
        count(End::Refused),
        count(End::Failed),
        count(End::Wrong),
    );
    if !ingress.is_running() {
        finish(BROKEN, "the ingress has ended");
    }
    if count(End::Served) < 500 {
        finish(COULD_NOT_RUN, &verdict);
    }
    finish(if lost > 0 || count(End::Wrong) > 0 { BROKEN } else { HELD }, &verdict);
}
