//! Nonblocking reads and writes on a connection to discovery.

use super::http::{Persistence, StreamState, MAX_HEAD_BYTES};
use super::poll::{parse_response, PollResponse, ResponseFormat};
use super::{HttpError, PollError};
use crate::socket_error::is_not_ready;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, Read, Write};
use std::net::SocketAddr;

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A connection to discovery. Carries one request at a time.
pub struct DiscoveryConnection {
    stream: TcpStream,
    /// Bytes of the request that are not written yet.
    outgoing: Vec<u8>,
    /// Bytes of the response received so far.
    received: Vec<u8>,
}

/// Result of [`DiscoveryConnection::flush`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flush {
    /// The last byte of the request was written.
    Completed,
    /// Bytes remain to be written, or there was nothing to write.
    NotCompleted,
}

impl DiscoveryConnection {
    /// Starts opening a connection and registers it for readiness events.
    pub fn open(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<DiscoveryConnection> {
        let mut stream = TcpStream::connect(address)?;
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(DiscoveryConnection { stream, outgoing: Vec::new(), received: Vec::new() })
    }

    /// Sets the request that [`DiscoveryConnection::flush`] writes.
    pub fn set_request(&mut self, request: Vec<u8>) {
        self.outgoing = request;
    }

    /// Returns whether all bytes of the request are written.
    pub fn is_request_sent(&self) -> bool {
        self.outgoing.is_empty()
    }

    /// Returns the bytes received since the connection was opened or became reusable.
    pub fn received(&self) -> &[u8] {
        &self.received
    }

    /// Returns the connection for the next request, unless it has to be closed after a response.
    ///
    /// A response that arrives before its request is completely written closes the connection: discovery
    /// would read the rest of the request as the start of the next one.
    pub fn into_reusable(mut self, persistence: Persistence) -> Option<DiscoveryConnection> {
        if persistence == Persistence::Close || !self.is_request_sent() {
            return None;
        }
        // Frees the memory, since a snapshot may be large.
        self.received = Vec::new();
        Some(self)
    }

    /// Writes as much of the request as the socket accepts without blocking.
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
                // Not connected yet, or the send buffer is full. A readiness event follows when the socket
                // becomes writable.
                Err(error) if is_not_ready(&error) => break,
                Err(error) => return Err(error),
            }
        }
        Ok(Flush::NotCompleted)
    }

    /// Reads the response to the request. Returns `None` if it is incomplete.
    pub fn receive_response(&mut self, format: &ResponseFormat) -> Result<Option<PollResponse>, PollError> {
        let stream_state = self.receive(format.max_body_bytes)?;
        // The parser needs the state of the stream: a response without a length is complete when the stream
        // ends.
        let ResponseFormat { location_names, max_body_bytes } = format;
        let response = parse_response(&self.received, stream_state, location_names, *max_body_bytes)?;
        match (response, stream_state) {
            (response, StreamState::Open) => Ok(response),
            (Some(response), StreamState::Ended) => {
                Ok(Some(PollResponse { persistence: Persistence::Close, ..response }))
            }
            (None, StreamState::Ended) => Err(PollError::ConnectionEnded),
        }
    }

    /// Reads until a read would block or the stream has ended.
    ///
    /// Fails if a read fails or the response exceeds its size limit.
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
