//! Admission: whether a request is rejected at once, waits for a quota grant, is queued or is sent.

use super::gateway::WAKE_UP_TICKS;
use super::quota::CUSTOMER_IDLE_TIME;
use crate::{state::*, *};
use std::cmp::Reverse;

/// Share of the useful duration that a request may be queued for; queued longer it would fail late.
const MAX_QUEUE_SHARE: f64 = 0.3;
/// Age up to which a grant need not be requested again, and the longest wait for one.
const GRANT_FRESHNESS: Micros = 100_000;
/// The same for an owner's word that there are no tokens.
const REJECTION_FRESHNESS: Micros = 500_000;

impl Gateway {
    pub(crate) fn on_request(&mut self, mut req: Request, actions: &mut Vec<Action>) {
        let (class, plan) = (usize::from(req.class), usize::from(req.plan));
        let known = class < self.settings.classes.len() && plan < self.settings.plans.len();
        let sane = req.units.is_finite() && req.units >= 0.0;
        if self.requests.contains_key(&req.id) {
            return; // told twice: the first telling gets the answer
        }
        // With less than two wake-ups left nothing can be held, watched or served: answered at once.
        if !known || !sane || req.deadline < self.now + 2 * WAKE_UP_TICKS * self.settings.tick {
            return self.reject(req.id, 0, actions);
        }
        let unseen = self.observe_customer(&mut req);
        let plan = usize::from(req.plan);
        if !self.passes_shedding(req.customer, plan, unseen) {
            return self.reject(req.id, Micros::MAX, actions);
        }
        let open = RequestState { request: req, arrived_at: self.now, ..RequestState::default() };
        let (now, may_wait) = (self.now, self.can_be_queued(&open, self.now));
        let (quota, ceiling) = self.wait_for_tokens(&req);
        let c = &self.quota.customers[&req.customer];
        // A no may rest on older news than a yes: else a red customer's retries ask without end.
        let red = quota.is_some() && self.settings.plans[plan].concurrency_quota == 0;
        let yes = if self.quota.report_interval > 0 { GRANT_FRESHNESS } else { 0 }; // a yes was for another request
        let known =
            c.is_quota_owner || now - c.granted_at.min(now) < if red { REJECTION_FRESHNESS } else { yes };
        let short =
            ceiling.is_some() && quota.is_none() && c.hard_limit_owners != [self.settings.own_id.0; 2];
        if !may_wait || (known && !short) {
            self.requests.insert(req.id, open);
            return self.admit(req.id, true, actions);
        }
        if self.skips_grant_request(&req) {
            return self.reject(req.id, Micros::MAX, actions);
        }
        // The room is not known here: held until the homes' word comes, or for as long as that may take.
        self.requests.insert(req.id, RequestState { awaiting_grant: true, ..open });
        // In a large fleet the question is put twice: one lost on the way must not let a red customer in.
        let again = if self.quota.report_interval > 0 { 1 } else { 2 };
        self.request_timers.push(Reverse((now + self.grant_wait(&req, now) / again, req.id)));
        let Some(c) = self.quota.customers.get_mut(&req.customer) else { return };
        c.awaiting_grant.push(req.id);
        if c.awaiting_grant.len() == 1 || now - c.grant_requested_at > GRANT_FRESHNESS || short {
            c.grant_requested_at = now;
            c.owners_answered.clear();
            (c.requested_units, c.needs_hard_limit_grant) = (req.units, ceiling.is_some());
            self.queue_usage_report(req.customer, true, actions);
        }
    }

    /// How long a request may be held for its homes' word.
    pub(crate) fn grant_wait(&self, req: &Request, arrived: Micros) -> Micros {
        let left =
            (req.deadline - arrived).min(self.settings.classes[usize::from(req.class)].latency_objective);
        GRANT_FRESHNESS.min(left / 5)
    }

