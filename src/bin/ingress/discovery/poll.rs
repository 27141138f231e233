//! Encodes the request of a poll and parses the endpoint list in its response.

use super::http::{self, Persistence, StreamState};
use super::{EndpointList, LocationNames, PollError};
use ingress::{Duration, Instant};
use std::net::SocketAddr;

/// The list or changes that a poll requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRequest {
    /// Requests a snapshot of the list, which is sent at once.
    Snapshot,
    /// Requests the changes since a version of the list, which are sent as soon as there are any. Without
    /// changes the response is empty and sent after the timeout.
    Changes {
        /// Version of the latest list received.
        since: u64,
        /// Maximum time that discovery waits for a change.
        timeout: Duration,
    },
}

impl PollRequest {
    /// Returns the version whose changes are requested; `None` for a snapshot.
    pub fn since(self) -> Option<u64> {
        match self {
            PollRequest::Snapshot => None,
            PollRequest::Changes { since, .. } => Some(since),
        }
    }

    /// Returns the time for which discovery may wait for a change.
    pub fn timeout(self) -> Duration {
        match self {
            PollRequest::Snapshot => Duration::ZERO,
            PollRequest::Changes { timeout, .. } => timeout,
        }
    }

    /// Encodes the request in HTTP/1.1.
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

/// A poll that awaits its response.
#[derive(Clone, Copy, Debug)]
pub struct PendingPoll {
    pub request: PollRequest,
    pub started_at: Instant,
    /// Version of the list that was in use at the start.
    pub index: u64,
}

impl PendingPoll {
    /// Returns the time at which a discovery without a queue responds at the latest.
    pub fn expected_at(&self) -> Instant {
        self.started_at + self.request.timeout()
    }
}

/// Locations and size limit by which responses are parsed.
pub struct ResponseFormat {
    pub location_names: LocationNames,
    /// Maximum size of a response's body.
    pub max_body_bytes: usize,
}

/// A complete and valid response to a poll.
pub struct PollResponse {
    pub endpoints: EndpointList,
    pub persistence: Persistence,
}

/// Parses the bytes received in response to a poll. Returns `None` if the response is incomplete.
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
