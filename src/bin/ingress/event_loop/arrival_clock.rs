//! Estimates when the input that the poll reports arrived.
//!
//! Without this estimate, a process that is delayed between two readings of its clock, as on an overloaded
//! machine, would count clients' timeouts from the later reading: answers would be late, and attempts would
//! state more time than the client has left. The time between two calls of the poll, plus the time by which a
//! call exceeds its timeout, bounds the age of the input.

use ingress::{Duration, Instant};

/// Duration from which a call of the poll counts as having waited. No input was ready when such a call began.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Tracks the calls of the poll and computes the arrival time of the reported input from them.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalClock {
    /// The time at which the last call that was not interrupted returned.
    reported_at: Instant,
    /// The earliest time at which the input that the latest call reported can have arrived.
    arrived_at: Instant,
}

impl ArrivalClock {
    /// Creates a clock before the first call of the poll.
    pub fn new(now: Instant) -> ArrivalClock {
        ArrivalClock { reported_at: now, arrived_at: now }
    }

    /// Records a call that began at `called_at`, with this timeout, and returned at `returned_at`.
    pub fn poll_returned(&mut self, called_at: Instant, timeout: Duration, returned_at: Instant) {
        let elapsed = returned_at.duration_since(called_at);
        let waited = elapsed.min(timeout);
        let overrun = elapsed - waited;
        let has_waited = waited >= MIN_WAIT;
        // Input that was ready when the call began can have arrived at any time since the previous call.
        let busy = if has_waited { Duration::ZERO } else { called_at.duration_since(self.reported_at) };
        self.arrived_at = returned_at - (overrun + busy);
        self.reported_at = returned_at;
    }

    /// Records a call that was interrupted and reported nothing, as when the process is stopped and
    /// continued.
    pub fn poll_interrupted(&mut self) {
        self.arrived_at = self.reported_at;
    }

    /// Returns the earliest time at which the input that the latest call reported can have arrived.
    pub fn arrived_at(&self) -> Instant {
        self.arrived_at
    }
}

#[cfg(test)]
mod tests;
