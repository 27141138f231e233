//! Points in time and spans of time, in whole microseconds.
//!
//! The decisions never read a clock: the host passes the time with each event. These types are used in place
//! of those of the standard library because the host may simulate its clock, and because the sums that decide
//! are exact in microseconds. Arithmetic saturates: what would lie before zero is zero, and what would lie
//! beyond the greatest value is that value.

use std::fmt;
use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;
/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point in time on the host's monotonic clock.
///
/// The clock has to begin with the Unix time at the host's start, roughly: the numbers of periods
/// ([`Instant::period_index`]) have to agree between gateways, and the start of a process tells it from
/// earlier ones. Otherwise only comparisons and differences mean something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The beginning of the host's clock.
    pub const ZERO: Instant = Instant(0);
    /// A time that never comes.
    pub const FAR_FUTURE: Instant = Instant(u64::MAX);

    /// The point so many microseconds after the beginning of the host's clock.
    pub const fn from_micros(micros: u64) -> Instant {
        Instant(micros)
    }

    /// Microseconds since the beginning of the host's clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time that has passed since an earlier point; zero if that point is later.
    pub const fn duration_since(self, earlier: Instant) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }

    /// The point a duration later, as `+` gives it, also in constants.
    #[must_use]
    pub const fn saturating_add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(duration.0))
    }

    /// The number of the period that this point lies in, where periods follow each other from the beginning
    /// of the clock.
    ///
    /// # Panics
    ///
    /// If the period is zero.
    pub const fn period_index(self, period: Duration) -> u64 {
        self.0 / period.0
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    /// The point a duration later; [`Instant::FAR_FUTURE`] where there is none.
    fn add(self, duration: Duration) -> Instant {
        self.saturating_add(duration)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    /// The point a duration earlier; [`Instant::ZERO`] where there is none.
    fn sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(duration.0))
    }
}

/// A duration of time.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duration(u64);

impl fmt::Debug for Duration {
    /// The number with its unit, as of the type of the standard library: `250ms`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        std::time::Duration::from_micros(self.0).fmt(formatter)
    }
}

impl Duration {
    /// No time.
    pub const ZERO: Duration = Duration(0);
    /// The shortest duration.
    pub const MICROSECOND: Duration = Duration(1);
    /// The longest duration: forever.
    pub const MAX: Duration = Duration(u64::MAX);

    /// So many microseconds.
    pub const fn from_micros(micros: u64) -> Duration {
        Duration(micros)
    }

    /// So many milliseconds.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// So many seconds.
    pub const fn from_secs(seconds: u64) -> Duration {
        Duration(seconds.saturating_mul(MICROS_PER_SECOND))
    }

    /// So many seconds, cut to whole microseconds; zero for a negative number or none, [`Duration::MAX`] for
    /// one that is too large.
    pub fn from_secs_f64(seconds: f64) -> Duration {
        Duration((seconds * MICROS_PER_SECOND as f64) as u64)
    }

    /// In microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// In microseconds, for sums with fractions.
    pub const fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// In whole milliseconds, cut.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// In milliseconds with fractions.
    pub const fn as_millis_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_MILLI as f64
    }

    /// In whole milliseconds, rounded up.
    pub const fn as_millis_ceil(self) -> u64 {
        self.0.div_ceil(MICROS_PER_MILLI)
    }

    /// In whole seconds, cut.
    pub const fn as_secs(self) -> u64 {
        self.0 / MICROS_PER_SECOND
    }

    /// In seconds.
    pub const fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Whether it is no time at all.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// This duration times a factor, cut to whole microseconds; zero for a negative factor.
    #[must_use]
    pub fn mul_f64(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as u64)
    }
}

impl Add for Duration {
    type Output = Duration;

    /// The sum; [`Duration::MAX`] where it is too long.
    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

impl Sub for Duration {
    type Output = Duration;

    /// The difference; zero where the other duration is longer.
    fn sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for Duration {
    type Output = Duration;

    /// The multiple; [`Duration::MAX`] where it is too long.
    fn mul(self, factor: u64) -> Duration {
        Duration(self.0.saturating_mul(factor))
    }
}

impl Div<u64> for Duration {
    type Output = Duration;

    /// A part of it, cut to whole microseconds.
    fn div(self, divisor: u64) -> Duration {
        Duration(self.0 / divisor)
    }
}

/// A point in time on a wall clock: the time since 1970-01-01 00:00 UTC.
///
/// Wall clocks are stepped and differ between machines; [`StartTimes`](crate::StartTimes) alone compares
/// their times with the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixTime(u64);

impl UnixTime {
    /// The point so many microseconds after the beginning of 1970.
    pub const fn from_micros(micros: u64) -> UnixTime {
        UnixTime(micros)
    }

    /// Microseconds since the beginning of 1970.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

#[cfg(test)]
mod tests;
