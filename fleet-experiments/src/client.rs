//! Clients of real ingresses: connections that send one request after another.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause of a client between an answer and its next request.
const THINK_TIME: Duration = Duration::from_millis(2);
/// The options of each request: class, plan, deadline, units, and the gateways that the customer's requests
/// come through.
const REQUEST_OPTIONS: &str = "c=quote,t=starter,d=2000,units=1,spread=1,first=0";
/// The shortest answer has as many bytes.
const MIN_ANSWER_SIZE: usize = 3;
/// The lines of an answer with a value.
const VALUE_LINES: usize = 2;

/// A connection of one customer.
pub struct Client {
    /// The connection, on which one answer at a time is waited for.
    stream: TcpStream,
    /// The customer that all requests are of.
    customer: u64,
    /// Requests sent so far.
    requests: u64,
    /// What is received of an answer.
    buffer: [u8; 4096],
}

impl Client {
    /// Connects to an ingress or a backend.
    pub fn connect(address: SocketAddr, customer: u64) -> Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(Client { stream, customer, requests: 0, buffer: [0; 4096] })
    }

    /// Sends a request and reads the answer; true if it is a value.
    pub fn request(&mut self) -> Result<bool> {
        let id = format!("c{}x{}", self.customer, self.requests);
        self.requests += 1;
        self.stream.write_all(&encode_request(self.customer, &id))?;
        let mut size = 0;
        while !is_complete(&self.buffer[..size]) {
            match self.stream.read(&mut self.buffer[size..])? {
                0 => return Err(Error::from(ErrorKind::UnexpectedEof)),
                received => size += received,
            }
        }
        Ok(self.buffer[0] == b'$')
    }
}

/// The bytes of a request.
fn encode_request(customer: u64, id: &str) -> Vec<u8> {
    let customer = format!("{customer:016x}");
    let words = ["CALL.GET", &customer, id, REQUEST_OPTIONS];
    let mut command = format!("*{}\r\n", words.len());
    for word in words {
        command += &format!("${}\r\n{word}\r\n", word.len());
    }
    command.into_bytes()
}

/// Whether an answer is complete: a value has two lines, anything else one.
fn is_complete(answer: &[u8]) -> bool {
    let lines = answer.iter().filter(|byte| **byte == b'\n').count();
    answer.len() >= MIN_ANSWER_SIZE
        && answer.ends_with(b"\r\n")
        && (answer[0] != b'$' || lines >= VALUE_LINES)
}

/// Clients that send requests all the time, a thread each.
pub struct BackgroundLoad {
    /// All clients are to stop.
    stop: Arc<AtomicBool>,
    /// Each returns how many of its requests were served.
    clients: Vec<JoinHandle<u64>>,
}

impl BackgroundLoad {
    /// Starts clients, spread over the addresses.
    pub fn start(clients: u64, addresses: &[SocketAddr]) -> Result<BackgroundLoad> {
        let mut load = BackgroundLoad { stop: Arc::new(AtomicBool::new(false)), clients: Vec::new() };
        for customer in 0..clients {
            let address = addresses[customer as usize % addresses.len()];
            let (client, stop) = (Client::connect(address, customer)?, load.stop.clone());
            load.clients.push(thread::spawn(move || send_until(&stop, client)));
        }
        Ok(load)
    }

    /// Stops all clients; how many requests were served.
    pub fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().filter_map(|client| client.join().ok()).sum()
    }
}

/// Sends requests until the client is to stop, or its connection fails; how many were served.
fn send_until(stop: &AtomicBool, mut client: Client) -> u64 {
    let mut served = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(is_value) = client.request() else { break };
        served += u64::from(is_value);
        thread::sleep(THINK_TIME);
    }
    served
}
