//! HTTP/1.1 with long polling, as discovery speaks it.

use crate::server::is_timeout;
use std::io::Read;
use std::time::{Duration, Instant};

/// What ends the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The path of the endpoint list.
const ENDPOINTS_PATH: &str = "/v1/endpoints";
/// The bytes that are read at once.
const CHUNK_SIZE: usize = 1024;

/// A request that is not a poll of the endpoint list.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a poll of the endpoint list: {0:?}")]
pub struct NotAPoll(String);

/// A poll of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The version that the poller has; none to get a snapshot.
    pub since: Option<u64>,
    /// How long the poll waits for something newer.
    pub timeout: Duration,
}

impl Poll {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// If the request is not a `GET` of the endpoint list, or its query has no `since`.
    pub fn parse(head: &str) -> Result<Poll, NotAPoll> {
        Poll::parse_target(head).ok_or_else(|| NotAPoll(head.to_string()))
    }

    /// Parses the target of a request: `/v1/endpoints`, or `/v1/endpoints?since=41&timeout_ms=20000`.
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

    /// When the poll is answered though nothing is newer, if it was received now.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.timeout
    }
}

/// Reads the head of the next request; none where the connection ends, or is to be closed.
///
/// `is_open` is looked at whenever something was received, and whenever the read timeout of the stream is
/// over.
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

/// The head of a response with a body of this length.
pub fn response_head(body_length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {body_length}\r\n\r\n")
}

/// A response.
pub fn response(body: &str) -> String {
    response_head(body.len()) + body
}
