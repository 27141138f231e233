//! Start times of backends, translated to the host's time.
//!
//! Discovery reports Unix times from wall clocks that may be stepped, on this machine and on others, while
//! the age of a backend is a span of real time. Two starts are distinguished by their reported Unix times.
//! If a Unix time can be translated in several ways, the one with the lowest age applies, so that slow
//! start is not skipped.

use crate::{BackendId, Duration, Instant, UnixTime};
use std::collections::HashMap;

/// Maximum time by which a start may lie in the future, since clocks differ slightly. A start further ahead
/// was read from a clock with another offset.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);
/// Maximum time between a backend's restart and the list with its new start, while discovery can be
/// reached.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(6);

/// Offsets of the wall clock from the host's time, in microseconds. The host's time is set to the Unix time
/// once and is never stepped.
#[derive(Clone, Copy, Default)]
struct ClockOffsets {
    /// Offset at the latest reading.
    latest: i64,
    lowest: i64,
    highest: i64,
}

impl ClockOffsets {
    /// Records a reading of the wall clock.
    fn observe(&mut self, now: Instant, unix_now: UnixTime) {
        self.latest = unix_now.as_micros() as i64 - now.as_micros() as i64;
        self.lowest = self.lowest.min(self.latest);
        self.highest = self.highest.max(self.latest);
    }

    /// Returns the lowest possible age of a process that started at a Unix time, over all recorded offsets;
    /// zero if it started in the future by all of them.
    ///
    /// The offset 0, with which the host's time begins, counts as a reading. It lies between the lowest and
    /// the highest offset, but it is listed separately because the age by the lowest offset may be
    /// impossible.
    fn min_age(&self, now: Instant, unix_start: UnixTime) -> Duration {
        let offsets = [0, self.latest, self.lowest, self.highest];
        let ages = offsets.map(|offset| now.as_micros() as i64 + offset - unix_start.as_micros() as i64);
        let max_skew = MAX_CLOCK_SKEW.as_micros() as i64;
        let possible = ages.into_iter().filter(|age| *age >= -max_skew);
        Duration::from_micros(possible.min().unwrap_or(0).max(0) as u64)
    }
}

/// Start of a backend.
#[derive(Clone, Copy)]
struct Start {
    /// Start as reported by discovery.
    unix_time: UnixTime,
    /// Start in the host's time; `None` if it was long ago.
    host_time: Option<Instant>,
}

/// Translates the start times of the listed backends to the host's time.
#[derive(Default)]
pub struct StartTimes {
    /// Wall clock offsets recorded so far.
    offsets: ClockOffsets,
    /// Starts of the listed backends.
    starts: HashMap<BackendId, Start>,
    /// Time of the latest snapshot or delta from discovery.
    last_update_at: Option<Instant>,
}

impl StartTimes {
    /// Records a reading of the wall clock. Start times that discovery reports later may come from a clock
    /// with the same offset.
    pub fn observe_clock(&mut self, now: Instant, unix_now: UnixTime) {
        self.offsets.observe(now, unix_now);
    }

    /// Records that a snapshot or delta from discovery was applied completely, even an empty one.
    pub fn record_endpoint_update(&mut self, now: Instant) {
        self.last_update_at = Some(now);
    }

    /// Returns the start of a backend in the host's time, from the Unix time in the endpoint list. Returns
    /// `None` if the Unix time is zero, which means that the backend started long ago.
    pub fn host_time(&mut self, backend: BackendId, unix_time: UnixTime, now: Instant) -> Option<Instant> {
        let known = self.starts.get(&backend).copied();
        if let Some(known) = known.filter(|known| known.unix_time == unix_time) {
            return known.host_time;
        }
        let host_time = (unix_time != UnixTime::default()).then(|| {
            let age = self.offsets.min_age(now, unix_time);
            // The backend cannot have restarted before the last update that listed its previous start.
            let max_age = known
                .and(self.last_update_at)
                .map_or(Duration::MAX, |listed_at| now.duration_since(listed_at) + MAX_LISTING_DELAY);
            now - age.min(max_age)
        });
        self.starts.insert(backend, Start { unix_time, host_time });
        host_time
    }

    /// Removes a backend that is no longer listed.
    pub fn remove(&mut self, backend: BackendId) {
        self.starts.remove(&backend);
    }
}

#[cfg(test)]
mod tests;
