//! Ingresses are told to end while clients send requests behind others and some answers are long. Each request that
//! an ingress has forwarded has to get its whole answer.

#[path = "../common/lib.rs"]
mod common;

use common::{
    connect_with_window, quote, record, run_case, take_answer, trouble, Answer, Backend, Deployment,
    Discovery, Ingress, BROKEN, HELD,
};
use std::collections::{HashSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 10;
/// Ingresses that are told to end, one after another.
const INGRESSES: usize = 3;
const CLIENTS: usize = 16;
/// Requests that a client writes at once, and the mean time between two such writes.
const REQUESTS_AT_ONCE: usize = 3;
const MEAN_GAP: Duration = Duration::from_millis(90);
/// Time of a request.
const TIMEOUT_MS: u64 = 4000;
/// Size of a long value, the largest that the protocol allows.
const LONG_VALUE: usize = 64 * 1024;
/// The path to a client. The site file gives 0.3 to 1.2 ms each way, and a new or rested TCP connection sends ten
/// segments of 1,460 bytes in a round trip. The system uses half of twice the stated size as the window.
const RECEIVE_WINDOW: i32 = 10 * 1460;
const ROUND_TRIP: Duration = Duration::from_micros(2 * 1200);
const TIME_BEFORE_SIGNAL: Duration = Duration::from_secs(2);
/// Time after SIGTERM for which clients go on sending: the longest deadline (3 s at most) plus 0.7 s.
const TIME_AFTER_SIGNAL: Duration = Duration::from_millis(3700);
/// Time for the last answers, for clients whose connection stays open.
const LAST_ANSWERS: Duration = Duration::from_millis(4600);

static SEED: AtomicU64 = AtomicU64::new(0);

/// Returns a pseudo-random number below `bound`.
fn random(bound: u64) -> u64 {
    let mut value = SEED.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (value ^ (value >> 31)) % bound
}

/// The requests that a client has sent and that got no whole answer, oldest first.
struct Unanswered {
    ids: VecDeque<String>,
    /// Bytes of the answer that had begun to come.
    partial: usize,
    sent: usize,
    ending: String,
}

/// Sends requests behind others on one connection, until the ingress ends it or the time is over.
fn client(address: SocketAddr, round: usize, number: usize, stop: &AtomicBool) -> io::Result<Unanswered> {
    let mut stream = connect_with_window(address, RECEIVE_WINDOW)?;
    stream.set_nodelay(true)?;
    let (mut ids, mut received, mut chunk) = (VecDeque::new(), Vec::new(), [0; 16 * 1024]);
    let (mut sent, mut next) = (0, Instant::now());
    let mut stopped_at = None;
    let ending = loop {
        if stop.load(Ordering::SeqCst) {
            let since = *stopped_at.get_or_insert_with(Instant::now);
            if ids.is_empty() || since.elapsed() > LAST_ANSWERS {
                break "the connection is open".to_string();
            }
        } else if Instant::now() >= next {
            let mut bytes = Vec::new();
            for _ in 0..REQUESTS_AT_ONCE {
                let id = format!("{round:02x}{number:06x}{sent:08x}");
                bytes.extend_from_slice(&quote(100 + number as u64, &id, TIMEOUT_MS));
                record(&format!("client sends {id}"));
                ids.push_back(id);
                sent += 1;
            }
            stream.set_nonblocking(false)?;
            let written = stream.write_all(&bytes);
            stream.set_nonblocking(true)?;
            if let Err(error) = written {
                // What has come before can still be read.
                record(&format!("client {round}/{number}: write failed: {error}"));
                next = Instant::now() + Duration::from_secs(3600);
            } else {
                next = Instant::now() + MEAN_GAP.mul_f64(0.2 + random(1600) as f64 / 1000.0);
            }
        }
        stream.set_nonblocking(true)?;
        match stream.read(&mut chunk) {
            Ok(0) => break "the ingress ended the connection".to_string(),
            Ok(length) => received.extend_from_slice(&chunk[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => break format!("the connection failed: {error}"),
        }
        while let Some(answer) = take_answer(&mut received) {
            let id = ids.pop_front().unwrap_or_default();
            let text = match answer {
                Answer::Value(value) => format!("a value of {} bytes", value.len()),
                Answer::Line(line) => line,
            };
            record(&format!("client gets for {id}: {text}"));
        }
        thread::sleep(ROUND_TRIP);
    };
    record(&format!("client {round}/{number}: {ending}; {} requests have no whole answer", ids.len()));
    Ok(Unanswered { ids, partial: received.len(), sent, ending })
}

/// Plays one ingress and returns how many requests were sent and how many of them were run but not answered.
fn round(
    round: usize,
    backends: &[Backend],
    discovery: SocketAddr,
    run: &Mutex<HashSet<String>>,
) -> Result<(usize, usize), String> {
    let deployment = Deployment { sockets: 256, memory_mb: 192, ingresses: 1, give_up_ms: 4000 };
    let mut ingress = Ingress::start(&deployment, backends, discovery)?;
    let (address, stop) = (ingress.address, Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let stop = stop.clone();
            thread::spawn(move || client(address, round, number, &stop))
        })
        .collect();
    thread::sleep(TIME_BEFORE_SIGNAL);
    if trouble() {
        record(&format!("SIGTERM to process {}", ingress.id));
        ingress.terminate();
    }
    thread::sleep(TIME_AFTER_SIGNAL);
    stop.store(true, Ordering::SeqCst);
    let (mut sent, mut lost) = (0, 0);
    for (number, client) in clients.into_iter().enumerate() {
        let result = client.join().map_err(|_| "a client failed".to_string())?;
        let unanswered = result.map_err(|error| error.to_string())?;
        sent += unanswered.sent;
        let run = run.lock().unwrap();
        for (position, id) in unanswered.ids.iter().enumerate() {
            let begun = if position == 0 { unanswered.partial } else { 0 };
            // A request that no backend has run may have crossed the end of the connection: its client may send
            // it again, and it is not counted.
            let is_lost = run.contains(id);
            lost += usize::from(is_lost);
            record(&format!(
                "client {round}/{number}: {id} has no whole answer, {begun} bytes of it came; {}: {}",
                unanswered.ending,
                if is_lost { "a backend has run it, LOST" } else { "not forwarded" }
            ));
        }
    }
    record(&format!("round {round}: the ingress has {}", if ingress.has_ended() { "ended" } else { "gone on" }));
    ingress.kill();
    Ok((sent, lost))
}

fn case() -> Result<i32, String> {
    let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    SEED.store(clock.map_or(1, |time| time.as_nanos() as u64), Ordering::Relaxed);
    let run = Arc::new(Mutex::new(HashSet::new()));
    let backends = (0..BACKENDS)
        .map(|number| {
            let run = run.clone();
            Backend::start(&format!("s-{number}"), move |words| {
                run.lock().unwrap().insert(String::from_utf8_lossy(&words[2]).into_owned());
                let mut value = words[2].clone();
                if random(2) == 0 {
                    value.resize(LONG_VALUE, b'x');
                }
                (Duration::from_millis(50 + random(100)), value)
            })
        })
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| error.to_string())?;
    let discovery = Discovery::start().map_err(|error| error.to_string())?;
    for backend in &backends {
        discovery.publish(&backend.name, backend.entry("up"));
    }
    let (mut sent, mut lost) = (0, 0);
    for number in 0..INGRESSES {
        let (more_sent, more_lost) = round(number, &backends, discovery.address, &run)?;
        (sent, lost) = (sent + more_sent, lost + more_lost);
    }
    record(&format!("{sent} requests, {lost} run by a backend and not answered whole"));
    Ok(if lost > 0 { BROKEN } else { HELD })
}

fn main() {
    run_case(case)
}
