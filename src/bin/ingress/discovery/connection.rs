//! The bytes of a connection to discovery, in both directions.

use super::http::{StreamState, MAX_HEAD_BYTES};
use super::{HttpError, PollError};
use crate::socket_error::is_not_ready;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A connection to discovery, which carries one request at a time.
pub struct DiscoveryConnection {
    /// The socket.
    stream: TcpStream,
    /// The bytes of the request that are not written yet.
    outgoing: Vec<u8>,
    /// The bytes received of the response.
    received: Vec<u8>,
}

/// The result of [`DiscoveryConnection::flush`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flush {
    /// The last byte of a request was written.
    Completed,
    /// Bytes are left to be written, or there was no request.
    NotCompleted,
}

impl DiscoveryConnection {
    /// Begins to open a connection.
    pub fn open(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<DiscoveryConnection> {
        let mut stream = TcpStream::connect(address)?;
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(DiscoveryConnection { stream, outgoing: Vec::new(), received: Vec::new() })
    }

    /// Sets the request that [`DiscoveryConnection::flush`] writes.
    pub fn set_request(&mut self, request: Vec<u8>) {
        self.outgoing = request;
    }

    /// Whether the request is written to its last byte.
    pub fn is_request_sent(&self) -> bool {
        self.outgoing.is_empty()
    }

    /// The bytes received since [`DiscoveryConnection::clear_received`].
    pub fn received(&self) -> &[u8] {
        &self.received
    }

    /// Drops the received bytes and their memory: a snapshot may be long.
    pub fn clear_received(&mut self) {
        self.received = Vec::new();
    }

    /// Writes as much of the request as the socket takes.
    pub fn flush(&mut self) -> io::Result<Flush> {
        while !self.outgoing.is_empty() {
            match self.stream.write(&self.outgoing) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.outgoing.drain(..written);
                    if self.outgoing.is_empty() {
                        return Ok(Flush::Completed);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Not connected yet, or the send buffer is full: the poll reports when the socket is
                // writable.
                Err(error) if is_not_ready(&error) => break,
                Err(error) => return Err(error),
            }
        }
        Ok(Flush::NotCompleted)
    }

    /// Reads all bytes that have arrived.
    pub fn receive(&mut self, max_body_bytes: usize) -> Result<StreamState, PollError> {
        let mut chunk = [0; READ_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(StreamState::Ended),
                Ok(count) => self.received.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_not_ready(&error) => return Ok(StreamState::Open),
                Err(error) => return Err(PollError::Receive(error)),
            }
            if self.received.len() > MAX_HEAD_BYTES + max_body_bytes {
                return Err(HttpError::TooLong.into());
            }
        }
    }
}
