//! RESP2 as clients and backends write and read it.

use crate::record::Class;

/// A command, as an array of bulk strings.
pub fn encode_command(parts: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len());
    parts.iter().for_each(|part| bytes += &format!("${}\r\n{part}\r\n", part.len()));
    bytes.into_bytes()
}

/// A request of a class.
pub fn encode_request(class: Class, id: &str, customer: u64, timeout_ms: u64) -> Vec<u8> {
    let customer = format!("{customer:016x}");
    let options =
        |name: &str, key: &str| format!("c={name},t=starter,d={timeout_ms}{key},units=1,spread=1,first=0");
    match class {
        Class::Idempotent => encode_command(&["CALL.GET", &customer, id, &options("quote", "")]),
        Class::Keyed => encode_command(&["CALL.POST", &customer, id, &options("save", ",k=00ff"), "BODY"]),
        Class::NonIdempotent => encode_command(&["CALL.POST", &customer, id, &options("refer", ""), "BODY"]),
    }
}

/// The value that a backend gives for a request.
pub fn value_of(id: &str) -> String {
    format!("value of {id}")
}

/// A reply, as a client reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A bulk string.
    Value(String),
    /// A line, with its type marker.
    Line(String),
}

/// The line that begins a buffer, without its end, and where the next one begins.
fn line(buffer: &[u8]) -> Option<(String, usize)> {
    let end = buffer.windows(2).position(|pair| pair == b"\r\n")?;
    Some((String::from_utf8_lossy(&buffer[..end]).into_owned(), end + 2))
}

/// The reply at the beginning of a buffer and its length; none while it is not whole.
pub fn parse_reply(buffer: &[u8]) -> Option<(Reply, usize)> {
    let (head, start) = line(buffer)?;
    let Some(length) = head.strip_prefix('$').and_then(|digits| digits.parse::<usize>().ok()) else {
        return Some((Reply::Line(head), start));
    };
    let end = start + length + 2;
    let body = buffer.get(start..end)?;
    Some((Reply::Value(String::from_utf8_lossy(&body[..length]).into_owned()), end))
}

/// The arguments of the command at the beginning of a buffer, and its length; none while it is not whole.
pub fn parse_command(buffer: &[u8]) -> Option<(Vec<String>, usize)> {
    let (head, mut position) = line(buffer)?;
    let count = head.strip_prefix('*')?.parse::<usize>().ok()?;
    let mut arguments = Vec::new();
    for _ in 0..count {
        let (head, start) = line(&buffer[position..])?;
        let length = head.strip_prefix('$')?.parse::<usize>().ok()?;
        let body = buffer.get(position + start..position + start + length + 2)?;
        arguments.push(String::from_utf8_lossy(&body[..length]).into_owned());
        position += start + length + 2;
    }
    Some((arguments, position))
}
