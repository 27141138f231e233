//! The readiness of a socket, as the poll reports it.

/// The operations that a ready socket may allow without blocking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The socket may be readable, and was not reported as writable.
    Readable,
    /// The socket is writable, and may be readable.
    Writable,
}
