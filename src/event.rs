//! Input of a gateway: requests, ends of attempts, endpoint lists, peer messages and timers.

use crate::{BackendId, CustomerId, Duration, Endpoint, EndpointUpdate, GatewayId, Instant, RequestId};

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Ok,
    /// The backend replied with an error; the request may have been executed.
    Error,
    /// The backend rejected the request without executing it.
    Rejected,
    /// The attempt timed out; the request may have been executed.
    TimedOut,
    /// The backend did not receive a complete command and cannot have executed it: no connection was
    /// established, the attempt expired before the command could be written, or the connection broke or a
    /// write failed before the command was complete.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The host did not send the attempt.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the backend did not execute the request.
    pub fn never_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A client's request, as passed to a gateway for admission.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Identifier assigned by the host.
    pub id: RequestId,
    /// Index into [`Settings::classes`](crate::Settings::classes).
    pub class: u8,
    /// Index into [`Settings::plans`](crate::Settings::plans).
    pub plan: u16,
    /// Customer whose quota the request uses.
    pub customer: CustomerId,
    /// Time by which the gateway has to answer: the client's deadline less the time that the host reserves
    /// for the delivery of the reply.
    pub deadline: Instant,
    /// Units charged to the customer's quota.
    pub units: f64,
    /// Number of gateways that receive the customer's requests: its gateway set. An integer in the ingress;
    /// the simulator also sends fractions.
    pub gateway_set_size: f64,
    /// Index of the first gateway of the set; the simulator also sends fractions. The others have the
    /// following indices, where gateway 0 follows the last gateway of the fleet.
    pub gateway_set_start: f64,
}

/// The end of an attempt, with its outcome and the backend's report.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// Request for which the attempt was sent.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// Backend that the attempt was sent to.
    pub backend: BackendId,
    /// Result of the attempt.
    pub outcome: Outcome,
    /// Whether the request has its final answer or its client has disconnected.
    pub request_closed: bool,
    /// Time for which the attempt was in flight.
    pub elapsed: Duration,
    /// Actual units of the request, if [`Request::units`] was an estimate.
    pub charged_units: Option<f64>,
    /// Number of requests queued at the backend, if reported.
    pub reported_queue_depth: Option<f64>,
}

/// An input that the host passes to [`Gateway::handle`](crate::Gateway::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A result of discovery: a snapshot or delta of the endpoint list, or a failed poll.
    Endpoints(EndpointUpdate, Vec<Endpoint>),
    /// A client's request arrived.
    Request(Request),
    /// An attempt ended, with or without an answer.
    AttemptEnded(AttemptEnded),
    /// A streamed answer began, so that this attempt serves the client.
    FirstByte {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u16,
    },
    /// The host closed a request without an answer from the gateway, because the client disconnected or the
    /// host failed the request at a deadline. The gateway must not answer it.
    RequestClosed(RequestId),
    /// The timer with this token expired.
    Timer(u32),
    /// A message from a peer was received.
    PeerMessage {
        /// Sending gateway.
        from: GatewayId,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// An event whose content is ignored.
    ///
    /// The simulator sends such events for the ends of health checks and of calls to a shared counter. The
    /// host passes them on, since the time of an event can make a wake-up of the gateway due.
    Unused,
}
