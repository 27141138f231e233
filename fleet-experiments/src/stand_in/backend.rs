//! A backend that answers each request with its id, after a constant service time.

use stand_ins::resp::{encode_served, parse_command};
use stand_ins::server::{listen, serve};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Time that a backend takes to answer a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Index of the request id among the words of a command.
const ID_POSITION: usize = 2;
/// Maximum number of bytes per read.
const CHUNK_SIZE: usize = 4096;

/// Starts a backend that serves until the process exits, and returns its address.
///
/// # Errors
///
/// If no port can be bound.
pub fn start() -> anyhow::Result<SocketAddr> {
    let answer_all = |stream| move || _ = answer_commands(stream);
    Ok(serve(listen()?, answer_all)?)
}

/// Answers the commands of a connection until it is closed.
fn answer_commands(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut received = Vec::new();
    let mut chunk = [0; CHUNK_SIZE];
    loop {
        while let Some(command) = parse_command(&received) {
            received.drain(..command.length);
            thread::sleep(SERVICE_TIME);
            let id = command.words.get(ID_POSITION).map_or("", String::as_str);
            stream.write_all(&encode_served(id, None))?;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(()),
            length => received.extend_from_slice(&chunk[..length]),
        }
    }
}
