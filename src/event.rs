//! The events that a gateway handles: requests, ends of attempts, endpoint lists, peers' messages and timers.

use crate::{BackendId, CustomerId, Duration, Endpoint, EndpointUpdate, GatewayId, Instant, RequestId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend has served it.
    Ok,
    /// The backend replied with an error; it may have been executed.
    Error,
    /// The backend rejected it without executing it.
    Rejected,
    /// It timed out; it may have been executed.
    TimedOut,
    /// The backend got no complete command, so that it was never executed: no connection was established, its
    /// time ended before the command could be written, or the connection broke or a write failed before the
    /// command was complete.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// It was not sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt was never executed.
    pub fn never_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A client's request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index into [`Settings::classes`](crate::Settings::classes).
    pub class: u8,
    /// Index into [`Settings::plans`](crate::Settings::plans).
    pub plan: u16,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// By when the gateway has to have answered: the client's deadline, less what the host reserves for the
    /// reply to arrive.
    pub deadline: Instant,
    /// The units that it takes from the customer's quota.
    pub units: f64,
    /// The number of gateways that receive the customer's requests. The simulator's wire has fractions; the
    /// ingress reads whole numbers.
    pub gateway_set_size: f64,
    /// The first of these gateways, a fraction like the number; the others follow it by index, and gateway 0
    /// follows the last one.
    pub gateway_set_start: f64,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u16,
    /// The backend that it was sent to.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// No answer is owed to the request any more: it has its final answer, or its client has disconnected.
    pub request_closed: bool,
    /// How long it was in flight.
    pub elapsed: Duration,
    /// The units that the request really took, where its own number is an estimate.
    pub charged_units: Option<f64>,
    /// The requests that wait at the backend, where it reported them.
    pub reported_queue_depth: Option<f64>,
}

/// An event that a gateway handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list, or a change of the list.
    Endpoints(EndpointUpdate, Vec<Endpoint>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A streamed answer began: from now on this attempt serves the client.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// The host closed a request without an answer of the gateway, since its client disconnected or was
    /// failed at a deadline. No answer is owed any more.
    RequestClosed(RequestId),
    /// A timer with this token is due.
    Timer(u32),
    /// A peer's message.
    PeerMessage {
        /// The sender.
        from: GatewayId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Something that no decision uses.
    ///
    /// The simulator's wire has such events: ends of health checks and of calls to a shared counter. Each
    /// still tells the time, which the gateway acts on, so the host passes them to it like the others.
    Unused,
}
