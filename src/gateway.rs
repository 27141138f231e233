//! A gateway: the parts that own its state, and the bookkeeping that needs several of them. Nothing is
//! decided here: that is the work of `crate::policy`.

mod admission;
mod attempts;
mod backend_health;
mod forwarding;
mod peers;

use crate::gossip::PeerExchange;
use crate::policy::discovery_schedule::PeriodicPoll;
use crate::policy::quota::{QuotaManager, ReportPurpose};
use crate::policy::{ConcurrencyLimiter, GatewayLoad, LoadShedder, Pressure, StageChange};
use crate::policy::{LoadBalancer, OutlierDetector, RejectReason, RetryPolicy};
use crate::state::{BackendTable, RequestTable};
use crate::{Action, AttemptEnded, BackendId, Class, CustomerId, Endpoint, EndpointUpdate, Event};
use crate::{Duration, Instant, Outcome, Plan, Request, RequestId, Settings};

/// One gateway's decisions. Feed it events with [`Gateway::handle`], and do what it asks.
#[derive(Default)]
pub struct Gateway {
    /// What the deployment permits and wants.
    pub(crate) settings: Settings,
    /// How many gateways there are, at least 1.
    pub(crate) fleet_size: u64,
    /// Counted up for each draw; the seed is its first value.
    pub(crate) random_state: u64,
    /// The host's clock at the latest event; it never goes back.
    pub(crate) now: Instant,
    /// When the timer that was last set is due.
    pub(crate) next_wake_up_at: Instant,
    /// When the host last went on after it had stood still: latencies found with that event say nothing.
    pub(crate) resumed_at: Instant,
    /// When discovery is polled, where the endpoint list does not come by itself.
    pub(crate) periodic_poll: PeriodicPoll,
    /// Requests that are not finished, and their queue.
    pub(crate) requests: RequestTable,
    /// Customers and their token buckets.
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

/// What the end of an attempt means for others.
pub(crate) struct SettledAttempt {
    /// Where the attempt went.
    pub backend: BackendId,
    /// Whose request it was.
    pub customer: CustomerId,
    /// The request has its final answer.
    pub answered: bool,
    /// No other attempt of the request is in flight.
    pub was_last_in_flight: bool,
    /// The owners of the customer's quota are to be told.
    pub usage_changed: bool,
}

impl Gateway {
    /// A gateway that starts now and knows nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let fleet_size = u64::from(settings.gateway_count.max(1));
        let quota = QuotaManager::new(&settings, now);
        let send_interval = quota.ownership().report_interval();
        Gateway {
            random_state: seed,
            now,
            quota,
            peers: PeerExchange::new(&settings, now, send_interval),
            backends: BackendTable::new(&settings),
            outlier_detector: OutlierDetector::new(&settings.classes, now),
            load_balancer: LoadBalancer::new(&settings, fleet_size),
            retry_policy: RetryPolicy::new(&settings, fleet_size),
            fleet_size,
            settings,
            ..Gateway::default()
        }
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

    /// Records an answer's latency, as a ratio of the highest normal one, for load shedding and the
    /// concurrency limit.
    pub(crate) fn record_pressure(&mut self, latency_ratio: f64) {
        self.pressure.record(self.now, latency_ratio);
        self.concurrency_limiter.on_answer(&self.pressure, self.load());
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
        self.concurrency_limiter.reduce_under_pressure(self.now, &self.pressure);
    }

