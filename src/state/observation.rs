//! How attempts went, as this gateway or a peer saw it.

use crate::BackendId;

/// Who saw how an attempt went.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Source {
    Own,
    Peer,
}

/// How an attempt went.
pub struct Observation {
    pub backend: BackendId,
    pub class: usize,
    /// In microseconds; none for a failure or silence.
    pub latency: Option<f64>,
    pub source: Source,
}
