//! The discovery protocol: long polls of the endpoint list over HTTP/1.1.

use crate::server::is_timeout;
use std::io::Read;
use std::time::{Duration, Instant};

/// End of a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Path of the endpoint list.
const ENDPOINTS_PATH: &str = "/v1/endpoints";
/// Maximum number of bytes per read.
const CHUNK_SIZE: usize = 1024;

/// The error for a request that is not a poll of the endpoint list.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a poll of the endpoint list: {0:?}")]
pub struct InvalidPoll(String);

/// A request for the endpoint list, or for its changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Version that the client has; `None` to request a snapshot.
    pub since: Option<u64>,
    /// Time for which the poll waits for changes.
    pub timeout: Duration,
}

impl Poll {
    /// Parses the head of an HTTP request.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is not a `GET` of the endpoint list, or its query has no `since`.
    pub fn parse(head: &str) -> Result<Poll, InvalidPoll> {
        Poll::parse_target(head).ok_or_else(|| InvalidPoll(head.to_string()))
    }

    /// Parses the request target: `/v1/endpoints` or `/v1/endpoints?since=41&timeout_ms=20000`.
    fn parse_target(head: &str) -> Option<Poll> {
        let target = head.strip_prefix("GET ")?.split(' ').next()?;
        let Some(query) = target.strip_prefix(ENDPOINTS_PATH)?.strip_prefix('?') else {
            return (target == ENDPOINTS_PATH).then_some(Poll { since: None, timeout: Duration::ZERO });
        };
        let parameter = |name: &str| {
            let parameters = query.split('&').filter_map(|parameter| parameter.split_once('='));
            let value = parameters.into_iter().find(|(key, _)| *key == name)?.1;
            value.parse::<u64>().ok()
        };
        let timeout = Duration::from_millis(parameter("timeout_ms").unwrap_or(0));
        Some(Poll { since: Some(parameter("since")?), timeout })
    }

    /// Returns the time at which a poll received now is answered even without changes.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.timeout
    }
}

/// Reads the head of the next request. Returns `None` if the connection ends, or `is_open` returns `false`.
///
/// `is_open` is called after each read that receives bytes or times out.
pub fn read_head(stream: &mut impl Read, is_open: impl Fn() -> bool) -> Option<String> {
    let mut head = Vec::new();
    let mut chunk = [0; CHUNK_SIZE];
    while !head.ends_with(HEAD_END) {
        let length = match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(length) => length,
            Err(error) if is_timeout(&error) => 0,
            Err(_) => return None,
        };
        if !is_open() {
            return None;
        }
        head.extend_from_slice(&chunk[..length]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Returns the status line and headers of a successful response with a body of this length.
pub fn response_head(body_length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {body_length}\r\n\r\n")
}

/// Returns a complete successful response, with its head.
pub fn response(body: &str) -> String {
    response_head(body.len()) + body
}
