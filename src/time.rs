//! Points in time and durations, in whole microseconds.
//!
//! The library reads no clock: the host passes the time with each event. These types replace those of the
//! standard library because the host may simulate its clock, and because sums in microseconds are exact.
//! Arithmetic saturates at zero and at the maximum value.

use std::fmt;
use std::ops::{Add, AddAssign, Div, Mul, Sub};

const MICROS_PER_MILLI: u64 = 1_000;
pub(crate) const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point in time on the host's monotonic clock.
///
/// The host has to start its clock at the approximate Unix time: gateways have to agree on the numbers of
/// periods ([`Instant::period_index`]), and the start time of a process distinguishes it from earlier ones.
/// For all other purposes only comparisons and differences are meaningful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The origin of the host's clock.
    pub const ZERO: Instant = Instant(0);
    /// The latest point in time, which is never reached.
    pub const FAR_FUTURE: Instant = Instant(u64::MAX);

    /// Creates a point from the microseconds since the origin of the host's clock.
    pub const fn from_micros(micros: u64) -> Instant {
        Instant(micros)
    }

    /// Returns the microseconds since the origin of the host's clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is the later one.
    pub const fn duration_since(self, earlier: Instant) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }

    /// Adds a duration like `+`, but also in constants.
    #[must_use]
    pub const fn saturating_add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(duration.0))
    }

    /// Returns the index of the period that contains this point, where the first period starts at the origin
    /// of the clock.
    ///
    /// # Panics
    ///
    /// Panics if the period is zero.
    pub const fn period_index(self, period: Duration) -> u64 {
        self.0 / period.0
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    /// Returns the point that is later by a duration, at most [`Instant::FAR_FUTURE`].
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

    /// Returns the point that is earlier by a duration, at least [`Instant::ZERO`].
    fn sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(duration.0))
    }
}

/// A non-negative length of time.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duration(u64);

impl fmt::Debug for Duration {
    /// Writes the number with its unit like the type of the standard library, such as `250ms`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        std::time::Duration::from_micros(self.0).fmt(formatter)
    }
}

impl Duration {
    /// A duration of 0 µs.
    pub const ZERO: Duration = Duration(0);
    /// A duration of 1 µs, the shortest one that is not zero.
    pub const MICROSECOND: Duration = Duration(1);
    /// The longest duration, used for limits that never apply.
    pub const MAX: Duration = Duration(u64::MAX);

    /// Creates a duration from microseconds.
    pub const fn from_micros(micros: u64) -> Duration {
        Duration(micros)
    }

    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(seconds: u64) -> Duration {
        Duration(seconds.saturating_mul(MICROS_PER_SECOND))
    }

    /// Creates a duration from seconds, truncated to whole microseconds. The result is zero for negative
    /// numbers and NaN, and [`Duration::MAX`] for numbers that are too large.
    pub fn from_secs_f64(seconds: f64) -> Duration {
        Duration((seconds * MICROS_PER_SECOND as f64) as u64)
    }

    /// Returns the number of microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the number of microseconds as a floating-point number.
    pub const fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// Returns the number of whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the number of milliseconds, including the fractional part.
    pub const fn as_millis_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_MILLI as f64
    }

    /// Returns the number of whole milliseconds, rounded up.
    pub const fn as_millis_ceil(self) -> u64 {
        self.0.div_ceil(MICROS_PER_MILLI)
    }

    /// Returns the number of whole seconds, rounded down.
    pub const fn as_secs(self) -> u64 {
        self.0 / MICROS_PER_SECOND
    }

    /// Returns the number of seconds, including the fractional part.
    pub const fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Returns `true` if the duration spans no time.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Returns the product with a factor, truncated to whole microseconds; zero for a negative factor or NaN.
    #[must_use]
    pub fn mul_f64(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as u64)
    }
}

impl Add for Duration {
    type Output = Duration;

    /// Returns the sum, at most [`Duration::MAX`].
    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

impl Sub for Duration {
    type Output = Duration;

    /// Returns the difference, or zero if the other duration is longer.
    fn sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for Duration {
    type Output = Duration;

    /// Returns the multiple, at most [`Duration::MAX`].
    fn mul(self, factor: u64) -> Duration {
        Duration(self.0.saturating_mul(factor))
    }
}

impl Div<u64> for Duration {
    type Output = Duration;

    /// Returns the quotient, truncated to whole microseconds.
    fn div(self, divisor: u64) -> Duration {
        Duration(self.0 / divisor)
    }
}

/// A point in time on a wall clock, as time since 1970-01-01 00:00 UTC.
///
/// Wall clocks are stepped and differ between machines. Only [`StartTimes`](crate::StartTimes) compares their
/// times with the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixTime(u64);

impl UnixTime {
    /// Creates a point from the microseconds since the Unix epoch.
    pub const fn from_micros(micros: u64) -> UnixTime {
        UnixTime(micros)
    }

    /// Returns the microseconds since the Unix epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

#[cfg(test)]
mod tests;
