//! Classifies errors of system calls that are not failures of the other side.

use std::io;

/// Linux's error number for "no buffer space available", which has no `ErrorKind`.
const ENOBUFS: i32 = 105;

/// Returns whether a call failed for lack of memory. The connection is unchanged and the call can be retried,
/// but no readiness event follows.
pub fn is_out_of_memory(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::OutOfMemory || error.raw_os_error() == Some(ENOBUFS)
}

/// Linux's error numbers ENFILE and EMFILE: too many open files in the system and in the process.
const FILE_LIMIT_ERRNOS: [i32; 2] = [23, 24];

/// Returns whether a call failed because of a possibly transient shortage on this machine, which does not
/// indicate a failure of the other side.
pub fn is_local_shortage(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, Interrupted, WouldBlock};
    matches!(error.kind(), AddrNotAvailable | Interrupted | WouldBlock)
        || is_out_of_memory(error)
        || error.raw_os_error().is_some_and(|errno| FILE_LIMIT_ERRNOS.contains(&errno))
}

/// Returns whether a socket is not connected yet, has nothing to read or cannot be written to. A readiness
/// event follows.
pub fn is_not_ready(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}
