//! A gateway: it takes events, asks the components that decide in a fixed order, and turns their decisions
//! into actions.
//!
//! Each rule stands in the file of its concern under `src/policy`, with its inputs. What is left to these
//! files is the order: queued requests are sent first in, first out, and a stall of the host is followed by
//! answers to what is overdue. They follow the events:
//!
//! | event or duty | file |
//! | --- | --- |
//! | a request comes, waits for a grant, or is queued | `gateway/admission.rs` |
//! | an attempt is sent | `gateway/forwarding.rs` |
//! | an attempt ends, is late, or is repeated | `gateway/attempts.rs` |
//! | a request gets its final answer, or its client disconnects | `gateway/closing.rs` |
//! | the health of backends changes | `gateway/backend_health.rs` |
//! | the endpoint list changes, discovery is to be polled | `gateway/endpoints.rs` |
//! | a peer sends a message, or is to be sent one | `gateway/peers.rs` |

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

/// The token of the one timer that a gateway uses.
const WAKE_UP_TOKEN: u32 = 0;

/// One gateway's decisions. Feed it events with [`Gateway::handle`], and do what it asks.
#[derive(Default)]
pub struct Gateway {
    /// What the deployment permits and wants.
    pub(crate) settings: Settings,
    /// How many gateways there are, at least 1.
    pub(crate) fleet_size: u64,
    /// Counted up for each draw; the seed is its first value.
    pub(crate) seed_counter: u64,
    /// The host's clock at the latest event; it never goes back.
    pub(crate) now: Instant,
    /// When all that depends on time alone is looked at next.
    wake_ups: WakeUpSchedule,
    /// When the host last went on after it had stood still: latencies found with that event say nothing.
    pub(crate) resumed_at: Instant,
    /// When discovery is polled, where the endpoint list does not come by itself.
    pub(crate) periodic_poll: PeriodicPoll,
    /// Requests that are not finished, and their queue.
    pub(crate) requests: RequestTable,
    /// Counts what customers use, and decides what they may use.
    pub(crate) quota: QuotaManager,
    /// Other gateways, and what waits to be sent to them.
    pub(crate) peers: PeerExchange,
    /// Backends, their health and the index of the ready ones.
    pub(crate) backends: BackendTable,
    /// Finds backends and zones that fail, and latencies that are not normal.
    pub(crate) outlier_detector: OutlierDetector,
    /// Chooses backends for attempts.
    pub(crate) load_balancer: LoadBalancer,
    /// How far recent latencies are from the highest that pass for normal.
    pub(crate) pressure: Pressure,
    /// Decides which customers are shed.
    pub(crate) load_shedder: LoadShedder,
    /// Limits the attempts in flight.
    pub(crate) concurrency_limiter: ConcurrencyLimiter,
    /// Decides on further attempts.
    pub(crate) retry_policy: RetryPolicy,
}

impl Gateway {
    /// A gateway that starts now and knows nothing yet. All that it draws at random follows from the seed.
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

    /// Takes one event at a time of the host's clock, and appends what the host is to do, in order.
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

    /// Hands an event to the concern that decides on it.
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

    /// Looks at all that depends on time alone, in a fixed order.
    fn on_wake_up(&mut self, actions: &mut Vec<Action>) {
        self.check_due_requests(actions);
        self.expire_queued_requests(actions);
        self.update_shedding(actions);
        self.dispatch(actions);
        self.flush_ready_outboxes(actions);
        self.sweep_customers(actions);
        self.poll_discovery(actions);
    }

    /// Asks the host to wake this gateway again.
    fn schedule_wake_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let delay = self.wake_ups.schedule_next(now);
        actions.push(Action::SetTimer { delay, token: WAKE_UP_TOKEN });
    }

    /// Goes on after the host stood still: what is overdue is answered first, and no latency that was
    /// measured meanwhile counts.
    fn resume(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let unsent = self.requests.iter().filter(|state| state.attempts.is_empty());
        let overdue = unsent.filter(|state| !self.can_be_queued(state, now));
        let overdue: Vec<RequestId> = overdue.map(|state| state.request.id).collect();
        for id in overdue {
            self.reject_or_fail(id, RejectReason::HostStalled, actions);
        }
        self.resumed_at = now;
    }

    /// Moves the shedding stage, and reduces the concurrency limit, where the pressure asks for it.
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

    /// Records an answer's latency, as a ratio of the highest normal one, for load shedding and the
    /// concurrency limit.
    pub(crate) fn record_pressure(&mut self, latency_ratio: f64) {
        self.pressure.record(self.now, latency_ratio);
        self.concurrency_limiter.on_answer(&self.pressure, self.load());
    }

    /// What is in flight, and what it may be spread over.
    pub(crate) fn load(&self) -> GatewayLoad {
        GatewayLoad {
            in_flight: self.requests.in_flight,
            ready_backends: self.backends.ready_count(),
            fleet_size: self.fleet_size,
        }
    }

    /// The class of a request that was found valid.
    pub(crate) fn class_of(&self, request: &Request) -> &Class {
        &self.settings.classes[usize::from(request.class)]
    }

    /// The plan of a request that was found valid.
    pub(crate) fn plan_of(&self, request: &Request) -> &Plan {
        &self.settings.plans[usize::from(request.plan)]
    }
}
