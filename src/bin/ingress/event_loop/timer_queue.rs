//! What the event loop has to do at a given time.

use crate::backends::{Assignment, ConnectionId};
use ingress::{BackendId, Instant, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is to be done. Of timers due at the same time, those of an earlier variant run first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The policy has asked to be woken; the token is its own.
    Policy(u32),
    /// An attempt, by its number, has taken too long.
    AttemptTimeout(RequestId, u16),
    /// A client no longer waits for its reply.
    ClientDeadline(RequestId),
    /// A connection should be up, and the command of the assignment written.
    ConnectTimeout(ConnectionId, Assignment),
    /// A health check has taken too long.
    HealthCheckTimeout {
        /// The connection that it uses.
        connection: ConnectionId,
        /// The backend.
        backend: BackendId,
        /// When it was sent.
        started_at: Instant,
    },
    /// Idle connections and what else has expired are cleared away.
    Sweep,
    /// Connections are accepted again after there was no descriptor for them.
    RetryAccept,
    /// The configuration is read again after that has failed.
    RetryReload,
    /// While shutting down: connections may not have to be accepted any longer.
    StopAccepting,
    /// While shutting down: what has no reply yet is failed.
    ReplyDeadline,
}

/// The timers that are set, the earliest first.
#[derive(Default)]
pub struct TimerQueue {
    /// The earliest first; of those due at one time, the earlier variant.
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn schedule(&mut self, due_at: Instant, timer: Timer) {
        self.heap.push(Reverse((due_at, timer)));
    }

    /// When the earliest timer is due; none where none is set.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((due_at, _))| *due_at)
    }

    /// Takes out the timers that are due, in their order.
    pub fn take_due(&mut self, now: Instant) -> Vec<Timer> {
        let mut due = Vec::new();
        while self.next_due_at().is_some_and(|due_at| due_at <= now) {
            due.extend(self.heap.pop().map(|Reverse((_, timer))| timer));
        }
        due
    }
}

#[cfg(test)]
mod tests;
