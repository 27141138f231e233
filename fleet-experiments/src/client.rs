//! Clients of real ingresses: connections that send one request after another.

use stand_ins::request::{encode_request, Customer, RequestClass};
use stand_ins::resp::{parse_reply, Reply};
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
/// The plan of all customers.
const PLAN: &str = "starter";
/// The timeout that each request states, in milliseconds.
const TIMEOUT_MS: u64 = 2000;
/// The longest answer that a client reads.
const MAX_ANSWER_SIZE: usize = 4096;

/// A connection of one customer.
pub struct Client {
    /// The connection, with one request in flight at most.
    stream: TcpStream,
    /// The customer of all requests.
    customer: u64,
    /// Requests sent so far.
    requests: u64,
    /// The bytes of an answer that were received.
    buffer: [u8; MAX_ANSWER_SIZE],
}

impl Client {
    /// Connects to an ingress or a backend.
    ///
    /// # Errors
    ///
    /// If the connection cannot be established, or its options cannot be set.
    pub fn connect(address: SocketAddr, customer: u64) -> Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(Client { stream, customer, requests: 0, buffer: [0; MAX_ANSWER_SIZE] })
    }

    /// Sends a request and reads the answer; true if it is a value.
    ///
    /// # Errors
    ///
    /// If the connection fails, or ends or times out before the answer is complete.
    pub fn request(&mut self) -> Result<bool> {
        let id = format!("c{}x{}", self.customer, self.requests);
        self.requests += 1;
        let customer = Customer::of_one_ingress(self.customer, PLAN);
        self.stream.write_all(&encode_request(RequestClass::Idempotent, &id, customer, TIMEOUT_MS))?;
        let mut length = 0;
        loop {
            match self.stream.read(&mut self.buffer[length..])? {
                0 => return Err(Error::from(ErrorKind::UnexpectedEof)),
                received => length += received,
            }
            if let Some(received) = parse_reply(&self.buffer[..length]) {
                return Ok(matches!(received.reply, Reply::Value(_)));
            }
        }
    }
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
    ///
    /// # Errors
    ///
    /// If a client cannot connect.
    pub fn start(clients: u64, addresses: &[SocketAddr]) -> Result<BackgroundLoad> {
        let mut load = BackgroundLoad { stop: Arc::new(AtomicBool::new(false)), clients: Vec::new() };
        for customer in 0..clients {
            let address = addresses[customer as usize % addresses.len()];
            let client = Client::connect(address, customer)?;
            let stop = load.stop.clone();
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
