//! RESP2 as clients and backends of the ingress write and read it.

use std::io::Read;

/// A command, as an array of bulk strings.
pub fn encode_command(parts: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len());
    parts.iter().for_each(|part| out += &format!("${}\r\n{part}\r\n", part.len()));
    out.into_bytes()
}

/// Reads one RESP2 value, flattened to its texts; none where the connection ends first.
pub fn read_value(stream: &mut impl Read) -> Option<Vec<String>> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        line.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&line[..line.len() - 2]).into_owned();
    match (&text[..1], text[1..].parse::<i64>()) {
        ("*", Ok(count)) => {
            (0..count).map(|_| read_value(stream)).collect::<Option<Vec<_>>>().map(|values| values.concat())
        }
        ("$", Ok(length)) if length >= 0 => {
            let mut body = vec![0; length as usize + 2];
            stream.read_exact(&mut body).ok()?;
            Some(vec![String::from_utf8_lossy(&body[..length as usize]).into_owned()])
        }
        _ => Some(vec![text]),
    }
}
