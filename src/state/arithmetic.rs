//! Exponential decay and seeded pseudo-random draws.

use crate::{time, Duration, Instant};

/// Microseconds per second, as a floating-point number.
pub(crate) const MICROS_PER_SECOND: f64 = time::MICROS_PER_SECOND as f64;

/// Returns the factor by which an exponentially decaying value has decreased between two times: 1/e after one
/// time constant, and 1 if `to` is not later than `from`.
pub(crate) fn decay(from: Instant, to: Instant, time_constant: Duration) -> f64 {
    if from >= to {
        1.0
    } else {
        (-to.duration_since(from).as_secs_f64() / time_constant.as_secs_f64()).exp()
    }
}

/// The odd number nearest to 2^64 divided by the golden ratio. Its multiples are distributed evenly over 64
/// bits.
pub(crate) const GOLDEN_RATIO_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns a pseudo-random number in `0.0..1.0` that depends on the seed alone (splitmix64).
pub(crate) fn unit_draw(seed: u64) -> f64 {
    let mut bits = seed.wrapping_mul(GOLDEN_RATIO_MULTIPLIER);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Shifts numbers to a fixed bit of the seed of a [`unit_draw`]. The result is combined with the seed by
/// exclusive or, so that draws for different numbers are independent.
#[derive(Clone, Copy)]
pub(crate) struct Salt {
    /// Bit of the seed at which numbers begin.
    first_bit: u32,
}

impl Salt {
    /// Creates a salt whose numbers begin at this bit of the seed, from 0 to 63.
    pub(crate) const fn from_bit(first_bit: u32) -> Salt {
        Salt { first_bit }
    }

    /// Returns the bits to combine with the seed for a number. Bits beyond the 64th are discarded.
    pub(crate) const fn of(self, number: u64) -> u64 {
        number << self.first_bit
    }
}

/// An exponentially decaying rate of events.
#[derive(Default)]
pub(crate) struct DecayingRate {
    /// Rate at `updated_at`.
    per_second: f64,
    /// Time of the latest event.
    updated_at: Instant,
}

impl DecayingRate {
    /// Returns the rate after its decay until `now`, in events per second.
    pub(crate) fn at(&self, now: Instant, time_constant: Duration) -> f64 {
        self.per_second * decay(self.updated_at, now, time_constant)
    }

    /// Records one event.
    pub(crate) fn record(&mut self, now: Instant, time_constant: Duration) {
        self.per_second = self.at(now, time_constant) + 1.0 / time_constant.as_secs_f64();
        self.updated_at = now;
    }
}

/// An exponentially weighted moving average that decays to 0 without new samples.
#[derive(Clone, Default)]
pub(crate) struct DecayingAverage {
    /// Average at `updated_at`.
    value: f64,
    /// Time of the latest sample.
    updated_at: Instant,
}

impl DecayingAverage {
    /// Returns the average after its decay until `now`.
    pub(crate) fn at(&self, now: Instant, time_constant: Duration) -> f64 {
        self.value * decay(self.updated_at, now, time_constant)
    }

    /// Adds a sample with a weight from 0 to 1.
    pub(crate) fn record(&mut self, now: Instant, sample: f64, weight: f64, time_constant: Duration) {
        let before = self.at(now, time_constant);
        self.value = before + weight * (sample - before);
        self.updated_at = now;
    }
}
