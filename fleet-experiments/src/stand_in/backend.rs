//! A stand-in backend: answers each request with its id, after the same time each.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// How long a backend takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// The position of the request's id among the words of a command.
const ID_POSITION: usize = 2;

/// Starts a backend that serves for as long as the process lives; where it listens.
pub fn start() -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

/// Answers the commands of a connection until its end.
fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        while let Some(command) = parse_command(&received) {
            received.drain(..command.size);
            thread::sleep(SERVICE_TIME);
            let id = command.words.get(ID_POSITION).map_or("", String::as_str);
            let answer = format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len());
            stream.write_all(answer.as_bytes())?;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(()),
            size => received.extend_from_slice(&chunk[..size]),
        }
    }
}

/// A command as it was received.
struct ReceivedCommand {
    /// The name of the command and its arguments.
    words: Vec<String>,
    /// Bytes that it takes.
    size: usize,
}

/// The number that a line holds after its type, and where the next line starts.
struct NumberLine {
    /// The number.
    number: usize,
    /// Where the next line starts.
    end: usize,
}

/// The command at the start of what was received; none if it is not whole.
fn parse_command(received: &[u8]) -> Option<ReceivedCommand> {
    let count = parse_number_line(received, 0)?;
    let (mut words, mut at) = (Vec::new(), count.end);
    for _ in 0..count.number {
        let length = parse_number_line(received, at)?;
        let word = received.get(length.end..length.end + length.number)?;
        words.push(String::from_utf8_lossy(word).into_owned());
        at = length.end + length.number + b"\r\n".len();
    }
    (at <= received.len()).then_some(ReceivedCommand { words, size: at })
}

/// The line of a number that starts at `start`; none if it is not whole.
fn parse_number_line(received: &[u8], start: usize) -> Option<NumberLine> {
    let length = received[start..].windows(2).position(|pair| pair == b"\r\n")?;
    let text = std::str::from_utf8(&received[start + 1..start + length]).ok()?;
    Some(NumberLine { number: text.parse().ok()?, end: start + length + b"\r\n".len() })
}
