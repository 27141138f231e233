//! Further attempts: the retry budget, idempotency, and hedged requests.

use crate::{state::*, *};
use std::cmp::Reverse;

/// Share of the useful duration after which an attempt at a silent backend is retried elsewhere.
pub(crate) const SILENCE_SHARE: f64 = 0.35;
/// The same at a backend that answers others.
const HEDGE_SHARE: f64 = 0.6;
/// Further attempts per first attempt: retries cannot feed an overload.
pub(crate) const RETRY_RATIO: f64 = 0.1;
/// Retries that may be saved up, over all gateways.
const FLEET_RETRY_BURST: f64 = 40.0;
/// The least of them at one gateway.
const MIN_RETRY_BURST: f64 = 2.0;
/// The most of them at one gateway.
const MAX_RETRY_BURST: f64 = 10.0;

/// Further attempts that one gateway may save up: what all save up comes at once when backends slow down.
pub(crate) fn retry_burst(shares: u64) -> f64 {
    (FLEET_RETRY_BURST / shares as f64).clamp(MIN_RETRY_BURST, MAX_RETRY_BURST)
}

impl Gateway {
    /// Tries a further attempt, where the class, the time and the budget allow one.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let o = &self.requests[&id];
        let class = &self.settings.classes[usize::from(o.request.class)];
        let allowed =
            class.idempotency != Idempotency::NonIdempotent || o.first_possibly_executed().is_none();
        let useful =
            self.now + self.settings.tick < (o.arrived_at + class.latency_objective).min(o.request.deadline);
        let room = (o.attempts.len() as u32) < self.settings.limits.max_attempts;
        let single = o.attempts_in_flight() == 0 || self.settings.limits.hedging;
        let sent =
            allowed && useful && room && single && self.retry_tokens >= 1.0 && self.send_attempt(id, actions);
        self.retry_tokens -= f64::from(u8::from(sent));
        sent
    }

    pub(crate) fn check_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        if let Some((req, arrived)) =
            self.requests.get(&id).filter(|o| o.awaiting_grant).map(|o| (o.request, o.arrived_at))
        {
            let end = arrived + self.grant_wait(&req, arrived);
            if now >= end {
                return self.admit(id, true, actions); // the homes said nothing in time: by what is known here
            }
            self.request_timers.push(Reverse((end, id)));
            return self.queue_usage_report(req.customer, true, actions);
        }
        let Some(o) = self.requests.get_mut(&id).filter(|o| !o.answered && !o.streaming) else { return };
        let k = usize::from(o.request.class);
        let (once, patience) = (
            self.settings.classes[k].idempotency == Idempotency::NonIdempotent,
            o.useful_duration(self.settings.classes[k].latency_objective),
        );
        let Some(a) = o.attempts.iter_mut().rev().find(|a| a.in_flight && !a.cancelled) else { return };
        let (bid, hedge_at) = (a.endpoint.backend, a.sent_at + (patience * HEDGE_SHARE) as Micros);
        let Some(b) = self.backends.get_mut(&bid) else { return };
        let silent = b.health[k].last_heard_at < a.sent_at;
        if !silent && now < hedge_at {
            return self.request_timers.push(Reverse((hedge_at, id)));
        }
        let (hedge, limits) = ((silent || self.shedding_stage == 0) && !once, &self.settings.limits);
        if hedge && !limits.hedging && silent && limits.cancellation && self.retry_tokens >= 1.0 {
            o.cancel_attempts(None, true, actions);
        }
        if silent && now >= b.health[k].ejected_until {
            b.health[k].eject(now);
            self.record_observation(bid, k, None, true);
        }
        if hedge && self.settings.limits.hedging {
            self.retry(id, actions);
        }
    }
}