    /// Hands an event to the concern that decides on it.
    pub(crate) fn dispatch_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.on_request(request, actions),
            Event::AttemptEnded(ended) => self.on_attempt_ended(&ended, actions),
            Event::ClientDisconnected(id) => self.close_request(id, actions),
            Event::FirstByte { id, attempt } => self.on_first_byte(id, attempt, actions),
            Event::PeerMessage { from, bytes } => self.on_peer_message(from, &bytes, actions),
            Event::Endpoints(update, endpoints) => self.on_endpoints(update, endpoints, actions),
            Event::Timer(_) | Event::Unused => {}
        }
    }

    /// Looks at all that depends on time alone, in a fixed order.
    pub(crate) fn on_wake_up(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        while let Some(id) = self.requests.next_due(now) {
            self.check_request(id, actions);
        }
        for id in std::mem::take(&mut self.requests.queue) {
            if !self.expire_if_overdue(id, actions) {
                self.requests.queue.push_back(id);
            }
        }
        self.update_shedding(actions);
        self.dispatch(actions);
        self.peers.ready_to_send(now).into_iter().for_each(|peer| self.flush_outbox(peer, actions));
        self.sweep_customers(actions);
        self.poll_discovery(actions);
    }

    /// Takes an endpoint list or a change of it; queued requests may then find a backend.
    fn on_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>, actions: &mut Vec<Action>) {
        match update {
            EndpointUpdate::PollFailed => {
                return self.periodic_poll.on_failure(self.now, self.settings.rules.max_poll_interval);
            }
            EndpointUpdate::Delta => endpoints.into_iter().for_each(|one| self.backends.apply_change(one)),
            EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot => self.backends.replace_all(endpoints),
        }
        self.dispatch(actions);
    }

    /// An answer streams: the other attempts are cancelled, and this one is the client's.
    pub(crate) fn on_first_byte(&mut self, id: RequestId, attempt: u16, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(id) {
            request.cancel_attempts(Some(attempt), self.settings.limits.cancellation, actions);
            request.streaming = true;
        }
    }

    /// Asks the host to wake this gateway after an interval.
    pub(crate) fn schedule_wake_up(&mut self, now: Instant, interval: Duration, actions: &mut Vec<Action>) {
        self.next_wake_up_at = now + interval;
        actions.push(Action::SetTimer { delay: interval, token: 0 });
    }

    /// Gives a request its final answer; the advice to come again is cut to what the settings allow.
    pub(crate) fn reject(
        &self,
        id: RequestId,
        reason: RejectReason,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        tracing::debug!(target: "policy", request = id.0, ?reason, "rejected");
        let limits = &self.settings.limits;
        let most = if limits.retry_after { limits.max_retry_after } else { Duration::ZERO };
        actions.push(Action::Reject { id, retry_after: retry_after.min(most) });
    }

    /// A request has its final answer, or no client: its attempts are cancelled, and it is forgotten once
    /// they ended.
    pub(crate) fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get_mut(id) else { return };
        state.answered = true;
        state.cancel_attempts(None, self.settings.limits.cancellation && !state.streaming, actions);
        if state.attempts_in_flight() > 0 {
            return;
        }
        let (request, unsent, awaited) = (state.request, state.attempts.is_empty(), state.awaiting_grant);
        self.requests.remove(id);
        if awaited {
            self.quota.stop_awaiting_grant(request.customer, id);
        } else if unsent {
            self.quota.charge(request.customer, -request.units);
            self.queue_usage_report(request.customer, ReportPurpose::Usage, actions);
        }
    }

    /// Notes that an attempt of a request goes to a backend.
    pub(crate) fn begin_attempt(&mut self, id: RequestId, backend: BackendId) {
        let Some(state) = self.requests.get_mut(id) else { return };
        let Some(backend) = self.backends.get_mut(backend) else { return };
        state.begin_attempt(backend.endpoint, self.now);
        backend.begin_attempt(self.now, self.settings.rules.overload_window);
        self.quota.begin_attempt(state.request.customer);
        self.requests.in_flight += 1;
    }

    /// Notes what a backend reported of its queue with the end of an attempt.
    pub(crate) fn record_queue_depth(&mut self, ended: &AttemptEnded) {
        let Some(depth) = ended.reported_queue_depth else { return };
        let Some(backend) = self.backends.get_mut(ended.backend) else { return };
        backend.reported_queue.report(depth, self.now);
    }

    /// Notes the end of an attempt with its request, backend and customer; none if it was not in flight.
    pub(crate) fn settle_attempt(&mut self, ended: &AttemptEnded) -> Option<SettledAttempt> {
        let state = self.requests.get_mut(ended.id)?;
        let endpoint = state.end_attempt(ended.attempt, ended.outcome)?;
        state.answered |= ended.answered || ended.outcome == Outcome::Ok;
        let (request, answered) = (state.request, state.answered);
        let was_last_in_flight = state.attempts_in_flight() == 0;
        self.requests.in_flight = self.requests.in_flight.saturating_sub(1);
        if let Some(backend) = self.backends.get_mut(endpoint.backend) {
            backend.end_attempt();
        }
        let charged = ended.charged_units.filter(|_| self.settings.postpaid);
        let correction = charged.map_or(0.0, |units| units - request.units);
        let usage_changed = self.quota.end_attempt(request.customer, correction);
        let (backend, customer) = (endpoint.backend, request.customer);
        Some(SettledAttempt { backend, customer, answered, was_last_in_flight, usage_changed })
    }
}
