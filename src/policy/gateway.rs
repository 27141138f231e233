//! The dispatch of events, and the life of a request from its arrival to its final answer.

use super::quota::ReportPurpose;
use crate::{Action, AttemptEnded, Discovery, Duration, Event, Gateway, Instant, RequestId};

/// Ticks between wake-ups, which look at deadlines and messages to peers; more of them save processor time.
pub(crate) const WAKE_UP_TICKS: u64 = 5;
/// Wake-ups missed from which the host is taken to have stood still.
const MISSED_WAKE_UPS: u64 = 4;

impl Gateway {
    /// Takes one event and appends what the host is to do.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        let interval = (self.settings.tick * WAKE_UP_TICKS).max(Duration::MICROSECOND);
        if self.next_wake_up_at > Instant::ZERO && now > self.next_wake_up_at + interval * MISSED_WAKE_UPS {
            self.resume(now, actions);
            self.schedule_wake_up(now, interval, actions);
        }
        self.now = self.now.max(now);
        if matches!(event, Event::Timer(_)) && self.now < self.next_wake_up_at {
            return;
        }
        self.dispatch_event(event, actions);
        if self.now >= self.next_wake_up_at {
            self.on_wake_up(actions);
            self.schedule_wake_up(self.now, interval, actions);
        }
    }

    /// Asks the host to poll discovery when that is due, where the list does not come by itself.
    pub(crate) fn poll_discovery(&mut self, actions: &mut Vec<Action>) {
        let max_interval = self.settings.rules.max_poll_interval;
        let is_polled = self.settings.discovery == Discovery::Poll;
        if is_polled && self.periodic_poll.take_due(self.now, max_interval) {
            actions.push(Action::WatchEndpoints(true));
        }
    }

    /// Takes in how an attempt ended, and retries or answers a request that has none left in flight.
    pub(crate) fn on_attempt_ended(&mut self, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        if let Some(class) = self.requests.get(ended.id).map(|state| usize::from(state.request.class)) {
            self.record_outcome(ended, class);
        }
        self.record_queue_depth(ended);
        let Some(settled) = self.settle_attempt(ended) else { return };
        if settled.answered {
            self.close_request(ended.id, actions);
        } else if settled.was_last_in_flight && !self.retry(ended.id, actions) {
            self.reject_or_fail(ended.id, actions);
        }
        self.backends.remove_if_drained(settled.backend);
        if settled.usage_changed {
            self.queue_usage_report(settled.customer, ReportPurpose::Usage, actions);
        }
        self.dispatch(actions);
    }

    /// Goes on after the host stood still: what is overdue is answered first, and no latency counts.
    pub(crate) fn resume(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let unsent = self.requests.iter().filter(|state| state.attempts.is_empty());
        let overdue = unsent.filter(|state| !self.can_be_queued(state, now));
        let overdue: Vec<RequestId> = overdue.map(|state| state.request.id).collect();
        overdue.into_iter().for_each(|id| self.reject_or_fail(id, actions));
        self.resumed_at = now;
    }
}
