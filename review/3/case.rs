//! Bad clients that stop in the middle of a request fill the descriptors. A usual client opens a connection and
//! sends several requests at once: each that the ingress has read has to get its answer.

#[path = "../common/lib.rs"]
mod common;

use common::{
    clients_that_stop_within_a_request, quote, record, run_case, take_answer, trouble, Backend, Deployment,
    Discovery, Ingress, BROKEN, HELD,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const BAD_CLIENTS: usize = 176;
const CONNECTIONS: usize = 10;
const REQUESTS_PER_CONNECTION: usize = 4;
/// Time for which a usual client waits for each request.
const TIMEOUT: Duration = Duration::from_millis(4000);
/// Half a second and 50 ms after the requests' time.
const LATEST_ANSWER: Duration = Duration::from_millis(4000 + 500 + 50);
/// Time after the end of the connection until the client looks whether the ingress has left bytes unread: a
/// close over unread bytes resets the connection. The ingress closes its end within two seconds.
const RESET_WAIT: Duration = Duration::from_millis(2500);

/// Sends several requests in one write, on a new connection, and returns how many of them were lost.
fn client(address: SocketAddr, number: usize) -> usize {
    let ids: Vec<String> =
        (0..REQUESTS_PER_CONNECTION).map(|index| format!("{:016x}", 0x1000 * (number + 1) + index)).collect();
    let bytes: Vec<u8> =
        ids.iter().flat_map(|id| quote(100 + number as u64, id, TIMEOUT.as_millis() as u64)).collect();
    let Ok(mut stream) = TcpStream::connect(address) else {
        record(&format!("connection {number}: not established"));
        return 0;
    };
    let sent_at = Instant::now();
    if stream.write_all(&bytes).is_err() {
        record(&format!("connection {number}: shut before the requests were written"));
        return 0;
    }
    record(&format!("connection {number}: {REQUESTS_PER_CONNECTION} requests in one write: {}", ids.join(" ")));
    let (mut received, mut chunk, mut answers) = (Vec::new(), [0; 4096], 0);
    let ending = loop {
        while let Some(answer) = take_answer(&mut received) {
            let after = sent_at.elapsed().as_millis();
            record(&format!("connection {number}: answer to {}: {answer:?} after {after} ms", ids[answers]));
            answers += 1;
        }
        if answers == REQUESTS_PER_CONNECTION {
            return 0;
        }
        let left = LATEST_ANSWER.saturating_sub(sent_at.elapsed());
        if left.is_zero() {
            break "is open, and the time for the answers is over".to_string();
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut chunk) {
            Ok(0) => break "was ended by the ingress".to_string(),
            Ok(length) => received.extend_from_slice(&chunk[..length]),
            Err(error) => break format!("failed: {error}"),
        }
    };
    let after = sent_at.elapsed().as_millis();
    record(&format!("connection {number}: {ending} after {after} ms with {answers} answers"));
    if answers == 0 {
        // New connections may be shut unread while the descriptors are full.
        return 0;
    }
    thread::sleep(RESET_WAIT);
    let reset = stream.take_error().ok().flatten();
    let reading = match &reset {
        None => "no reset followed, so the ingress has read all requests".to_string(),
        Some(error) => format!("a reset followed ({error}), so the ingress has left bytes unread"),
    };
    let lost = if reset.is_none() { REQUESTS_PER_CONNECTION - answers } else { 0 };
    record(&format!("connection {number}: {reading}; lost: {lost}"));
    lost
}

fn case() -> Result<i32, String> {
    let backends = (0..4)
        .map(|number| {
            Backend::start(&format!("s-{number}"), |words| (Duration::from_millis(50), words[2].clone()))
        })
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| error.to_string())?;
    let discovery = Discovery::start().map_err(|error| error.to_string())?;
    for backend in &backends {
        discovery.publish(&backend.name, backend.entry("up"));
    }
    let deployment = Deployment { sockets: 256, memory_mb: 192, ingresses: 1, give_up_ms: 4000 };
    let mut ingress = Ingress::start(&deployment, &backends, discovery.address)?;
    let address = ingress.address;
    if trouble() {
        clients_that_stop_within_a_request(address, BAD_CLIENTS, Duration::from_secs(8));
        thread::sleep(Duration::from_millis(300));
    }
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            thread::sleep(Duration::from_millis(100));
            thread::spawn(move || client(address, number))
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        lost += client.join().map_err(|_| "a client failed".to_string())?;
    }
    if ingress.has_ended() {
        record("the ingress has ended");
        return Ok(BROKEN);
    }
    record(&format!("{lost} of {} requests lost", CONNECTIONS * REQUESTS_PER_CONNECTION));
    Ok(if lost > 0 { BROKEN } else { HELD })
}

fn main() {
    run_case(case)
}
