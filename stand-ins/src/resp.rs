//! RESP2 encoding and parsing for clients and backends of an ingress.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// End of a protocol line.
const LINE_END: &[u8] = b"\r\n";
/// The encoded PING command.
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// The expected reply to a PING.
const PONG: &[u8] = b"+PONG\r\n";

/// Encodes a command as an array of bulk strings.
pub fn encode_command(words: &[&str]) -> Vec<u8> {
    let mut command = format!("*{}\r\n", words.len());
    for word in words {
        let _ = write!(command, "${}\r\n{word}\r\n", word.len());
    }
    command.into_bytes()
}

/// Encodes a backend's reply to a served request: a value, no metered usage, and an optional load report.
pub fn encode_served(value: &str, load_report: Option<&str>) -> Vec<u8> {
    let report =
        load_report.map_or("$-1\r\n".to_string(), |report| format!("${}\r\n{report}\r\n", report.len()));
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n{report}", value.len()).into_bytes()
}

/// A line with a type marker and a length.
struct LengthLine {
    length: usize,
    /// Position of the next line.
    end: usize,
}

/// Parses the length line that begins at `start`. Returns `None` if it is incomplete or of another type.
fn parse_length_line(buffer: &[u8], start: usize, marker: u8) -> Option<LengthLine> {
    let rest = buffer.get(start..)?;
    let line_length = line_length(rest)?;
    let (first, digits) = rest[..line_length].split_first()?;
    let digits = std::str::from_utf8(digits).ok().filter(|_| *first == marker)?;
    Some(LengthLine { length: digits.parse().ok()?, end: start + line_length + LINE_END.len() })
}

/// Returns the length of the buffer's first line without its end, or `None` if the line is incomplete.
fn line_length(buffer: &[u8]) -> Option<usize> {
    buffer.windows(LINE_END.len()).position(|pair| pair == LINE_END)
}

/// A received command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Name and arguments of the command.
    pub words: Vec<String>,
    /// Encoded length, in bytes.
    pub length: usize,
}

/// Parses the command at the start of a buffer. Returns `None` if it is incomplete.
pub fn parse_command(buffer: &[u8]) -> Option<Command> {
    let count = parse_length_line(buffer, 0, b'*')?;
    let mut words = Vec::new();
    let mut position = count.end;
    for _ in 0..count.length {
        let word = parse_length_line(buffer, position, b'$')?;
        let end = word.end + word.length;
        words.push(String::from_utf8_lossy(buffer.get(word.end..end)?).into_owned());
        position = end + LINE_END.len();
    }
    (position <= buffer.len()).then_some(Command { words, length: position })
}

/// A reply as parsed by a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A bulk string.
    Value(String),
    /// Any other line, including its type marker.
    Line(String),
}

/// A reply with its length on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReply {
    /// The parsed reply.
    pub reply: Reply,
    /// Encoded length, in bytes.
    pub length: usize,
}

/// Parses the reply at the start of a buffer. Returns `None` if it is incomplete.
pub fn parse_reply(buffer: &[u8]) -> Option<ReceivedReply> {
    let line_length = line_length(buffer)?;
    let Some(head) = parse_length_line(buffer, 0, b'$') else {
        let line = String::from_utf8_lossy(&buffer[..line_length]).into_owned();
        return Some(ReceivedReply { reply: Reply::Line(line), length: line_length + LINE_END.len() });
    };
    let end = head.end + head.length;
    let length = end + LINE_END.len();
    let value = String::from_utf8_lossy(&buffer.get(head.end..length)?[..head.length]).into_owned();
    Some(ReceivedReply { reply: Reply::Value(value), length })
}

/// Reads one value from a stream and flattens it to its texts. Returns `None` if the connection ends first.
pub fn read_value(stream: &mut impl Read) -> Option<Vec<String>> {
    let line = read_line(stream)?;
    let marker = line.chars().next()?;
    match (marker, line[marker.len_utf8()..].parse::<i64>()) {
        ('*', Ok(count)) => {
            let values = (0..count).map(|_| read_value(stream)).collect::<Option<Vec<_>>>()?;
            Some(values.concat())
        }
        ('$', Ok(length)) if length >= 0 => {
            let mut body = vec![0; length as usize + LINE_END.len()];
            stream.read_exact(&mut body).ok()?;
            Some(vec![String::from_utf8_lossy(&body[..length as usize]).into_owned()])
        }
        _ => Some(vec![line]),
    }
}

/// Reads a line byte by byte, so that no bytes after it are consumed.
fn read_line(stream: &mut impl Read) -> Option<String> {
    let mut line = Vec::new();
    while !line.ends_with(LINE_END) {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        line.push(byte[0]);
    }
    line.truncate(line.len() - LINE_END.len());
    Some(String::from_utf8_lossy(&line).into_owned())
}

/// Sends a PING on a new connection and returns whether the reply is correct.
///
/// # Errors
///
/// Returns an error if the connection fails, or ends or times out before the reply is complete.
pub fn ping(address: SocketAddr, timeout: Duration) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(PING)?;
    let mut reply = [0; PONG.len()];
    stream.read_exact(&mut reply)?;
    Ok(reply == PONG)
}
