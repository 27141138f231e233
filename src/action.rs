//! What a gateway asks its host to do.

use crate::{BackendId, Duration, GatewayId, Instant, RequestId};

/// What a gateway asks its host to do; several are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a backend.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// When to give the attempt up; none for the client's deadline.
        expires_at: Option<Instant>,
    },
    /// Final answer: rejected, trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should keep away; 0 gives no advice.
        retry_after: Duration,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u16,
    },
    /// Wake the gateway after `delay` with [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// From now.
        delay: Duration,
        /// Comes back with the event.
        token: u32,
    },
    /// Send a message of at most 256 bytes to one peer, or to all.
    SendToPeer {
        /// The receiver; none means all.
        to: Option<GatewayId>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Subscribe to discovery, or no longer.
    WatchEndpoints(bool),
    /// A line for the log.
    Log(String),
}
