//! How attempts went, as this gateway or a peer saw it.

use crate::BackendId;

/// Who saw how an attempt went.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This gateway.
    Own,
    /// Another one, which told of it.
    Peer,
}

/// How an attempt went.
pub struct Observation {
    /// Where the attempt went.
    pub backend: BackendId,
    /// The class of its request.
    pub class: usize,
    /// In microseconds; none for a failure or silence.
    pub latency: Option<f64>,
    /// Who saw it.
    pub source: Source,
}
