//! Errors of sockets that are no failures.

use std::io;

/// Linux's number for "no buffer space available", which has no kind of its own.
const ENOBUFS: i32 = 105;

/// Whether a call found no memory for the moment: the connection is as it was, and the call is worth another try, of which
/// the poll does not tell.
pub fn is_out_of_memory(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::OutOfMemory || error.raw_os_error() == Some(ENOBUFS)
}

/// Whether a socket is not connected yet, or has nothing to read or no room to write: the poll tells when that changes.
pub fn is_not_ready(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}
