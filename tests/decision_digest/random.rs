//! Pseudo-random numbers for the stream of events.

use ingress::*;

/// A splitmix64 generator.
pub struct Random {
    state: u64,
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    pub fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns the next number modulo `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns `true` with a probability of `share` percent.
    pub fn percent(&mut self, share: u64) -> bool {
        self.below(100) < share
    }

    /// Returns a duration of at least `least` and less than `most`.
    pub fn between(&mut self, least: Duration, most: Duration) -> Duration {
        least + Duration::from_micros(self.below((most - least).as_micros()))
    }
}
