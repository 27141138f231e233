//! Discovery is crowded: each call waits 3.5 s in its line. The ingress gives up every call after 3 s and never
//! learns that a backend drains. The orders that it still sends there are cut off when the backend ends.

#[path = "../common-2/lab.rs"]
mod lab;

use lab::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time for which a call waits in the line of a crowded discovery.
const LINE_MS: u64 = 3_500;
/// Time at which the backend begins to drain. The first call asks discovery to wait 30 s at most; this change comes
/// after that call.
const DRAIN_AT: u64 = 36_000;
/// A change counts as told at the latest 6 s after discovery had it and could be reached.
const TOLD_MS: u64 = 6_000;
/// Sends may go on for `rules.drain_grace_us`, 250 ms, and every limit is longer by 50 ms.
const GRACE_MS: u64 = 300;
/// The drained backend ends long after the last new work that it may get, and its longest time to work on it.
const BACKEND_ENDS_MS: u64 = 14_000;
const END_AT: u64 = 54_000;
/// Clients that send an order each, one after the other.
const CLIENTS: u64 = 6;

/// Sends orders that must not be repeated until the end of the run.
fn client(ingress: SocketAddr, number: u64, counts: &Counts) {
    let Ok(mut wire) = connect(ingress) else { return };
    let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(6)));
    for order in 0.. {
        let request = Request::order(order * CLIENTS + number, 3_000, b"pay".to_vec());
        record(format!("sent   {}", request.id));
        if wire.stream.write_all(&request.encode()).is_err() {
            return;
        }
        let Ok(answer) = wire.read_answer() else { return };
        record(format!("answer {} {}", request.id, String::from_utf8_lossy(&answer)));
        let served = answer.starts_with(b"$");
        let counter = if served { &counts.served } else { &counts.not_served };
        counter.fetch_add(1, Ordering::Relaxed);
        if answer.starts_with(b"-ERR") {
            counts.failed.fetch_add(1, Ordering::Relaxed);
        }
        sleep_ms(50);
    }
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    not_served: AtomicU64,
    failed: AtomicU64,
}

fn main() {
    begin(9);
    let discovery = Discovery::start();
    let backends: Vec<Backend> = (0..3)
        .map(|number| {
            Backend::start(&format!("s-{number}"), |arrival| Work {
                after_ms: 120,
                value: format!("done {}", arrival.id).into_bytes(),
            })
        })
        .collect();
    for backend in &backends {
        discovery.publish(&backend.name, backend.entry("up", 0));
    }
    if trouble() {
        record(format!("discovery is crowded: each call waits {LINE_MS} ms in line"));
        discovery.set_line_ms(LINE_MS);
    }
    // The list is asked for, and orders are unsafe to repeat.
    let settings = with(SETTINGS, r#""membership_mode":"push""#, r#""membership_mode":"ask""#);
    let settings = with(&settings, r#""effect":"by_key""#, r#""effect":"once""#);
    let setup = Setup { settings, ..Setup::new(&discovery) };
    let ingress = Ingress::start(&setup);
    let address = ingress.address;
    let counts: Arc<Counts> = Arc::default();
    for number in 0..CLIENTS {
        let counts = Arc::clone(&counts);
        thread::spawn(move || client(address, number, &counts));
    }
    sleep_until_ms(DRAIN_AT);
    let drained_at = now_ms();
    discovery.publish(&backends[1].name, backends[1].entry("draining", 0));
    sleep_until_ms(drained_at + BACKEND_ENDS_MS);
    backends[1].stop();
    discovery.publish(&backends[1].name, backends[1].entry("removed", 0));
    sleep_until_ms(END_AT);
    let last = drained_at + TOLD_MS + GRACE_MS;
    let late: Vec<u64> =
        backends[1].arrivals().iter().filter(|one| one.at > last).map(|one| one.at - drained_at).collect();
    let before = backends[1].arrivals().iter().filter(|one| one.at < drained_at).count();
    let failed = counts.failed.load(Ordering::Relaxed);
    let verdict = format!(
        "{} orders came to the draining backend later than {} ms after discovery had the change, the last after {} ms; {failed} orders failed",
        late.len(),
        last - drained_at,
        late.last().unwrap_or(&0)
    );
    if !ingress.is_running() {
        finish(BROKEN, "the ingress has ended");
    }
    if before < 20 || counts.served.load(Ordering::Relaxed) < 100 {
        finish(COULD_NOT_RUN, "too few requests were served");
    }
    finish(if late.is_empty() { HELD } else { BROKEN }, &verdict);
}
