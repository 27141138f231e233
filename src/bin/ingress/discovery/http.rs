//! Parses HTTP/1.1 responses: the place of the body, and whether it is complete.

use super::HttpError;
use std::borrow::Cow;

/// The most bytes of a response's head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The status of a successful response.
const STATUS_OK: u16 = 200;
/// The most headers of a response.
const MAX_HEADERS: usize = 64;
/// A response's body may take this part of the memory, as a divisor: with the spare capacity of its buffer
/// and the list that is built from it, it takes several times its length.
const BODY_MEMORY_DIVISOR: usize = 8;
/// The limit of a response's body where the memory is small.
const MIN_BODY_LIMIT_BYTES: usize = 4 << 20;
/// A chunked body longer than this is decoded only once its end may have arrived, not after each read.
const MAX_INCREMENTAL_DECODE_BYTES: usize = 64 * 1024;
/// Bytes of the line end that follows each chunk.
const CHUNK_TERMINATOR_LEN: usize = 2;

/// The most bytes of a response's body at an ingress with so much memory.
pub fn max_body_bytes(memory: usize) -> usize {
    (memory / BODY_MEMORY_DIVISOR).max(MIN_BODY_LIMIT_BYTES)
}

/// Whether more bytes may arrive on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// The peer may send more.
    Open,
    /// The peer has closed its end.
    Ended,
}

/// Whether a connection can serve another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// It stays open.
    KeepAlive,
    /// It is to be closed.
    Close,
}

/// The body of a complete response.
#[derive(Debug)]
pub struct Body<'a> {
    /// The body with its framing removed.
    pub bytes: Cow<'a, [u8]>,
    /// Whether the connection can serve another request.
    pub persistence: Persistence,
}

/// How the end of a body is determined.
enum Framing {
    /// The body consists of chunks.
    Chunked,
    /// The body has so many bytes.
    ContentLength(usize),
    /// The body ends with the connection.
    UntilClosed,
}

/// The head of a response.
struct Head {
    /// The head's length.
    len: usize,
    /// How the end of the body is determined.
    framing: Framing,
    /// Whether the connection can serve another request, if no bytes follow the body.
    persistence: Persistence,
}

/// Finds the body in the bytes received so far; none if the response is incomplete.
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
            // Bytes after the body are the response to no request, so the connection is not used again.
            let persistence = if rest.len() == length { head.persistence } else { Persistence::Close };
            Ok(rest.get(..length).map(|bytes| Body { bytes: Cow::Borrowed(bytes), persistence }))
        }
        Framing::UntilClosed => {
            let whole = Body { bytes: Cow::Borrowed(rest), persistence: Persistence::Close };
            Ok(Some(whole).filter(|_| stream == StreamState::Ended))
        }
    }
}

/// Parses the head of a response; none if it is incomplete.
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

/// How the end of the body is determined, by the headers.
fn parse_framing(headers: &[httparse::Header], max_body_bytes: usize) -> Result<Framing, HttpError> {
    if header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        return Ok(Framing::Chunked);
    }
    let Some(text) = header(headers, "content-length") else { return Ok(Framing::UntilClosed) };
    let length = text.parse::<usize>().ok().filter(|length| *length <= max_body_bytes);
    length.map(Framing::ContentLength).ok_or(HttpError::ContentLength(text))
}

/// The value of a header in lower case.
fn header(headers: &[httparse::Header], name: &str) -> Option<String> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
    found.map(|header| String::from_utf8_lossy(header.value).trim().to_ascii_lowercase())
}

/// Decodes a chunked body; none if it is incomplete.
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
        let end = start + size + CHUNK_TERMINATOR_LEN;
        let Some(chunk) = rest.get(start..end) else { return Ok(None) };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &rest[end..];
    }
}
