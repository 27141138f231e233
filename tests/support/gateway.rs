//! A gateway, or a fleet of them, driven by events on a clock of the test's.

use ingress::*;

pub const START: Micros = 1_000_000_000;

pub const SECOND: Micros = 1_000_000;

/// The classes of [`settings`].
pub const IDEMPOTENT: u8 = 0;
/// Keyed by cell for 2 s.
pub const KEYED: u8 = 1;
pub const NON_IDEMPOTENT: u8 = 2;

/// The plans of [`settings`].
pub const UNLIMITED: u16 = 0;
/// 2 units a second, a burst of 6.
pub const RATE_QUOTA: u16 = 1;
/// 6 units a second, a burst of 12.
pub const HARD_LIMIT: u16 = 2;
/// 2 attempts in flight.
pub const CONCURRENCY_QUOTA: u16 = 3;

pub fn class(repeat: Idempotency) -> Class {
    Class {
        latency_objective: SECOND,
        latency_objective_stretch: 0.0,
        deadline: 4 * SECOND,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: repeat,
        streaming: false,
    }
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        concurrency_quota: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_slack: 0.0,
        price: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
    }
}

/// Three gateways; classes: safe, keyed by cell for 2 s, once; plans: large, small, ceiling, capped.
pub fn settings() -> Settings {
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Cell, window: 2 * SECOND };
    let ceiling = Plan { hard_limit_rate: 6.0, hard_limit_burst: 12.0, ..plan(100.0, 100.0) };
    Settings {
        gateway_count: 3,
        own_id: GatewayId(0),
        zone: 0,
        tick: 4_000,
        classes: vec![class(Idempotency::Idempotent), class(keyed), class(Idempotency::NonIdempotent)],
        plans: vec![plan(1e6, 1e6), plan(2.0, 6.0), ceiling, Plan { concurrency_quota: 2, ..plan(0.0, 0.0) }],
        limits: Limits {
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            health_checks: false,
            peer_messages: true,
            peer_messages_per_second: 60.0,
            retry_after: true,
            max_retry_after: 2 * SECOND,
            shared_counter: false,
            max_open_requests: 20_000,
            connect_timeout: 250_000,
        },
        rules: Rules {
            answer_slack: 16_000,
            drain_grace: 250_000,
            slow_start_floor: 0.2,
            slow_start_duration: 10 * SECOND,
            overload_factor: 3.0,
            overload_window: SECOND,
            max_poll_interval: 10 * SECOND,
        },
        ..Settings::default()
    }
}

pub fn endpoint(n: u64) -> Endpoint {
    Endpoint {
        backend: BackendId(n),
        zone: (n % 2) as u8,
        cell: (n % 2) as u16,
        machine_type: 0,
        availability: Availability::Ready,
        size: 1.0,
        started_at: 0,
    }
}

pub struct GatewayHarness {
    pub gateway: Gateway,
    pub now: Micros,
    pub next_request_id: u64,
}

impl GatewayHarness {
    pub fn new(settings: Settings, backends: u64) -> GatewayHarness {
        let mut harness =
            GatewayHarness { gateway: Gateway::new(settings, 7, START), now: START, next_request_id: 0 };
        harness
            .handle(Event::Endpoints(EndpointUpdate::CachedSnapshot, (0..backends).map(endpoint).collect()));
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets time pass, waking the gateway as it asked.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let (mut actions, end) = (Vec::new(), self.now + span);
        while self.now < end {
            self.now += 20_000;
            actions.extend(self.handle(Event::Timer(0)));
        }
        actions
    }

    pub fn request(&mut self, class: u8, plan: u16, customer: u64, units: f64) -> (RequestId, Vec<Action>) {
        self.request_from_set(class, plan, customer, units, 3.0)
    }

    pub fn request_from_set(
        &mut self,
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
        set_size: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let deadline = self.now + 4 * SECOND;
        let customer = CustomerId(customer);
        let first = if set_size == 6.0 { 15.0 } else { 0.0 };
        let req = Request {
            id,
            class,
            plan,
            customer,
            deadline,
            units,
            gateway_set_size: set_size,
            gateway_set_start: first,
        };
        (id, self.handle(Event::Request(req)))
    }

    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            backend,
            outcome,
            answered: outcome == Outcome::Ok,
            elapsed: 100_000,
            metered: None,
            charged_units: None,
            load_report: None,
        }))
    }
}

/// Many gateways, their messages carried by the test.
pub struct Fleet {
    pub gateways: Vec<GatewayHarness>,
    pub messages_sent: u64,
}

impl Fleet {
    pub fn new(gateways: u16) -> Fleet {
        let harness = |me| {
            GatewayHarness::new(Settings { gateway_count: gateways, own_id: GatewayId(me), ..settings() }, 6)
        };
        Fleet { gateways: (0..gateways).map(harness).collect(), messages_sent: 0 }
    }

    /// Carries out what gateway `from` asked for; answers come at once. Returns how many were sent on. Every
    /// `lossy`th message is lost, unless that is 0.
    pub fn execute(&mut self, from: usize, actions: Vec<Action>, lose_every: u64) -> usize {
        let mut sent = 0;
        let mut queue: Vec<(usize, Action)> = actions.into_iter().map(|a| (from, a)).collect();
        while let Some((at, action)) = queue.pop() {
            let (to, event) = match action {
                Action::Send { id, backend, .. } => {
                    sent += 1;
                    let (outcome, took) = (Outcome::Ok, 100_000);
                    let (attempt, complete) = (0, true);
                    let (metered, charged, report) = (None, None, None);
                    let event = Event::AttemptEnded(AttemptEnded {
                        id,
                        attempt,
                        backend,
                        outcome,
                        answered: complete,
                        elapsed: took,
                        metered,
                        charged_units: charged,
                        load_report: report,
                    });
                    (at, event)
                }
                Action::SendToPeer { to: Some(to), bytes } => {
                    self.messages_sent += 1;
                    if lose_every > 0 && self.messages_sent % lose_every == 0 {
                        continue;
                    }
                    (usize::from(to.0), Event::PeerMessage { from: GatewayId(at as u16), bytes })
                }
                _ => continue,
            };
            let more = self.gateways[to].handle(event);
            queue.extend(more.into_iter().map(|a| (to, a)));
        }
        sent
    }

    /// One request at gateway `at`, and time for it.
    pub fn request(&mut self, at: usize, plan: u16, units: f64, set_size: f64, lose_every: u64) -> usize {
        let (_, actions) = self.gateways[at].request_from_set(IDEMPOTENT, plan, 5, units, set_size);
        let mut sent = self.execute(at, actions, lose_every);
        for n in 0..self.gateways.len() {
            let actions = self.gateways[n].advance(20_000);
            sent += self.execute(n, actions, lose_every);
        }
        sent
    }
}

pub fn sent_to(actions: &[Action]) -> Vec<BackendId> {
    let to = |a: &Action| if let Action::Send { backend, .. } = a { Some(*backend) } else { None };
    actions.iter().filter_map(to).collect()
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}
