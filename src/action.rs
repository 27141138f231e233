//! Output of a gateway: sends, answers, cancellations, timers and messages for its host to execute.

use crate::{BackendId, Duration, GatewayId, Instant, RequestId};

/// An instruction of a gateway to its host. The host executes the actions of an event in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a backend, as its next attempt.
    ///
    /// The attempts of a request are numbered from 0 in order of their `Send`s, which host and gateway both
    /// count. [`Action::Cancel`] and [`AttemptEnded`](crate::AttemptEnded) refer to an attempt by its number.
    Send {
        /// Request for which an attempt is sent.
        id: RequestId,
        /// Receiving backend.
        backend: BackendId,
        /// Time at which the attempt expires; `None` for the client's deadline.
        expires_at: Option<Instant>,
    },
    /// Answer the request as rejected: it was not executed, and the client may safely retry it.
    Reject {
        /// Request that receives this final answer.
        id: RequestId,
        /// Advised time until the client's retry; zero for no advice.
        retry_after: Duration,
    },
    /// Answer the request as failed: it may have been executed.
    Fail(RequestId),
    /// Cancel an attempt in flight.
    Cancel {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u16,
    },
    /// Pass an [`Event::Timer`](crate::Event::Timer) to the gateway after `delay`.
    SetTimer {
        /// Time from the current event to the timer event.
        delay: Duration,
        /// Token to return with the event.
        token: u32,
    },
    /// Send a message of at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES) to one peer or to all.
    SendToPeer {
        /// Receiving gateway; `None` for all peers.
        to: Option<GatewayId>,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// Poll discovery for changes since its last answer.
    ///
    /// The simulator treats this as a subscription that is answered once, even if a subscription exists. The
    /// ingress sends long polls on its own schedule and ignores this action.
    PollDiscovery,
    /// Write a line to the log.
    ///
    /// Used only for changes of the shedding stage, since the simulator displays the lines of this action.
    /// All other log lines are `tracing` events.
    Log(String),
}
