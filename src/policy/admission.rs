//! Admission: whether a request is rejected at once, waits for a quota grant, is queued or is sent.

use super::gateway::WAKE_UP_TICKS;
use super::load_shedding::{epoch_draw, Familiarity, SheddingFacts};
use super::quota::CUSTOMER_IDLE_TIME;
use super::RejectReason;
use crate::state::{Customer, GatewaySet, RequestState};
use crate::{Action, Duration, Gateway, Instant, Request, RequestId};

/// Share of the useful duration that a request may be queued for; queued longer it would fail late.
const MAX_QUEUE_SHARE: f64 = 0.3;
/// Age up to which a grant need not be requested again, and the longest wait for one.
const GRANT_FRESHNESS: Duration = Duration::from_millis(100);
/// The same for a grant by which there were no tokens.
const REJECTION_FRESHNESS: Duration = Duration::from_millis(500);

impl Gateway {
    /// Rejects a new request, admits it, or holds it until its quota owners have answered.
    pub(crate) fn on_request(&mut self, mut request: Request, actions: &mut Vec<Action>) {
        if self.requests.contains(request.id) {
            return; // delivered twice: the first one gets the answer
        }
        // With less than two wake-ups left nothing can be held, watched or served: answered at once.
        if !self.is_valid(&request) {
            return self.reject(request.id, RejectReason::Invalid, Duration::ZERO, actions);
        }
        if request.deadline < self.now + self.min_queue_time() {
            return self.reject(request.id, RejectReason::NoTime, Duration::ZERO, actions);
        }
        let claimed_plan = usize::from(request.plan);
        let familiarity = self.observe_customer(&mut request);
        if self.evades_hard_limit(&request, claimed_plan) {
            return self.reject(request.id, RejectReason::OverQuota, Duration::MAX, actions);
        }
        let shedding = SheddingFacts {
            now: self.now,
            customer: request.customer,
            familiarity,
            plan: self.plan_of(&request),
            plans: &self.settings.plans,
        };
        if !self.load_shedder.admits(&shedding) {
            return self.reject(request.id, RejectReason::Shed, Duration::MAX, actions);
        }
        let state = RequestState { request, arrived_at: self.now, ..RequestState::default() };
        let wait = self.wait_for_tokens(&request);
        let customer = &self.quota.customers[&request.customer];
        // A no may rest on an older grant than a yes, which was for another request: else the retries of a
        // customer over its quota would request grants without end.
        let over_rate_quota = wait.quota.is_some() && self.plan_of(&request).concurrency_quota == 0;
        let yes_freshness = if self.all_gateways_own_quotas() { GRANT_FRESHNESS } else { Duration::ZERO };
        let freshness = if over_rate_quota { REJECTION_FRESHNESS } else { yes_freshness };
        let granted_ago = self.now.duration_since(customer.granted_at);
        let known = customer.is_quota_owner || granted_ago < freshness;
        let elsewhere = customer.hard_limit.owners != [self.settings.own_id.0; 2];
        let needs_grant = wait.hard_limit.is_some() && wait.quota.is_none() && elsewhere;
        if !self.can_be_queued(&state, self.now) || (known && !needs_grant) {
            self.requests.insert(state);
            return self.admit(request.id, true, actions);
        }
        if self.skips_grant_request(&request) {
            return self.reject(request.id, RejectReason::OverQuota, Duration::MAX, actions);
        }
        self.requests.insert(RequestState { awaiting_grant: true, ..state });
        self.await_grant(&request, wait.hard_limit.is_some(), needs_grant, actions);
    }

    /// Whether a request names a plan with a hard limit that its customer's record does not follow: by the
    /// plan that other requests name the limit might be passed.
    fn evades_hard_limit(&self, request: &Request, claimed_plan: usize) -> bool {
        let has_hard_limit = self.settings.plans[claimed_plan].hard_limit_rate > 0.0;
        has_hard_limit && usize::from(request.plan) != claimed_plan
    }

    /// Holds a request until the quota owners have answered, or for as long as that may take.
    fn await_grant(&mut self, request: &Request, hard_limit: bool, at_once: bool, actions: &mut Vec<Action>) {
        let now = self.now;
        tracing::debug!(target: "policy", request = request.id.0, hard_limit, "awaits a quota grant");
        // In a large fleet it is requested twice: one lost message must not admit what is over its quota.
        let requests = if self.all_gateways_own_quotas() { 1 } else { 2 };
        self.requests.check_at(now + self.grant_wait(request, now) / requests, request.id);
        let Some(customer) = self.quota.customers.get_mut(&request.customer) else { return };
        customer.grant_request.waiting.push(request.id);
        let first = customer.grant_request.waiting.len() == 1;
        if first || now.duration_since(customer.grant_request.requested_at) > GRANT_FRESHNESS || at_once {
            customer.grant_request.start(now, request.units, hard_limit);
            self.queue_usage_report(request.customer, true, actions);
        }
    }

    /// How long a request that arrived at a time may be held for a grant.
    fn grant_wait(&self, request: &Request, arrived_at: Instant) -> Duration {
        let left = request.deadline.duration_since(arrived_at).min(self.class_of(request).latency_objective);
        GRANT_FRESHNESS.min(left / 5)
    }

    /// Requests a grant once more, or decides by what is known here if the owners said nothing in time.
    pub(crate) fn check_awaited_grant(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(id) else { return };
        let customer = state.request.customer;
        let end = state.arrived_at + self.grant_wait(&state.request, state.arrived_at);
        if self.now >= end {
            return self.admit(id, true, actions);
        }
        self.requests.check_at(end, id);
        self.queue_usage_report(customer, true, actions);
    }

