//! Estimates how long a connection can be idle and still be reused, from the outcomes of earlier reuses.

use ingress::Duration;

/// Maximum accepted fraction of reuses that find a stale connection.
const MAX_STALE_FRACTION: f64 = 0.2;
/// Minimum number of reuses from which the fraction is computed.
const MIN_USES: f64 = 3.0;
/// Factor applied to all counts at each sweep. Halves them in 23 sweeps, which take 11.5 s with
/// `SWEEP_INTERVAL` of `event_loop/timers.rs`.
const DECAY_FACTOR_PER_SWEEP: f64 = 0.97;
/// Number of buckets by idle time. The first one ends at 2 ms, each further one at twice the end of the
/// previous one.
const BUCKET_COUNT: usize = 16;

/// Outcome of reusing an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// The connection still worked.
    Alive,
    /// The connection failed at once, before a byte of the reply arrived.
    Stale,
}

/// Decaying counts of the reuses after a range of idle times.
#[derive(Clone, Copy, Default)]
struct Bucket {
    uses: f64,
    stale_uses: f64,
}

impl Bucket {
    /// Returns whether connections should not be reused after the idle times of this bucket.
    fn is_stale(&self) -> bool {
        self.uses >= MIN_USES && self.stale_uses > self.uses * MAX_STALE_FRACTION
    }
}

/// Counts the outcomes of reuses by idle time, to avoid idle times after which many reuses fail.
///
/// Some networks drop a connection after a fraction of a second without traffic. This is detected only when a
/// command is written, which then counts as possibly executed and often cannot be retried.
#[derive(Default)]
pub struct IdleReuseTracker {
    /// Indexed by the binary logarithm of the idle time in milliseconds.
    buckets: [Bucket; BUCKET_COUNT],
}

impl IdleReuseTracker {
    /// Records the outcome of reusing a connection after `idle_time`.
    pub fn record(&mut self, idle_time: Duration, reuse: ReuseOutcome) {
        let index = idle_time.as_millis().max(1).ilog2() as usize;
        let bucket = &mut self.buckets[index.min(BUCKET_COUNT - 1)];
        bucket.uses += 1.0;
        if reuse == ReuseOutcome::Stale {
            bucket.stale_uses += 1.0;
        }
    }

    /// Returns the maximum idle time after which a connection may be reused.
    pub fn max_idle_time(&self) -> Duration {
        let shortest_stale = self.buckets.iter().position(Bucket::is_stale);
        shortest_stale.map_or(Duration::MAX, |index| Duration::from_millis(1 << index))
    }

    /// Decays the counts. Called at each sweep.
    pub fn decay(&mut self) {
        for bucket in &mut self.buckets {
            bucket.uses *= DECAY_FACTOR_PER_SWEEP;
            bucket.stale_uses *= DECAY_FACTOR_PER_SWEEP;
        }
    }
}

#[cfg(test)]
mod tests;
