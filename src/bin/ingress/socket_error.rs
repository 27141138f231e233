//! Errors of sockets that are no failures.

use std::io;

/// Linux's number for "no buffer space available", which has no kind of its own.
const ENOBUFS: i32 = 105;

/// Whether a call found no memory for the moment: the connection is as it was, and the call is worth another try, of which
/// the poll does not tell.
pub fn is_out_of_memory(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::OutOfMemory || error.raw_os_error() == Some(ENOBUFS)
}

/// Linux's numbers for too many open files in the system and in the process.
const FILE_LIMIT_ERRNOS: [i32; 2] = [23, 24];

/// Whether a call failed for want of something on this machine, for the moment: that says nothing of the other side.
pub fn is_local_shortage(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, Interrupted, WouldBlock};
    matches!(error.kind(), AddrNotAvailable | Interrupted | WouldBlock)
        || is_out_of_memory(error)
        || error.raw_os_error().is_some_and(|errno| FILE_LIMIT_ERRNOS.contains(&errno))
}

/// Whether a socket is not connected yet, or has nothing to read or no room to write: the poll tells when that changes.
pub fn is_not_ready(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}
