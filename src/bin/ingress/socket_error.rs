//! Errors of sockets that are no failures.

use std::io;

/// Whether a socket is not connected yet, or has nothing to read or no room to write: the poll tells when that changes.
pub fn is_not_ready(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}
