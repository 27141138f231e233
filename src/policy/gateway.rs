//! The dispatch of events, and the life of a request from its arrival to its final answer.

use super::load_shedding::{INITIAL_CONCURRENCY, MIN_STAGE_TIME_UP};
use super::retry::retry_burst;
use crate::{state::*, *};
use std::cmp::Reverse;

/// Ticks between wake-ups, which look at deadlines and messages to peers; more of them save processor time.
pub(crate) const WAKE_UP_TICKS: u64 = 5;
/// Seconds between reports up to which every gateway of a customer is an owner of its quota.
const MAX_SHARED_REPORT_INTERVAL: f64 = 0.35;

impl Gateway {
    /// A gateway that starts now and knows nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let usual = settings.classes.iter().map(|c| LatencyBaseline {
            recent: c.latency_objective as f64 * 0.15,
            ..LatencyBaseline::default()
        });
        let usual = usual.map(|u| LatencyBaseline { unloaded: u.recent, updated_at: now, ..u }).collect();
        let shares = u64::from(settings.gateway_count.max(1));
        // Most of what a receiver takes in, over all senders; no faster than 20 a second: bytes cost.
        let period = 1.5 * (shares as f64 - 1.0) / settings.limits.peer_messages_per_second.max(1.0);
        let few = period <= MAX_SHARED_REPORT_INTERVAL;
        let report_interval = if few { ((period * SECOND) as Micros).max(50_000) } else { 0 };
        Gateway {
            random_state: seed,
            now,
            started_at: now,
            latency_baselines: usual,
            retry_tokens: retry_burst(shares),
            concurrency_per_backend: INITIAL_CONCURRENCY,
            quota: QuotaTable { usage_known_since: Some(now), report_interval, ..QuotaTable::default() },
            fleet_size: shares,
            settings,
            ..Gateway::default()
        }
    }

    /// Takes one event and appends what the host is to do.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let wake = (WAKE_UP_TICKS * self.settings.tick).max(1);
        // Stood still for several wake-ups: all that came meanwhile is read before anybody is judged by it.
        if self.next_wake_up_at > 0 && now > self.next_wake_up_at + 4 * wake {
            // What is past its time by now is answered in this very turn.
            let late =
                self.requests.values().filter(|o| o.attempts.is_empty() && !self.can_be_queued(o, now));
            let late: Vec<RequestId> = late.map(|o| o.request.id).collect();
            late.into_iter().for_each(|id| self.reject_or_fail(id, actions));
            self.resumed_at = now;
            self.next_wake_up_at = now + wake;
            actions.push(Action::SetTimer { delay: wake, token: 0 });
        }
        self.now = self.now.max(now);
        match event {
            Event::Request(req) => self.on_request(req, actions),
            Event::AttemptEnded { .. } => self.on_attempt_ended(event, actions),
            Event::ClientDisconnected(id) => self.close_request(id, actions),
            Event::FirstByte { id, attempt } => self.on_first_byte(id, attempt, actions),
            Event::PeerMessage { from, bytes } => self.on_peer_message(from, &bytes, actions),
            Event::Endpoints(kind, list) => self.on_endpoints(kind, list, actions),
            Event::Timer(_) if self.now < self.next_wake_up_at => return,
            Event::Timer(_) | Event::HealthCheckEnded { .. } | Event::CounterUpdated { .. } => {}
        }
        if self.now >= self.next_wake_up_at {
            self.on_wake_up(actions);
            self.next_wake_up_at = self.now + wake;
            actions.push(Action::SetTimer { delay: wake, token: 0 });
        }
    }

    pub(crate) fn on_wake_up(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        while let Some(Reverse((_, id))) = self.request_timers.peek().copied().filter(|c| c.0 .0 <= now) {
            self.request_timers.pop();
            self.check_request(id, actions);
        }
        for id in std::mem::take(&mut self.queue) {
            if !self.expire_if_overdue(id, actions) {
                self.queue.push_back(id);
            }
        }
        self.update_shedding_stage(actions);
        self.dispatch(actions);
        self.peers.ready_to_send(now).into_iter().for_each(|p| self.flush_outbox(p, actions));
        self.sweep(actions);
        if self.settings.discovery == Discovery::Poll && now >= self.next_poll_at {
            self.next_poll_at = now + (self.settings.rules.max_poll_interval / 2).max(1);
            actions.push(Action::WatchEndpoints(true));
        }
    }

    pub(crate) fn on_endpoints(
        &mut self,
        kind: EndpointUpdate,
        list: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        match kind {
            EndpointUpdate::PollFailed => {
                let retry_at = self.now + (self.settings.rules.max_poll_interval / 8).max(1);
                self.next_poll_at = self.next_poll_at.min(retry_at);
                return;
            }
            EndpointUpdate::Delta => list.into_iter().for_each(|endpoint| self.apply_change(endpoint)),
            EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot => self.replace_endpoints(list),
        }
        self.dispatch(actions);
    }

    pub(crate) fn on_attempt_ended(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded {
            id,
            attempt,
            backend,
            outcome,
            answered: complete,
            elapsed: took,
            charged_units: charged,
            load_report: report,
            ..
        } = event
        else {
            return;
        };
        let class = self.requests.get(&id).map(|o| usize::from(o.request.class));
        self.record_outcome(backend, outcome, took, class);
        if let (Some(b), Some(queue)) = (self.backends.get_mut(&backend), report.and_then(|r| r.queue_depth))
        {
            (b.reported_queue_depth, b.reported_at) = (queue.clamp(0.0, 1000.0), self.now);
        }
        let Some(o) = self.requests.get_mut(&id) else { return };
        let Some(a) = o.attempts.get_mut(usize::from(attempt)).filter(|a| a.in_flight) else { return };
        (a.in_flight, a.never_executed) = (false, outcome.never_executed());
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(b) = self.backends.get_mut(&a.endpoint.backend) {
            b.in_flight = b.in_flight.saturating_sub(1);
        }
        let left = a.endpoint.backend;
        let (customer, units) = (o.request.customer, o.request.units);
        let more = charged.filter(|_| self.settings.postpaid).map_or(0.0, |u| u - units);
        let mut news = more != 0.0;
        if let Some(c) = self.quota.customers.get_mut(&customer) {
            (c.in_flight, c.tokens, c.total_units) =
                (c.in_flight.saturating_sub(1), c.tokens - more, c.total_units + more);
            news |= self.settings.plans[c.plan].concurrency_quota > 0;
        }
        o.answered |= complete || outcome == Outcome::Ok;
        if o.answered {
            self.close_request(id, actions);
        } else if o.attempts_in_flight() == 0 && !self.retry(id, actions) {
            self.reject_or_fail(id, actions);
        }
        self.remove_if_drained(left);
        if news {
            self.queue_usage_report(customer, false, actions);
        }
        self.dispatch(actions);
    }

    pub(crate) fn reject(&self, id: RequestId, pause: Micros, actions: &mut Vec<Action>) {
        let most = if self.settings.limits.retry_after { self.settings.limits.max_retry_after } else { 0 };
        actions.push(Action::Reject { id, retry_after: pause.min(most) });
    }

    /// The final answer of a request that is not served: refused where that is true, else failed.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        let repeat = self.settings.classes[usize::from(o.request.class)].idempotency;
        if matches!(
            repeat,
            Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::Fleet, .. }
        ) || o.first_possibly_executed().is_none()
        {
            self.reject(id, MIN_STAGE_TIME_UP, actions);
        } else {
            actions.push(Action::Fail(id));
        }
        self.close_request(id, actions);
    }

    /// A request has ended: calls off what is out, forgets it once all is settled.
    pub(crate) fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        o.answered = true;
        o.cancel_attempts(None, self.settings.limits.cancellation && !o.streaming, actions);
        if o.attempts_in_flight() == 0 {
            let (req, unsent, held) = (o.request, o.attempts.is_empty(), o.awaiting_grant);
            self.requests.remove(&id);
            if held {
                self.quota.stop_awaiting_grant(req.customer, id, true);
            } else if unsent {
                self.charge(&req, -1.0);
                self.queue_usage_report(req.customer, false, actions);
            }
        }
    }
}
