//! Clients of the ingress and their requests.

use super::wait::WAIT_LIMIT;
use socket2::{Domain, Socket, Type};
use stand_ins::request::{encode_request as encode, Customer};
use stand_ins::resp::{encode_command, read_value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Plan of all customers.
const PLAN: &str = "starter";

/// A client with a connection to an ingress.
pub struct Client {
    /// Socket of the connection.
    pub stream: TcpStream,
}

impl Client {
    /// Connects a client to an ingress.
    ///
    /// # Panics
    ///
    /// Panics if the connection cannot be established, or its options cannot be set.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Client { stream }
    }

    /// Connects a client whose kernel holds about twice this number of bytes that the client has not read.
    ///
    /// # Panics
    ///
    /// Panics if the connection cannot be established, or its options cannot be set.
    pub fn connect_with_window(address: SocketAddr, bytes: usize) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        // The size is effective only if it is set before the connection is established.
        socket.set_recv_buffer_size(bytes).unwrap();
        socket.connect(&address.into()).unwrap();
        socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        socket.set_tcp_nodelay(true).unwrap();
        Client { stream: socket.into() }
    }

    /// Waits until a part of a reply has arrived, without reading it.
    ///
    /// # Panics
    ///
    /// Panics if none arrives.
    pub fn wait_for_input(&self) {
        assert_eq!(self.stream.peek(&mut [0]).unwrap(), 1);
    }

    /// Sends raw bytes.
    ///
    /// # Panics
    ///
    /// Panics if the connection is closed.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads the next reply and returns its text, which is empty if the connection is closed.
    pub fn read_reply(&mut self) -> String {
        read_value(&mut self.stream).map_or(String::new(), |texts| texts.concat())
    }

    /// Sends a command and reads the reply.
    pub fn round_trip(&mut self, bytes: &[u8]) -> String {
        self.send(bytes);
        self.read_reply()
    }

    /// Sends a PING and returns the reply.
    pub fn ping(&mut self) -> String {
        self.round_trip(&encode_command(&["PING"]))
    }

    /// Shuts down both directions of the connection.
    pub fn disconnect(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Waits for input, and returns whether the ingress closes the connection without sending any.
    pub fn is_disconnected(&mut self) -> bool {
        match self.stream.read(&mut [0; 64]) {
            Ok(length) => length == 0,
            Err(error) => matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe),
        }
    }
}

/// Encodes a request of a new customer. `class` is a name in the settings of the tests: `quote` is
/// idempotent, `save` keyed and `refer` non-idempotent.
pub fn encode_request(class: &str, id: &str, timeout_ms: u32) -> Vec<u8> {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    encode_request_of(NEXT.fetch_add(1, Ordering::Relaxed), class, id, timeout_ms)
}

/// Encodes a request of a given customer, with the name of its class.
///
/// # Panics
///
/// Panics if there is no class with this name.
pub fn encode_request_of(customer: usize, class: &str, id: &str, timeout_ms: u32) -> Vec<u8> {
    let customer = Customer::of_one_ingress(customer as u64, PLAN);
    encode(class.parse().unwrap(), id, customer, u64::from(timeout_ms))
}
