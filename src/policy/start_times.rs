//! When backends started, in the host's time. Discovery gives Unix times, by wall clocks that may be stepped,
//! here and elsewhere; a backend's age is a span of real time. What tells one start from another is the Unix
//! time as it was given; where it can be read in several ways, the one that makes the backend colder counts.

use crate::{BackendId, Duration, Instant, UnixTime};
use std::collections::HashMap;

/// How far in the future a start may seem to lie: clocks differ a little. One further off was read by the
/// wrong clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);
/// How much later than its start a backend's new start may be listed, while discovery can be reached.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(6);

/// By how much the wall clock was ahead of the host's time, which begins as Unix time and goes on steadily.
#[derive(Clone, Copy, Default)]
struct ClockOffsets {
    /// At the latest reading, in microseconds.
    latest: i64,
    /// The least there was, in microseconds.
    lowest: i64,
    /// The most there was, in microseconds.
    highest: i64,
}

impl ClockOffsets {
    /// Takes in a reading of the wall clock.
    fn observe(&mut self, now: Instant, unix_now: UnixTime) {
        self.latest = unix_now.as_micros() as i64 - now.as_micros() as i64;
        self.lowest = self.lowest.min(self.latest);
        self.highest = self.highest.max(self.latest);
    }

    /// The least age, by any of the clock readings there were, of what started at a Unix time; nothing if it
    /// started in the future by all of them.
    ///
    /// An offset of 0, with which the host's time begins, is a reading, too. It lies between the lowest and
    /// the highest, and it is listed by itself since the age by the lowest may be impossible.
    fn min_age(&self, now: Instant, unix_start: UnixTime) -> Duration {
        let offsets = [0, self.latest, self.lowest, self.highest];
        let ages = offsets.map(|offset| now.as_micros() as i64 + offset - unix_start.as_micros() as i64);
        let max_skew = MAX_CLOCK_SKEW.as_micros() as i64;
        let possible = ages.into_iter().filter(|age| *age >= -max_skew);
        Duration::from_micros(possible.min().unwrap_or(0).max(0) as u64)
    }
}

/// A backend's start.
#[derive(Clone, Copy)]
struct Start {
    /// As discovery gives it.
    unix_time: UnixTime,
    /// In the host's time; none for long ago.
    host_time: Option<Instant>,
}

/// The starts of the backends that are listed.
#[derive(Default)]
pub struct StartTimes {
    /// How the wall clock was read so far.
    offsets: ClockOffsets,
    /// The start of each listed backend.
    starts: HashMap<BackendId, Start>,
    /// When discovery last sent a list or a change.
    last_update_at: Option<Instant>,
}

impl StartTimes {
    /// Takes in a reading of the wall clock, by which starts may be given from now on.
    pub fn observe_clock(&mut self, now: Instant, unix_now: UnixTime) {
        self.offsets.observe(now, unix_now);
    }

    /// Notes that a list or change of discovery has been taken in whole, even an empty one.
    pub fn record_endpoint_update(&mut self, now: Instant) {
        self.last_update_at = Some(now);
    }

    /// When a backend started, in the host's time, by the Unix time that it is listed with; none for long
    /// ago, which a Unix time of zero says.
    pub fn host_time(&mut self, backend: BackendId, unix_time: UnixTime, now: Instant) -> Option<Instant> {
        let known = self.starts.get(&backend).copied();
        if let Some(known) = known.filter(|known| known.unix_time == unix_time) {
            return known.host_time;
        }
        let host_time = (unix_time != UnixTime::default()).then(|| {
            let age = self.offsets.min_age(now, unix_time);
            // It had not started anew when its earlier start was still listed.
            let most = known
                .and(self.last_update_at)
                .map_or(Duration::MAX, |listed_at| now.duration_since(listed_at) + MAX_LISTING_DELAY);
            now - age.min(most)
        });
        self.starts.insert(backend, Start { unix_time, host_time });
        host_time
    }

    /// Forgets a backend that is no longer listed.
    pub fn remove(&mut self, backend: BackendId) {
        self.starts.remove(&backend);
    }
}

#[cfg(test)]
mod tests;
