//! The queue of scheduled timers of the event loop.

use crate::backends::{AttemptId, ConnectionId};
use ingress::{Instant, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The purpose of a timer. Of timers that are due at the same time, those of an earlier variant run first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the gateway, with the gateway's token.
    Gateway(u32),
    /// An attempt reaches its timeout.
    AttemptTimeout(AttemptId),
    /// A request reaches its client's deadline.
    ClientDeadline(RequestId),
    /// The time for establishing a connection and writing the attempt's command is over.
    ConnectTimeout(ConnectionId, AttemptId),
    /// Expired connections and ids are to be removed.
    Sweep,
    /// Accepting is to be retried after a failure.
    RetryAccept,
    /// Reading the configuration is to be retried after a failure.
    RetryReload,
    /// During the shutdown: the listener is to be closed unless clients are still connecting.
    CheckAccepting,
    /// During the shutdown: requests without a reply are to be failed.
    ReplyDeadline,
}

/// A timer with its due time; ordered by the time, then by the timer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    due_at: Instant,
    timer: Timer,
}

/// The scheduled timers.
#[derive(Default)]
pub struct TimerQueue {
    /// A heap with the earliest timer on top; of timers due at the same time, the earlier variant.
    heap: BinaryHeap<Reverse<ScheduledTimer>>,
}

impl TimerQueue {
    pub fn schedule(&mut self, due_at: Instant, timer: Timer) {
        self.heap.push(Reverse(ScheduledTimer { due_at, timer }));
    }

    /// Returns the due time of the earliest timer, or `None` if no timer is scheduled.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse(earliest)| earliest.due_at)
    }

    /// Returns the number of scheduled timers.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Removes the timers that do not satisfy a condition.
    pub fn retain(&mut self, condition: impl Fn(Timer) -> bool) {
        self.heap.retain(|Reverse(scheduled)| condition(scheduled.timer));
        self.heap.shrink_to(self.heap.len() * 2);
    }

    /// Removes and returns the timers that are due, in order.
    pub fn take_due(&mut self, now: Instant) -> Vec<Timer> {
        let mut due = Vec::new();
        while self.next_due_at().is_some_and(|due_at| due_at <= now) {
            due.extend(self.heap.pop().map(|Reverse(scheduled)| scheduled.timer));
        }
        due
    }
}

#[cfg(test)]
mod tests;
