//! Determines for how long a connection may be idle and still be reused, from the results of earlier reuses.

use ingress::Duration;

/// The greatest accepted fraction of reuses that find the connection dead.
const MAX_STALE_FRACTION: f64 = 0.2;
/// The fewest reuses from which the fraction is computed.
const MIN_USES: f64 = 3.0;
/// The factor on all counts at each sweep. It halves them in 23 sweeps, which with the interval of
/// `SWEEP_INTERVAL` in `event_loop/timers.rs` take 11.5 s.
const DECAY_FACTOR_PER_SWEEP: f64 = 0.97;
/// The number of buckets by idle time. Each is twice as long as the one before; the first one ends at 2 ms.
const BUCKET_COUNT: usize = 16;

/// The result of the reuse of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// The connection worked.
    Alive,
    /// It was dead: it was reset at once.
    Stale,
}

/// The reuses after the idle times of one bucket, with decay.
#[derive(Clone, Copy, Default)]
struct Bucket {
    /// All reuses.
    uses: f64,
    /// Those that found the connection dead.
    stale_uses: f64,
}

impl Bucket {
    /// Whether connections with such an idle time should not be reused.
    fn is_stale(&self) -> bool {
        self.uses >= MIN_USES && self.stale_uses > self.uses * MAX_STALE_FRACTION
    }
}

/// Counts the results of reuses by the idle time before them.
///
/// On some networks a connection is dead after a fraction of a second without traffic. That shows only once a
/// command is written, which then counts as possibly executed and often cannot be retried. So idle times
/// after which many reuses fail are avoided.
#[derive(Default)]
pub struct IdleReuseTracker {
    /// By the binary logarithm of the idle milliseconds.
    buckets: [Bucket; BUCKET_COUNT],
}

impl IdleReuseTracker {
    /// Records the reuse of a connection that had been idle for `idle_time`.
    pub fn record(&mut self, idle_time: Duration, reuse: ReuseOutcome) {
        let index = idle_time.as_millis().max(1).ilog2() as usize;
        let bucket = &mut self.buckets[index.min(BUCKET_COUNT - 1)];
        bucket.uses += 1.0;
        if reuse == ReuseOutcome::Stale {
            bucket.stale_uses += 1.0;
        }
    }

    /// For how long a connection may be idle and still be reused.
    pub fn max_idle_time(&self) -> Duration {
        let shortest_stale = self.buckets.iter().position(Bucket::is_stale);
        shortest_stale.map_or(Duration::MAX, |index| Duration::from_millis(1 << index))
    }

    /// Decays the counts; called at each sweep.
    pub fn decay(&mut self) {
        for bucket in &mut self.buckets {
            bucket.uses *= DECAY_FACTOR_PER_SWEEP;
            bucket.stale_uses *= DECAY_FACTOR_PER_SWEEP;
        }
    }
}

#[cfg(test)]
mod tests;
