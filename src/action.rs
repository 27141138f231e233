//! The actions that a gateway requests from its host.

use crate::{BackendId, Duration, GatewayId, Instant, RequestId};

/// An action that a gateway requests from its host.
///
/// Several actions are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a backend, as its next attempt.
    ///
    /// Attempts are numbered from 0 for each request. Host and gateway both count the `Send`s of a request;
    /// [`Action::Cancel`] and [`AttemptEnded`](crate::AttemptEnded) name an attempt by its number.
    Send {
        /// The request.
        id: RequestId,
        /// The backend.
        backend: BackendId,
        /// When the attempt times out; none for the client's deadline.
        expires_at: Option<Instant>,
    },
    /// Final answer: rejected. Retrying the request is safe.
    Reject {
        /// The request.
        id: RequestId,
        /// After which time to retry; zero for no advice.
        retry_after: Duration,
    },
    /// Final answer: failed. The request may have been executed.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u16,
    },
    /// Send the gateway, after `delay`, an [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// The time from now on.
        delay: Duration,
        /// Returned with the event.
        token: u32,
    },
    /// Send a message of at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES) to one peer, or to all.
    SendToPeer {
        /// The receiver; none means all.
        to: Option<GatewayId>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Ask discovery for the changes since its last answer, and for those to come.
    ///
    /// The simulator takes this for a call that subscribes, which is answered once, also where a subscription
    /// holds. The ingress makes long polls on a schedule of its own and ignores this.
    PollDiscovery,
    /// A line for the log.
    ///
    /// Changes of the shedding stage alone are logged by an action, so that the simulator, which shows the
    /// log of its actions, shows them. All other lines are `tracing` events.
    Log(String),
}
