//! Parses HTTP/1.1 responses: locates the body, determines whether it is complete and removes its framing.

use super::HttpError;
use std::borrow::Cow;

/// Maximum size of a response's head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
const STATUS_OK: u16 = 200;
const MAX_HEADERS: usize = 64;
/// Divisor of the memory limit that gives the maximum size of a response's body. A body needs several times
/// its size in memory, with the spare capacity of its buffer and the list that is built from it.
const BODY_MEMORY_DIVISOR: usize = 8;
/// Lower bound of the maximum size of a response's body, for ingresses with little memory.
const MIN_BODY_LIMIT_BYTES: usize = 4 << 20;
/// Maximum size of an incomplete chunked body that is decoded after each read. Longer ones are decoded only
/// when the end of the body may have arrived.
const MAX_INCREMENTAL_DECODE_BYTES: usize = 64 * 1024;
/// Length of the CRLF that follows each chunk.
const CHUNK_TERMINATOR_BYTES: usize = 2;

/// Returns the maximum size of a response's body for an ingress with this memory limit, in bytes.
pub fn max_body_bytes(memory: usize) -> usize {
    (memory / BODY_MEMORY_DIVISOR).max(MIN_BODY_LIMIT_BYTES)
}

/// State of the receiving side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// More bytes may arrive.
    Open,
    /// Discovery has closed its end of the connection.
    Ended,
}

/// Use of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection stays open for another request.
    KeepAlive,
    /// The connection has to be closed after the response.
    Close,
}

/// The body of a complete response.
#[derive(Debug)]
pub struct Body<'a> {
    /// The body with its framing removed.
    pub bytes: Cow<'a, [u8]>,
    pub persistence: Persistence,
}

/// Method of determining the end of a body.
enum Framing {
    /// The body ends with a chunk of size 0.
    Chunked,
    /// The body has this length in bytes.
    ContentLength(usize),
    /// The body ends when the connection is closed.
    UntilClosed,
}

/// The properties of a response that its head determines.
struct Head {
    len: usize,
    framing: Framing,
    /// Does not apply if bytes follow a body of known length: the connection then has to be closed.
    persistence: Persistence,
}

/// Extracts the body from the bytes received so far. Returns `None` if the response is incomplete.
pub fn parse_response(
    received: &[u8],
    stream: StreamState,
    max_body_bytes: usize,
) -> Result<Option<Body<'_>>, HttpError> {
    let Some(head) = parse_head(received, max_body_bytes)? else { return Ok(None) };
    let rest = &received[head.len..];
    match head.framing {
        Framing::Chunked => {
            let may_be_complete = stream == StreamState::Ended || rest.ends_with(b"\r\n\r\n");
            if rest.len() > MAX_INCREMENTAL_DECODE_BYTES && !may_be_complete {
                return Ok(None);
            }
            let bytes = decode_chunks(rest, max_body_bytes)?.map(Cow::Owned);
            Ok(bytes.map(|bytes| Body { bytes, persistence: head.persistence }))
        }
        Framing::ContentLength(length) => {
            // Bytes after the body belong to no request, so the connection is not reused.
            let persistence = if rest.len() == length { head.persistence } else { Persistence::Close };
            Ok(rest.get(..length).map(|bytes| Body { bytes: Cow::Borrowed(bytes), persistence }))
        }
        Framing::UntilClosed => {
            let whole = Body { bytes: Cow::Borrowed(rest), persistence: Persistence::Close };
            Ok(Some(whole).filter(|_| stream == StreamState::Ended))
        }
    }
}

/// Parses the head of a response. Returns `None` if it is incomplete.
fn parse_head(received: &[u8], max_body_bytes: usize) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let len = match response.parse(received).map_err(HttpError::Malformed)? {
        httparse::Status::Complete(len) => len,
        httparse::Status::Partial if received.len() > MAX_HEAD_BYTES => return Err(HttpError::HeadTooLong),
        httparse::Status::Partial => return Ok(None),
    };
    if response.code != Some(STATUS_OK) {
        return Err(HttpError::Status(response.code.unwrap_or(0)));
    }
    let framing = parse_framing(response.headers, max_body_bytes)?;
    let is_closed = header(response.headers, "connection").is_some_and(|value| value == "close");
    let keeps_alive = response.version == Some(1) && !is_closed;
    let persistence = if keeps_alive { Persistence::KeepAlive } else { Persistence::Close };
    Ok(Some(Head { len, framing, persistence }))
}

/// Determines the framing of the body from the headers.
fn parse_framing(headers: &[httparse::Header], max_body_bytes: usize) -> Result<Framing, HttpError> {
    if header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        return Ok(Framing::Chunked);
    }
    let Some(text) = header(headers, "content-length") else { return Ok(Framing::UntilClosed) };
    let length = text.parse::<usize>().ok().filter(|length| *length <= max_body_bytes);
    length.map(Framing::ContentLength).ok_or(HttpError::ContentLength(text))
}

/// Returns the value of a header in lower case.
fn header(headers: &[httparse::Header], name: &str) -> Option<String> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
    found.map(|header| String::from_utf8_lossy(header.value).trim().to_ascii_lowercase())
}

/// Decodes a chunked body. Returns `None` if it is incomplete.
fn decode_chunks(mut rest: &[u8], max_body_bytes: usize) -> Result<Option<Vec<u8>>, HttpError> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::MalformedChunk),
        };
        let size = usize::try_from(size).ok().filter(|size| *size <= max_body_bytes);
        let size = size.ok_or(HttpError::TooLong)?;
        let end = start + size + CHUNK_TERMINATOR_BYTES;
        let Some(chunk) = rest.get(start..end) else { return Ok(None) };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &rest[end..];
    }
}
