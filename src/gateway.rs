//! Handles events: calls the policy components in a fixed order and turns their decisions into actions.
//!
//! The rules and their inputs are in `src/policy`. The files here define only the order of the steps: queued
//! requests are sent first in, first out, and after a stall of the host, overdue requests are answered first.
//!
//! | event or duty | file |
//! | --- | --- |
//! | a request arrives, waits for a grant, or is queued | `gateway/admission.rs` |
//! | an attempt is sent | `gateway/forwarding.rs` |
//! | an attempt ends, is late, or is followed by a retry or hedge | `gateway/attempts.rs` |
//! | a request gets its final answer, or its client disconnects | `gateway/closing.rs` |
//! | the health of backends changes | `gateway/backend_health.rs` |
//! | the endpoint list changes, or a poll of discovery is due | `gateway/endpoints.rs` |
//! | a message is received from a peer or sent to one | `gateway/peers.rs` |

mod admission;
mod attempts;
mod backend_health;
mod closing;
mod endpoints;
mod forwarding;
mod peers;

use crate::gossip::PeerExchange;
use crate::policy::discovery_schedule::PeriodicPoll;
use crate::policy::quota::QuotaManager;
use crate::policy::{ConcurrencyLimiter, GatewayLoad, LoadShedder, Pressure, StageChange};
use crate::policy::{LoadBalancer, OutlierDetector, RejectReason, RetryPolicy, WakeUpSchedule};
use crate::state::{BackendTable, RequestTable};
use crate::{Action, Class, Event, Instant, Plan, Request, RequestId, Settings};

/// Token of the only timer that a gateway sets.
const WAKE_UP_TOKEN: u32 = 0;

/// The decision logic of one gateway: handles events and returns the actions for the host to execute.
///
/// It has no clock, sockets or threads of its own; the host calls [`Gateway::handle`] for each event.
#[derive(Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    /// Number of gateways in the fleet, at least 1.
    pub(crate) fleet_size: u64,
    /// Seed of the latest draw, incremented for each one; starts at the seed of the gateway.
    pub(crate) seed_counter: u64,
    /// Time of the latest event; never decreases.
    pub(crate) now: Instant,
    /// Schedule of the checks that depend on time alone.
    wake_ups: WakeUpSchedule,
    /// Time of the first event after the last stall of the host. Latencies reported with that event include
    /// the stall and are ignored.
    pub(crate) resumed_at: Instant,
    /// Schedule of the polls of discovery, used if changes of the endpoint list are not pushed.
    pub(crate) periodic_poll: PeriodicPoll,
    /// Unfinished requests and the queue of those that wait for a backend.
    pub(crate) requests: RequestTable,
    /// Counts the usage of customers and enforces their quotas.
    pub(crate) quota: QuotaManager,
    /// State of the other gateways, and the messages queued for them.
    pub(crate) peers: PeerExchange,
    /// Backends with their health, and the index of the ready ones.
    pub(crate) backends: BackendTable,
    /// Detects failing backends and zones, and outlier latencies.
    pub(crate) outlier_detector: OutlierDetector,
    /// Chooses backends for attempts.
    pub(crate) load_balancer: LoadBalancer,
    /// Overload estimate: the mean ratio of recent latencies to the highest normal latency.
    pub(crate) pressure: Pressure,
    /// Selects the customers whose requests are shed.
    pub(crate) load_shedder: LoadShedder,
    /// Limits the number of attempts in flight.
    pub(crate) concurrency_limiter: ConcurrencyLimiter,
    /// Decides on retries and hedges.
    pub(crate) retry_policy: RetryPolicy,
}

