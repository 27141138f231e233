//! How long a connection may be idle and still be used again, learned from how such uses end.

use ingress::Duration;

/// The fraction of uses after some idle time that may find the connection stale.
const MAX_STALE_FRACTION: f64 = 0.2;
/// The fewest uses after some idle time from which a fraction is taken.
const MIN_USES: f64 = 3.0;
/// What a sweep leaves of the counts: half of them in some ten seconds.
const RETAINED_PER_SWEEP: f64 = 0.97;
/// Classes of idle time, each twice as long as the one before; the first one ends at 2 ms.
const BUCKET_COUNT: usize = 16;

/// How the use of an idle connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleReuse {
    /// The connection worked.
    Alive,
    /// It was reset at once.
    Stale,
}

/// The uses after one class of idle times, with older ones decayed.
#[derive(Clone, Copy, Default)]
struct Bucket {
    /// All of them.
    uses: f64,
    /// Those that found the connection stale.
    stale_uses: f64,
}

impl Bucket {
    /// Whether connections that were idle for such a time should not be used.
    fn is_stale(&self) -> bool {
        self.uses >= MIN_USES && self.stale_uses > self.uses * MAX_STALE_FRACTION
    }
}

/// Counts how uses of idle connections end, by the idle time before: on some networks a connection that is idle for a
/// fraction of a second is dead, and shows it only once the next command is written, which may have been executed.
#[derive(Default)]
pub struct IdleReuseTracker {
    /// By the binary logarithm of the idle milliseconds.
    buckets: [Bucket; BUCKET_COUNT],
}

impl IdleReuseTracker {
    /// Records the use of a connection that had been idle for `idle_time`.
    pub fn record(&mut self, idle_time: Duration, reuse: IdleReuse) {
        let index = idle_time.as_millis().max(1).ilog2() as usize;
        let bucket = &mut self.buckets[index.min(BUCKET_COUNT - 1)];
        bucket.uses += 1.0;
        if reuse == IdleReuse::Stale {
            bucket.stale_uses += 1.0;
        }
    }

    /// How long a connection may be idle and still be used.
    pub fn max_idle_time(&self) -> Duration {
        let shortest_stale = self.buckets.iter().position(Bucket::is_stale);
        shortest_stale.map_or(Duration::MAX, |index| Duration::from_millis(1 << index))
    }

    /// Lets the past count for less; called at each sweep.
    pub fn decay(&mut self) {
        for bucket in &mut self.buckets {
            bucket.uses *= RETAINED_PER_SWEEP;
            bucket.stale_uses *= RETAINED_PER_SWEEP;
        }
    }
}
