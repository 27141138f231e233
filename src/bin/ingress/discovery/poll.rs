//! One poll of discovery: its request, and the endpoint list in its response.

use super::http::{self, Persistence, StreamState};
use super::{EndpointList, LocationNames, PollError};
use ingress::Duration;
use std::net::SocketAddr;

/// The request of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRequest {
    /// A snapshot of the list, at once.
    Snapshot,
    /// The changes since a version of the list, as soon as there are any, or an empty response after a
    /// timeout.
    Changes {
        /// The version of the latest list.
        since: u64,
        /// How long discovery may wait for a change.
        timeout: Duration,
    },
}

impl PollRequest {
    /// The request's bytes.
    pub fn encode(self, host: SocketAddr) -> Vec<u8> {
        let query = match self {
            PollRequest::Snapshot => String::new(),
            PollRequest::Changes { since, timeout } => {
                format!("?since={since}&timeout_ms={}", timeout.as_millis())
            }
        };
        format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
    }
}

/// A complete response to a poll.
pub struct PollResponse {
    /// The list in it.
    pub endpoints: EndpointList,
    /// Whether the connection can serve another request.
    pub persistence: Persistence,
}

/// Parses the bytes received in response to a poll; none if they are incomplete.
pub fn parse_response(
    received: &[u8],
    stream: StreamState,
    location_names: &LocationNames,
    max_body_bytes: usize,
) -> Result<Option<PollResponse>, PollError> {
    let Some(body) = http::parse_response(received, stream, max_body_bytes)? else { return Ok(None) };
    let endpoints =
        EndpointList::from_bytes(&body.bytes, location_names).map_err(PollError::NotAnEndpointList)?;
    Ok(Some(PollResponse { endpoints, persistence: body.persistence }))
}

#[cfg(test)]
mod tests;