impl Gateway {
    /// Creates a gateway that starts at `now`, without backends or customers. All random draws are derived
    /// from `seed`.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let fleet_size = u64::from(settings.gateway_count.max(1));
        let quota = QuotaManager::new(&settings, now);
        let send_interval = quota.ownership().report_interval();
        Gateway {
            seed_counter: seed,
            now,
            quota,
            peers: PeerExchange::new(&settings, now, send_interval),
            wake_ups: WakeUpSchedule::new(settings.tick),
            backends: BackendTable::new(&settings),
            outlier_detector: OutlierDetector::new(&settings.classes, now),
            load_balancer: LoadBalancer::new(&settings, fleet_size),
            retry_policy: RetryPolicy::new(&settings, fleet_size),
            fleet_size,
            settings,
            ..Gateway::default()
        }
    }

    /// Limits the number of customer records, and the number of usage reports that wait to be sent.
    #[must_use]
    pub fn with_max_customers(mut self, max_customers: usize) -> Self {
        self.quota.set_max_records(max_customers);
        self.peers.set_max_queued_reports(max_customers);
        self
    }

    /// Handles one event and appends the resulting actions, which the host has to execute in order. `now` is
    /// the current time of the host's clock.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        if self.wake_ups.was_host_stalled(now) {
            self.resume(now, actions);
            self.schedule_wake_up(now, actions);
        }
        self.now = self.now.max(now);
        if matches!(event, Event::Timer(_)) && !self.wake_ups.is_due(self.now) {
            return;
        }
        self.dispatch_event(event, actions);
        if self.wake_ups.is_due(self.now) {
            self.on_wake_up(actions);
            self.schedule_wake_up(self.now, actions);
        }
    }

    /// Calls the handler of an event.
    fn dispatch_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.on_request(request, actions),
            Event::AttemptEnded(ended) => self.on_attempt_ended(&ended, actions),
            Event::RequestClosed(id) => self.close_request(id, actions),
            Event::FirstByte { id, attempt } => self.on_first_byte(id, attempt, actions),
            Event::PeerMessage { from, bytes } => self.on_peer_message(from, &bytes, actions),
            Event::Endpoints(update, endpoints) => self.on_endpoints(update, endpoints, actions),
            Event::Timer(_) | Event::Unused => {}
        }
    }

    /// Runs all checks that depend on time alone, in a fixed order.
    fn on_wake_up(&mut self, actions: &mut Vec<Action>) {
        self.check_due_requests(actions);
        self.expire_queued_requests(actions);
        self.update_shedding(actions);
        self.send_queued_requests(actions);
        self.flush_ready_outboxes(actions);
        self.sweep_customers(actions);
        self.poll_discovery(actions);
    }

    /// Requests a timer for the next wake-up.
    fn schedule_wake_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let delay = self.wake_ups.schedule_next(now);
        actions.push(Action::SetTimer { delay, token: WAKE_UP_TOKEN });
    }

    /// Resumes after a stall of the host: rejects overdue requests that have had no attempt, and excludes
    /// latencies that include the stall.
    fn resume(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let unsent = self.requests.iter().filter(|state| state.attempts.is_empty());
        let overdue = unsent.filter(|state| !self.can_be_queued(state, now));
        let overdue: Vec<RequestId> = overdue.map(|state| state.request.id).collect();
        for id in overdue {
            self.reject_or_fail(id, RejectReason::HostStalled, actions);
        }
        self.resumed_at = now;
    }

    /// Updates the shedding stage and reduces the concurrency limit, according to the pressure.
    fn update_shedding(&mut self, actions: &mut Vec<Action>) {
        let load = self.load();
        if let Some(from) = self.load_shedder.update_stage(self.now, &self.pressure) {
            let change = StageChange {
                from,
                to: self.load_shedder.stage(),
                pressure: self.pressure.level(),
                concurrency_limit: self.concurrency_limiter.limit(load),
                in_flight: load.in_flight,
            };
            actions.push(Action::Log(change.to_string()));
        }
        if self.concurrency_limiter.reduce_under_pressure(self.now, &self.pressure) {
            let (pressure, limit) = (self.pressure.level(), self.concurrency_limiter.limit(load));
            tracing::debug!(target: "policy", pressure, limit, "concurrency limit reduced");
        }
    }

    /// Records the ratio of an answer's latency to the highest normal latency, for load shedding and the
    /// concurrency limit.
    pub(crate) fn record_pressure(&mut self, latency_ratio: f64) {
        self.pressure.record(self.now, latency_ratio);
        self.concurrency_limiter.on_answer(&self.pressure, self.load());
    }

    /// Returns the attempts in flight, and the number of ready backends and gateways that share them.
    pub(crate) fn load(&self) -> GatewayLoad {
        GatewayLoad {
            in_flight: self.requests.in_flight,
            ready_backends: self.backends.ready_count(),
            fleet_size: self.fleet_size,
        }
    }

    /// Returns the class of a request that passed `validate_request`, so that its class index is valid.
    pub(crate) fn class_of(&self, request: &Request) -> &Class {
        &self.settings.classes[usize::from(request.class)]
    }

    /// Returns the plan of a request that passed `validate_request`, so that its plan index is valid.
    pub(crate) fn plan_of(&self, request: &Request) -> &Plan {
        &self.settings.plans[usize::from(request.plan)]
    }
}
