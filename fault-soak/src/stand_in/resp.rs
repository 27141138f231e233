//! RESP2 as clients and backends write and read it.

use crate::record::RequestClass;
use crate::settings::{METERED_PLAN, METERED_SET_SIZE, UNMETERED_PLAN};

/// The number of the first customer with a quota; clients have lower ones.
const FIRST_METERED_CUSTOMER: u64 = 100_000;

/// A command, as an array of bulk strings.
pub fn encode_command(parts: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len());
    parts.iter().for_each(|part| bytes += &format!("${}\r\n{part}\r\n", part.len()));
    bytes.into_bytes()
}

/// A customer, and the ingresses that serve it.
#[derive(Clone, Copy, Debug)]
pub struct Customer {
    /// Its number.
    pub number: u64,
    /// The name of its plan.
    plan: &'static str,
    /// How many ingresses serve it.
    set_size: usize,
    /// The first of them.
    set_start: usize,
}

impl Customer {
    /// One with a quota that nobody reaches.
    pub fn unmetered(number: u64) -> Customer {
        Customer { number, plan: UNMETERED_PLAN, set_size: 1, set_start: 0 }
    }

    /// The one with a quota that some ingresses in a row serve, from this one of so many on.
    pub fn metered(set_start: usize, ingresses: usize) -> Customer {
        let number = FIRST_METERED_CUSTOMER + set_start as u64;
        Customer { number, plan: METERED_PLAN, set_size: METERED_SET_SIZE.min(ingresses), set_start }
    }
}

/// A request of a class.
pub fn encode_request(class: RequestClass, id: &str, customer: Customer, timeout_ms: u64) -> Vec<u8> {
    let Customer { number, plan, set_size, set_start } = customer;
    let customer = format!("{number:016x}");
    let options = |name: &str, key: &str| {
        format!("c={name},t={plan},d={timeout_ms}{key},units=1,spread={set_size},first={set_start}")
    };
    match class {
        RequestClass::Idempotent => encode_command(&["CALL.GET", &customer, id, &options("quote", "")]),
        RequestClass::Keyed => {
            encode_command(&["CALL.POST", &customer, id, &options("save", ",k=00ff"), "BODY"])
        }
        RequestClass::NonIdempotent => {
            encode_command(&["CALL.POST", &customer, id, &options("refer", ""), "BODY"])
        }
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
