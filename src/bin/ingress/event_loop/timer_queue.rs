//! The timers of the event loop.

use crate::backends::{AttemptId, ConnectionId};
use ingress::{Instant, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a timer is for. Of timers due at the same time, those of an earlier variant run first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Wakes the gateway with its own token.
    Gateway(u32),
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// A client's timeout ends.
    ClientDeadline(RequestId),
    /// The time for establishing a connection and writing the command of its attempt ends.
    ConnectTimeout(ConnectionId, AttemptId),
    /// Expired connections and ids are removed.
    Sweep,
    /// Accepting is retried after it has failed.
    RetryAccept,
    /// Reading the configuration is retried after it has failed.
    RetryReload,
    /// During the shutdown: the listener is closed unless clients still connect.
    CheckAccepting,
    /// During the shutdown: requests without a reply are failed.
    ReplyDeadline,
}

/// A timer with its time; ordered by the time, then by the timer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    /// When it is due.
    due_at: Instant,
    /// What it is for.
    timer: Timer,
}

/// The timers that are set.
#[derive(Default)]
pub struct TimerQueue {
    /// A heap with the earliest timer on top; of those due at one time, the earlier variant.
    heap: BinaryHeap<Reverse<ScheduledTimer>>,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn schedule(&mut self, due_at: Instant, timer: Timer) {
        self.heap.push(Reverse(ScheduledTimer { due_at, timer }));
    }

    /// When the earliest timer is due; none where none is set.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse(earliest)| earliest.due_at)
    }

    /// Removes the timers that are due and returns them in order.
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
