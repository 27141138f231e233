//! The readiness of a socket, as the poll reports it.

/// What a ready socket can do without blocking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It may be readable, and was not reported as writable.
    Readable,
    /// It can be written to, and may be readable.
    Writable,
}
