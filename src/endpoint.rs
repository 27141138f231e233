//! The endpoint list as discovery gives it: one entry for each backend.

use crate::{BackendId, Instant};

/// The state of a backend as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Availability {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work, takes nothing new.
    Draining,
    /// Taken away.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: u8,
    /// Its cell: backends that know each other's idempotency keys.
    pub cell: u16,
    /// The type of its machine.
    pub machine_type: u16,
    /// Its state.
    pub availability: Availability,
    /// Its size, see [`SizeMeaning`](crate::SizeMeaning).
    pub size: f64,
    /// When its process started; none for long ago.
    pub started_at: Option<Instant>,
}

/// How an endpoint list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as cached before a restart, perhaps stale.
    CachedSnapshot,
    /// A poll of discovery failed; the list stays as it was.
    PollFailed,
}
