//! Servers on loopback, with a thread for each connection.

use std::io::{Error, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Listens at a port of its own on loopback.
///
/// # Errors
///
/// If no port can be bound.
pub fn listen() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}

/// Serves the connections of a listener for as long as the process lives, and returns its address.
///
/// `accept` is called for each connection in the order of arrival. What it returns runs in a thread of the
/// connection's own.
///
/// # Errors
///
/// If the listener has no local address.
pub fn serve<A, C>(listener: TcpListener, mut accept: A) -> std::io::Result<SocketAddr>
where
    A: FnMut(TcpStream) -> C + Send + 'static,
    C: FnOnce() + Send + 'static,
{
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(accept(stream));
        }
    });
    Ok(address)
}

/// Whether a read has only timed out, or was interrupted.
pub fn is_timeout(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
