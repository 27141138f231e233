//! Arithmetic that the records share.

use crate::{time, Duration, Instant};

/// Microseconds in a second, for sums with fractions.
pub(crate) const MICROS_PER_SECOND: f64 = time::MICROS_PER_SECOND as f64;

/// What is left at one time of a value of 1 at another that decays exponentially: 1/e after the time
/// constant. Nothing has decayed where the times are in the wrong order.
pub(crate) fn decay(from: Instant, to: Instant, time_constant: Duration) -> f64 {
    if from >= to {
        1.0
    } else {
        (-to.duration_since(from).as_secs_f64() / time_constant.as_secs_f64()).exp()
    }
}

/// The odd number nearest to 2^64 over the golden ratio: multiples of it are spread evenly over 64 bits.
pub(crate) const GOLDEN_RATIO_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// A number from 0 to 1, less than 1, that looks random and follows from the seed (splitmix64).
pub(crate) fn unit_draw(seed: u64) -> f64 {
    let mut bits = seed.wrapping_mul(GOLDEN_RATIO_MULTIPLIER);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Mixes a further number into the seed of a [`unit_draw`], by exclusive or: draws that differ in it are
/// independent.
#[derive(Clone, Copy)]
pub(crate) struct Salt {
    /// The bit of the seed at which the number begins.
    first_bit: u32,
}

impl Salt {
    /// A salt that puts the number at this bit of the seed, from 0 to 63.
    pub(crate) const fn from_bit(first_bit: u32) -> Salt {
        Salt { first_bit }
    }

    /// What is mixed into the seed for a number; bits beyond the 64th are lost.
    pub(crate) const fn of(self, number: u64) -> u64 {
        number << self.first_bit
    }
}

/// Events a second, of which old ones count less and less.
#[derive(Default)]
pub(crate) struct DecayingRate {
    /// As of the latest event.
    per_second: f64,
    /// When that was.
    updated_at: Instant,
}

impl DecayingRate {
    /// The rate now.
    pub(crate) fn at(&self, now: Instant, time_constant: Duration) -> f64 {
        self.per_second * decay(self.updated_at, now, time_constant)
    }

    /// Counts one event.
    pub(crate) fn record(&mut self, now: Instant, time_constant: Duration) {
        self.per_second = self.at(now, time_constant) + 1.0 / time_constant.as_secs_f64();
        self.updated_at = now;
    }
}

/// A mean in which new samples have a weight, and which falls to 0 by itself.
#[derive(Clone, Default)]
pub(crate) struct DecayingAverage {
    /// As of the latest sample.
    value: f64,
    /// When that was.
    updated_at: Instant,
}

impl DecayingAverage {
    /// The mean now.
    pub(crate) fn at(&self, now: Instant, time_constant: Duration) -> f64 {
        self.value * decay(self.updated_at, now, time_constant)
    }

    /// Takes in a sample.
    pub(crate) fn record(&mut self, now: Instant, sample: f64, weight: f64, time_constant: Duration) {
        let before = self.at(now, time_constant);
        self.value = before + weight * (sample - before);
        self.updated_at = now;
    }
}
