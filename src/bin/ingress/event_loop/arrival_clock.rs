//! Estimates when the input that the poll reports arrived.
//!
//! A process that is delayed between two readings of its clock, as on an overloaded machine, would count
//! clients' timeouts from too late a time. That shows as late answers and as attempts that state more time
//! than the client has. The time between calls of the poll, and what a call takes beyond its timeout, bound
//! how old the input can be.

use ingress::{Duration, Instant};

/// A call of the poll that took this long or longer has waited: no input was there when it began.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Records the calls of the poll.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalClock {
    /// When the last call that was not interrupted returned.
    reported_at: Instant,
    /// The earliest time at which the input that the latest call reported can have arrived.
    arrived_at: Instant,
}

impl ArrivalClock {
    /// A clock before the first call.
    pub fn new(now: Instant) -> ArrivalClock {
        ArrivalClock { reported_at: now, arrived_at: now }
    }

    /// Records a call that began at `called_at` and returned at `returned_at`.
    pub fn poll_returned(&mut self, called_at: Instant, timeout: Duration, returned_at: Instant) {
        let elapsed = returned_at.duration_since(called_at);
        let waited = elapsed.min(timeout);
        let overrun = elapsed - waited;
        let has_waited = waited >= MIN_WAIT;
        // Input that was there when the call began can have arrived at any time since the call before.
        let busy = if has_waited { Duration::ZERO } else { called_at.duration_since(self.reported_at) };
        self.arrived_at = returned_at - (overrun + busy);
        self.reported_at = returned_at;
    }

    /// Records a call that was interrupted and reported nothing, as when the process is stopped and
    /// continued.
    pub fn poll_interrupted(&mut self) {
        self.arrived_at = self.reported_at;
    }

    /// The earliest time at which the input that the latest call reported can have arrived.
    pub fn arrived_at(&self) -> Instant {
        self.arrived_at
    }
}

#[cfg(test)]
mod tests;
