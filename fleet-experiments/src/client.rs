//! Clients of real ingresses. Each connection has at most one request in flight.

use stand_ins::request::{encode_request, Customer, RequestClass};
use stand_ins::resp::{parse_reply, Reply};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Maximum time that a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between an answer and the next request of a client.
const THINK_TIME: Duration = Duration::from_millis(2);
/// Plan of all customers.
const PLAN: &str = "starter";
/// Timeout stated in each request, in milliseconds.
const TIMEOUT_MS: u64 = 2000;
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_SIZE: usize = 4096;

/// Connection that sends the requests of one customer.
pub struct Client {
    stream: TcpStream,
    customer: u64,
    /// Number of requests sent, from which request ids are formed.
    requests: u64,
    /// Buffer for the part of an answer received so far.
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

    /// Sends a request and reads its answer. Returns whether the answer is a value, as opposed to a rejection
    /// or an error.
    ///
    /// # Errors
    ///
    /// If the connection fails, closes or times out before the answer is complete.
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

/// Clients that send requests continuously, each in a thread of its own.
pub struct BackgroundLoad {
    /// Stop flag shared by all clients.
    stop: Arc<AtomicBool>,
    /// Client threads, each of which returns the number of its served requests.
    clients: Vec<JoinHandle<u64>>,
}

impl BackgroundLoad {
    /// Starts clients, distributed over the addresses in turn.
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

    /// Stops all clients and returns the number of served requests.
    pub fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().filter_map(|client| client.join().ok()).sum()
    }
}

/// Sends requests until `stop` is set or the connection fails. Returns the number of served requests.
fn send_until(stop: &AtomicBool, mut client: Client) -> u64 {
    let mut served = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(is_value) = client.request() else { break };
        served += u64::from(is_value);
        thread::sleep(THINK_TIME);
    }
    served
}
