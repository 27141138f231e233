//! The endpoint list from discovery, with one entry per backend.

use crate::{BackendId, Instant};

/// The state of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Availability {
    /// Accepts requests.
    #[default]
    Ready,
    /// Completes its requests and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An entry of the endpoint list, which describes one backend.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Identifier of the backend.
    pub backend: BackendId,
    /// Number of the backend's zone.
    pub zone: u8,
    /// Number of the backend's cell, a group of backends within which idempotency keys are shared if their
    /// scope is [`IdempotencyScope::Cell`](crate::IdempotencyScope::Cell).
    pub cell: u16,
    /// Number of the backend's machine type.
    pub machine_type: u16,
    /// Whether the backend accepts requests.
    pub availability: Availability,
    /// Size, with the meaning given by [`SizeMeaning`](crate::SizeMeaning).
    pub size: f64,
    /// Start time of the backend's process; `None` if it started long ago.
    pub started_at: Option<Instant>,
}

/// The kind of an endpoint list from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The changed entries only.
    Delta,
    /// All entries.
    Snapshot,
    /// All entries as cached before a restart, possibly stale.
    CachedSnapshot,
    /// No entries, because a poll of discovery failed; the previous list remains valid.
    PollFailed,
}
