//! What a gateway sees: requests, the ends of attempts, endpoint lists, peers' messages and timers.

use crate::{BackendId, CustomerId, Duration, Endpoint, EndpointUpdate, GatewayId, Instant, RequestId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have been executed.
    Error,
    /// Rejected unseen.
    Rejected,
    /// No answer in time; it may have been executed.
    TimedOut,
    /// No connection; it was never executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Never sent.
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
    /// Its name.
    pub id: RequestId,
    /// Index into [`Settings::classes`](crate::Settings::classes).
    pub class: u8,
    /// Index into [`Settings::plans`](crate::Settings::plans).
    pub plan: u16,
    /// Whose it is.
    pub customer: CustomerId,
    /// When the client abandons it.
    pub deadline: Instant,
    /// What it draws from the quota.
    pub units: f64,
    /// Over how many gateways the customer's requests come.
    pub gateway_set_size: f64,
    /// The first of these gateways; the others follow it by index, and gateway 0 follows the last.
    pub gateway_set_start: f64,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u16,
    /// Where it went.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer.
    pub answered: bool,
    /// How long it was in flight.
    pub elapsed: Duration,
    /// True units, where they are settled afterwards.
    pub charged_units: Option<f64>,
    /// The requests that wait at the backend, where it reported them.
    pub reported_queue_depth: Option<f64>,
}

/// What a gateway sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list, or a change of it.
    Endpoints(EndpointUpdate, Vec<Endpoint>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A streamed answer began; the attempt is the client's from now on.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// The client disconnected; no answer is owed.
    ClientDisconnected(RequestId),
    /// A timer came due.
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
    /// The simulator's wire has events of this kind: ends of health checks and of calls to a shared counter. Each
    /// still tells the time, which the gateway acts on, so the host hands them over like the others.
    Unused,
}
