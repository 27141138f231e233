//! A gateway, or a fleet of them, driven by events on a clock of the test's.

use ingress::*;

pub const T0: Micros = 1_000_000_000;

pub const S: Micros = 1_000_000;

pub fn class(repeat: Idempotency) -> Class {
    Class {
        latency_objective: S,
        latency_objective_stretch: 0.0,
        deadline: 4 * S,
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
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Cell, window: 2 * S };
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
            max_retry_after: 2 * S,
            shared_counter: false,
            max_open_requests: 20_000,
            connect_timeout: 250_000,
        },
        rules: Rules {
            answer_slack: 16_000,
            drain_grace: 250_000,
            slow_start_floor: 0.2,
            slow_start_duration: 10 * S,
            overload_factor: 3.0,
            overload_window: S,
            max_poll_interval: 10 * S,
        },
        ..Settings::default()
    }
}

pub fn listed(n: u64) -> Endpoint {
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

pub struct Rig {
    pub gateway: Gateway,
    pub now: Micros,
    pub next: u64,
}

impl Rig {
    pub fn with(settings: Settings, backends: u64) -> Rig {
        let mut rig = Rig { gateway: Gateway::new(settings, 7, T0), now: T0, next: 0 };
        rig.feed(Event::Endpoints(EndpointUpdate::CachedSnapshot, (0..backends).map(listed).collect()));
        rig
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets time pass, waking the gateway as it asked.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let (mut actions, end) = (Vec::new(), self.now + span);
        while self.now < end {
            self.now += 20_000;
            actions.extend(self.feed(Event::Timer(0)));
        }
        actions
    }

    pub fn ask(&mut self, class: u8, plan: u16, customer: u64, units: f64) -> (RequestId, Vec<Action>) {
        self.ask_of(class, plan, customer, units, 3.0)
    }

    pub fn ask_of(
        &mut self,
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
        width: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        let deadline = self.now + 4 * S;
        let customer = CustomerId(customer);
        let first = if width == 6.0 { 15.0 } else { 0.0 };
        let req = Request {
            id,
            class,
            plan,
            customer,
            deadline,
            units,
            gateway_set_size: width,
            gateway_set_start: first,
        };
        (id, self.feed(Event::Request(req)))
    }

    pub fn settle(
        &mut self,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.feed(Event::AttemptEnded {
            id,
            attempt,
            backend,
            outcome,
            answered: outcome == Outcome::Ok,
            elapsed: 100_000,
            metered: None,
            charged_units: None,
            load_report: None,
        })
    }
}

/// Many gateways, their messages carried by the test.
pub struct Fleet {
    pub rigs: Vec<Rig>,
    pub carried: u64,
}

impl Fleet {
    pub fn new(gateways: u16) -> Fleet {
        let rig =
            |me| Rig::with(Settings { gateway_count: gateways, own_id: GatewayId(me), ..settings() }, 6);
        Fleet { rigs: (0..gateways).map(rig).collect(), carried: 0 }
    }

    /// Carries out what gateway `from` asked for; answers come at once. Returns how many were sent on. Every
    /// `lossy`th message is lost, unless that is 0.
    pub fn carry(&mut self, from: usize, actions: Vec<Action>, lossy: u64) -> usize {
        let mut sent = 0;
        let mut queue: Vec<(usize, Action)> = actions.into_iter().map(|a| (from, a)).collect();
        while let Some((at, action)) = queue.pop() {
            let (to, event) = match action {
                Action::Send { id, backend, .. } => {
                    sent += 1;
                    let (outcome, took) = (Outcome::Ok, 100_000);
                    let (attempt, complete) = (0, true);
                    let (metered, charged, report) = (None, None, None);
                    let event = Event::AttemptEnded {
                        id,
                        attempt,
                        backend,
                        outcome,
                        answered: complete,
                        elapsed: took,
                        metered,
                        charged_units: charged,
                        load_report: report,
                    };
                    (at, event)
                }
                Action::SendToPeer { to: Some(to), bytes } => {
                    self.carried += 1;
                    if lossy > 0 && self.carried % lossy == 0 {
                        continue;
                    }
                    (usize::from(to.0), Event::PeerMessage { from: GatewayId(at as u16), bytes })
                }
                _ => continue,
            };
            let more = self.rigs[to].feed(event);
            queue.extend(more.into_iter().map(|a| (to, a)));
        }
        sent
    }

    /// One request at gateway `at`, and time for it.
    pub fn ask(&mut self, at: usize, plan: u16, units: f64, width: f64, lossy: u64) -> usize {
        let (_, actions) = self.rigs[at].ask_of(0, plan, 5, units, width);
        let mut sent = self.carry(at, actions, lossy);
        for n in 0..self.rigs.len() {
            let actions = self.rigs[n].pass(20_000);
            sent += self.carry(n, actions, lossy);
        }
        sent
    }
}

pub fn sends(actions: &[Action]) -> Vec<BackendId> {
    let to = |a: &Action| if let Action::Send { backend, .. } = a { Some(*backend) } else { None };
    actions.iter().filter_map(to).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}
