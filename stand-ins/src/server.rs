//! Loopback servers with a thread per connection.

use std::io::{Error, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Listens on an unused loopback port.
///
/// # Errors
///
/// Returns an error if no port can be bound.
pub fn listen() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}

/// Serves the connections of a listener until the process exits, and returns its address.
///
/// `accept` is called for each connection in order of arrival. The closure that it returns runs in its own
/// thread.
///
/// # Errors
///
/// Returns an error if the listener has no local address.
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

/// Returns whether a read has timed out or was interrupted, so that it can be repeated.
pub fn is_timeout(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
