//! When what the poll reports can have arrived. The loop reads its clock once the poll has returned; a process that was
//! held up before that, as on an overloaded machine, finds what came meanwhile, and clients' time is running.

use ingress::{Duration, Instant};

/// A call of the poll that took at least so long has waited: nothing was there when it began.
const LEAST_WAIT: Duration = Duration::from_millis(1);

/// Follows the calls of the poll.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalClock {
    /// When the last call that reported anything, if only that nothing came, has returned.
    reported_at: Instant,
    /// When what the latest call reported has arrived, at the earliest.
    arrived_at: Instant,
}

impl ArrivalClock {
    /// Nothing was reported yet.
    pub fn new(now: Instant) -> ArrivalClock {
        ArrivalClock { reported_at: now, arrived_at: now }
    }

    /// Takes note of a call that began at a time, was to wait for so long at the most, and has returned.
    pub fn poll_returned(&mut self, called_at: Instant, timeout: Duration, returned_at: Instant) {
        let elapsed = returned_at.duration_since(called_at);
        let waited = elapsed.min(timeout);
        let overslept = elapsed - waited;
        let busy =
            if waited < LEAST_WAIT { called_at.duration_since(self.reported_at) } else { Duration::ZERO };
        self.arrived_at = returned_at - (overslept + busy);
        self.reported_at = returned_at;
    }

    /// Takes note of a call that was interrupted, and has reported nothing: a process that is stopped and continued
    /// returns from it like that.
    pub fn poll_interrupted(&mut self) {
        self.arrived_at = self.reported_at;
    }

    /// When what the latest call reported has arrived, at the earliest; no more than a wait of the poll too late.
    pub fn arrived_at(&self) -> Instant {
        self.arrived_at
    }
}

#[cfg(test)]
mod tests;
