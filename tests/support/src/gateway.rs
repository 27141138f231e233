//! A gateway driven by events, with a clock controlled by the test.

use super::settings::{endpoint, SECOND, START};
use ingress::{
    Action, AttemptEnded, BackendId, CustomerId, Duration, EndpointUpdate, Event, Gateway, GatewayId,
    Instant, Outcome, Request, RequestId, Settings,
};

/// Time between two timer events.
const TIMER_INTERVAL: Duration = Duration::from_millis(20);

/// A request submitted to a gateway, and the resulting actions.
pub struct SubmittedRequest {
    /// Id that the harness assigned to the request.
    pub id: RequestId,
    /// Actions that the gateway returned for the request.
    pub actions: Vec<Action>,
}

/// A gateway with a simulated clock.
pub struct GatewayHarness {
    /// The gateway under test.
    pub gateway: Gateway,
    /// Current time of the gateway's clock.
    pub now: Instant,
    /// Id that the harness assigns to the next request.
    pub next_request_id: u64,
}

impl GatewayHarness {
    /// Creates a gateway that starts with a cached list of backends.
    pub fn new(settings: Settings, backends: u64) -> GatewayHarness {
        let mut harness =
            GatewayHarness { gateway: Gateway::new(settings, 7, START), now: START, next_request_id: 0 };
        harness
            .handle(Event::Endpoints(EndpointUpdate::CachedSnapshot, (0..backends).map(endpoint).collect()));
        harness
    }

    /// Replaces the gateway with a new one that starts with a cached list of backends.
    pub fn restart(&mut self, settings: Settings, seed: u64, backends: u64) {
        self.gateway = Gateway::new(settings, seed, self.now);
        self.update_endpoints(EndpointUpdate::CachedSnapshot, backends);
    }

    /// Passes a list of the first `backends` backends to the gateway.
    pub fn update_endpoints(&mut self, update: EndpointUpdate, backends: u64) {
        self.handle(Event::Endpoints(update, (0..backends).map(endpoint).collect()));
    }

    /// Passes an event to the gateway and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock, with a timer event every 20 ms, and returns the resulting actions.
    pub fn advance(&mut self, span: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let end = self.now + span;
        while self.now < end {
            self.now += TIMER_INTERVAL;
            actions.extend(self.handle(Event::Timer(0)));
        }
        actions
    }

    /// Submits a request for this number of units, from a customer with a gateway set of three.
    pub fn request(&mut self, class: u8, plan: u16, customer: u64, units: f64) -> SubmittedRequest {
        self.request_from_set(class, plan, customer, units, 3.0)
    }

    /// Submits a request from a customer with a gateway set of `set_size`.
    pub fn request_from_set(
        &mut self,
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
        set_size: f64,
    ) -> SubmittedRequest {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let deadline = self.now + SECOND * 4;
        let customer = CustomerId(customer);
        let gateway_set_start = if set_size == 6.0 { 15.0 } else { 0.0 };
        let request = Request {
            id,
            class,
            plan,
            customer,
            deadline,
            units,
            gateway_set_size: set_size,
            gateway_set_start,
        };
        SubmittedRequest { id, actions: self.handle(Event::Request(request)) }
    }

    /// Ends an attempt that took 100 ms.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(Duration::from_millis(100), id, attempt, backend, outcome)
    }

    /// Ends an attempt that took `elapsed`.
    pub fn end_attempt_after(
        &mut self,
        elapsed: Duration,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(attempt_ended(elapsed, id, attempt, backend, outcome))
    }
}

/// Returns the event of an attempt's end, without metered units or a load report. The request is closed if
/// the outcome is [`Outcome::Ok`].
pub fn attempt_ended(
    elapsed: Duration,
    id: RequestId,
    attempt: u16,
    backend: BackendId,
    outcome: Outcome,
) -> Event {
    Event::AttemptEnded(AttemptEnded {
        id,
        attempt,
        backend,
        outcome,
        request_closed: outcome == Outcome::Ok,
        elapsed,
        charged_units: None,
        reported_queue_depth: None,
    })
}

/// Returns the backends to which the actions send attempts.
pub fn sent_to(actions: &[Action]) -> Vec<BackendId> {
    let sent_to =
        |action: &Action| if let Action::Send { backend, .. } = action { Some(*backend) } else { None };
    actions.iter().filter_map(sent_to).collect()
}

/// Returns whether the actions reject a request.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// Returns whether the actions fail a request.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}

/// Returns the messages to peers, each with its receiver.
///
/// # Panics
///
/// Panics if a message is addressed to all peers.
pub fn sent_messages(actions: &[Action]) -> Vec<(GatewayId, Vec<u8>)> {
    let message = |action: &Action| match action {
        Action::SendToPeer { to, bytes } => Some((to.unwrap(), bytes.clone())),
        _ => None,
    };
    actions.iter().filter_map(message).collect()
}