    /// Lets a request in if the stores have room; without it, one that is held stays so till the `last` word.
    pub(crate) fn admit(&mut self, id: RequestId, last: bool, actions: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        let (req, held) = (o.request, std::mem::take(&mut o.awaiting_grant));
        let (quota_wait, ceiling_wait) = self.wait_for_tokens(&req);
        let wait = quota_wait.into_iter().chain(ceiling_wait).reduce(f64::max);
        // The fuller the line, the fewer customers may join it; the same ones for an epoch, as on the ladder.
        let line = self.queue.len() as f64 / (self.concurrency_limit() * MAX_QUEUE_SHARE);
        let full =
            self.in_flight as f64 >= self.concurrency_limit() && self.epoch_draw(req.customer) >= 1.0 - line;
        if wait.is_some() && !last {
            self.requests.entry(id).and_modify(|o| o.awaiting_grant = held);
            return;
        }
        self.quota.stop_awaiting_grant(req.customer, id, held && (wait.is_some() || full));
        if wait.is_some() || full {
            // Red, or no place and none soon.
            let pause = wait.map_or(Micros::MAX, |w| (w * SECOND) as Micros);
            self.rejection_rate += 0.05 * f64::from(u8::from(wait.is_none())) * (1.0 - self.rejection_rate);
            self.requests.remove(&id);
            self.reject(id, pause, actions);
            let counted = self
                .quota
                .customers
                .get_mut(&req.customer)
                .is_some_and(|c| std::mem::take(&mut c.charged_by_owner));
            if held && (counted || self.quota.report_interval > 0) {
                self.queue_usage_report(req.customer, false, actions); // a home may have counted it
            }
            return;
        }
        self.rejection_rate -= 0.05 * self.rejection_rate;
        self.charge(&req, 1.0);
        self.quota.stop_awaiting_grant(req.customer, id, held);
        let few = self.quota.report_interval > 0;
        let Some(c) = self.quota.customers.get_mut(&req.customer) else { return };
        if !(std::mem::take(&mut c.charged_by_owner) && held) || few {
            let ask = !held && !c.is_quota_owner && few;
            self.queue_usage_report(req.customer, ask, actions);
        }
        self.queue.push_back(id);
        self.dispatch(actions);
        self.expire_if_overdue(id, actions);
    }

    /// Notes the customer; true if it was unseen within the ageing time.
    pub(crate) fn observe_customer(&mut self, req: &mut Request) -> bool {
        let (now, life) = (self.now, self.quota.seconds_of_known_usage(self.now));
        let plan = &self.settings.plans[usize::from(req.plan)];
        let most = self.settings.gateway_count.max(1) as f64;
        let sane = req.gateway_set_size.is_finite() && (0.0..most).contains(&req.gateway_set_start);
        let (first, width) = if sane {
            (req.gateway_set_start.floor(), req.gateway_set_size.clamp(1.0, most))
        } else {
            (0.0, most)
        };
        // A customer unseen here: its share, or one request, and what has filled since this start.
        let known = ((plan.burst / width).max(req.units) + plan.rate * life).min(plan.burst);
        // In a large fleet a start says little: most customers have all but full stores, and one home counts.
        let level = if self.quota.report_interval > 0 { known } else { plan.burst };
        let (others, owed) = (plan.rate * (1.0 - 1.0 / width), plan.burst - level);
        let plan = usize::from(req.plan);
        let new = Customer {
            plan,
            tokens: level,
            withheld_tokens: owed,
            remote_rate: others,
            refilled_at: now,
            ..Customer::default()
        };
        self.record_identity(req.customer, first as u16, width as u16, new);
        let Some(c) = self.quota.customers.get_mut(&req.customer) else { return true };
        let unseen = c.last_seen_at == 0 || now - c.last_seen_at > CUSTOMER_IDLE_TIME;
        // A request is judged by its customer's plan, whatever it says itself.
        (c.last_seen_at, req.plan) = (now, c.plan as u16);
        unseen
    }

    /// Whether a request has the time to be held for two wake-ups.
    pub(crate) fn can_be_queued(&self, o: &RequestState, now: Micros) -> bool {
        now + 2 * WAKE_UP_TICKS * self.settings.tick <= o.request.deadline
    }

    /// Ends a request that has waited for a place for as long as it may; true if it need not wait.
    pub(crate) fn expire_if_overdue(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(o) = self.requests.get(&id).filter(|o| !o.answered && o.attempts_in_flight() == 0) else {
            return true;
        };
        let patience =
            o.useful_duration(self.settings.classes[usize::from(o.request.class)].latency_objective);
        let end = self.now > o.arrived_at + (patience * MAX_QUEUE_SHARE) as Micros
            || !self.can_be_queued(o, self.now);
        if end {
            self.reject_or_fail(id, actions);
        }
        end
    }

    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.queue.front().copied() {
            let ready = self.requests.get(&id).is_some_and(|o| !o.answered && o.attempts_in_flight() == 0);
            if ready && (self.in_flight as f64 >= self.concurrency_limit() || !self.send_attempt(id, actions))
            {
                return;
            }
            self.queue.pop_front();
        }
    }
}