    /// Admits a request if there are tokens and capacity; without tokens one may wait for the `last` grant.
    pub(crate) fn admit(&mut self, id: RequestId, last: bool, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(id) else { return };
        let (request, awaited) = (state.request, state.awaiting_grant);
        let seconds = self.wait_for_tokens(&request).longest();
        if seconds.is_some() && !last {
            return;
        }
        // The fuller the queue, the fewer customers may join it; the same ones for a shedding epoch.
        tracing::debug!(target: "policy", request = id.0, awaited, ?seconds, "quota decided");
        let limit = self.concurrency_limiter.limit(self.load());
        let queue_fill = self.requests.queue.len() as f64 / (limit * MAX_QUEUE_SHARE);
        let saturated = f64::from(self.requests.in_flight) >= limit;
        if seconds.is_none() && !(saturated && epoch_draw(self.now, request.customer) >= 1.0 - queue_fill) {
            return self.enqueue(&request, awaited, actions);
        }
        self.quota.stop_awaiting_grant(request.customer, id, awaited);
        if seconds.is_none() {
            self.load_shedder.record_rejection();
        }
        self.requests.remove(id);
        let retry_after = seconds.map_or(Duration::MAX, Duration::from_secs_f64);
        let reason = if seconds.is_none() { RejectReason::Saturated } else { RejectReason::OverQuota };
        self.reject(id, reason, retry_after, actions);
        let charged_by_owner = self.quota.take_owner_charge(request.customer);
        if awaited && (charged_by_owner || self.all_gateways_own_quotas()) {
            self.queue_usage_report(request.customer, false, actions);
        }
    }

    /// Charges an admitted request, and sends it as soon as a backend may take it.
    fn enqueue(&mut self, request: &Request, awaited: bool, actions: &mut Vec<Action>) {
        self.load_shedder.record_admission();
        self.charge(request.customer, request.units);
        if let Some(state) = self.requests.get_mut(request.id) {
            state.awaiting_grant = false;
        }
        self.quota.stop_awaiting_grant(request.customer, request.id, awaited);
        let owned_by_all = self.all_gateways_own_quotas();
        let charged_by_owner = self.quota.take_owner_charge(request.customer);
        let Some(customer) = self.quota.customers.get(&request.customer) else { return };
        if !(charged_by_owner && awaited) || owned_by_all {
            let requests_grant = !awaited && !customer.is_quota_owner && owned_by_all;
            self.queue_usage_report(request.customer, requests_grant, actions);
        }
        self.requests.queue.push_back(request.id);
        self.dispatch(actions);
        self.expire_if_overdue(request.id, actions);
    }

    /// Notes the customer, whose plan the request is judged by, and returns whether it was seen of late.
    fn observe_customer(&mut self, request: &mut Request) -> Familiarity {
        let now = self.now;
        let plan = self.plan_of(request);
        let set = GatewaySet::of(request, self.settings.gateway_count);
        // A customer unseen here: its share, or one request, and what was refilled since this start. In a
        // large fleet a start says little: most customers have all but full buckets, and one owner counts.
        let share = (plan.burst / set.size).max(request.units);
        let refilled = plan.rate * self.quota.seconds_of_known_usage(now);
        let known = (share + refilled).min(plan.burst);
        let tokens = if self.all_gateways_own_quotas() { known } else { plan.burst };
        let remote_rate = plan.rate * (1.0 - 1.0 / set.size);
        let new = Customer { remote_rate, ..Customer::new(usize::from(request.plan), plan, tokens, now) };
        self.record_identity(request.customer, set, new);
        let Some(customer) = self.quota.customers.get_mut(&request.customer) else {
            return Familiarity::Unseen;
        };
        let is_unseen = customer.last_seen_at == Instant::ZERO
            || now.duration_since(customer.last_seen_at) > CUSTOMER_IDLE_TIME;
        customer.last_seen_at = now;
        request.plan = customer.plan as u16;
        if is_unseen {
            Familiarity::Unseen
        } else {
            Familiarity::Known
        }
    }

    /// Two wake-ups: with less time left a request cannot be held.
    fn min_queue_time(&self) -> Duration {
        self.settings.tick * WAKE_UP_TICKS * 2
    }

    /// Whether a request has the time to be held for two wake-ups.
    pub(crate) fn can_be_queued(&self, state: &RequestState, now: Instant) -> bool {
        now + self.min_queue_time() <= state.request.deadline
    }

    /// Ends a request that was queued for as long as it may be; true if it need not wait.
    pub(crate) fn expire_if_overdue(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(state) = self.requests.get(id).filter(|state| state.awaits_attempt()) else { return true };
        let useful_duration = state.useful_duration(self.class_of(&state.request).latency_objective);
        let queued_until = state.arrived_at + useful_duration.mul_f64(MAX_QUEUE_SHARE);
        let overdue = self.now > queued_until || !self.can_be_queued(state, self.now);
        if overdue {
            self.reject_or_fail(id, actions);
        }
        overdue
    }

    /// Sends queued requests, in their order, while there is capacity.
    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.requests.queue.front().copied() {
            let waits = self.requests.get(id).is_some_and(RequestState::awaits_attempt);
            let saturated = self.concurrency_limiter.is_reached(self.load());
            if waits && (saturated || !self.send_attempt(id, actions)) {
                return;
            }
            self.requests.queue.pop_front();
        }
    }

    /// Whether a request names a class and a plan that there are, and a sensible number of units.
    fn is_valid(&self, request: &Request) -> bool {
        let known_class = usize::from(request.class) < self.settings.classes.len();
        let known_plan = usize::from(request.plan) < self.settings.plans.len();
        known_class && known_plan && request.units.is_finite() && request.units >= 0.0
    }
}
