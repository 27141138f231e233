//! The cost of sending an attempt to a backend: a product of factors, each 1 where it speaks neither for the
//! backend nor against it.

/// The most that the cost grows by chance, as a share: candidates that are alike don't tie the same way each
/// time.
const MAX_JITTER: f64 = 0.1;
/// The fractional part of the golden ratio: multiples of it are spread evenly, so that the jitter of the
/// candidates of a choice differs.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_034;
/// Factor for a backend in another zone.
const OTHER_ZONE_FACTOR: f64 = 1.05;
/// What a failure rate of 1 adds to a factor of 1.
const FAILURE_RATE_WEIGHT: f64 = 10.0;
/// Factor for a backend that an earlier attempt of the request went to.
const TRIED_FACTOR: f64 = 8.0;
/// Factor for an ejected backend. It is avoided, but not shut out: where most backends are ejected, the
/// healthy ones would be overloaded by all the requests. The ejected backend is chosen before a healthy one
/// with more than this many times its [`load`](Candidate::load), other factors being equal.
const EJECTED_FACTOR: f64 = 10.0;
/// A reported queue is divided among the gateways, but among so many at most.
const MAX_QUEUE_DIVISOR: u64 = 4;
/// Failure rate above which a backend is suspect: the choice goes on in search of healthy ones.
const SUSPECT_FAILURE_RATE: f64 = 0.4;

/// What the cost of a candidate depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Attempts of this gateway in flight there.
    pub in_flight: u32,
    /// Requests of all gateways that may wait there.
    pub queue_depth: f64,
    /// Gateways that share the backends.
    pub fleet_size: u64,
    /// Whether it is in the zone of this gateway.
    pub in_own_zone: bool,
    /// The share of recent attempts that failed there, from 0 to 1.
    pub failure_rate: f64,
    /// Whether an earlier attempt of the request went there.
    pub was_tried: bool,
    /// Whether it is ejected.
    pub is_ejected: bool,
    /// How much of the load it should get, relative to others; 1 where it was drawn by that already.
    pub weight: f64,
    /// The number from 0 to 1 that is drawn for the choice.
    pub draw: f64,
    /// The number of the candidate within the choice.
    pub step: usize,
}

impl Candidate {
    /// What it would cost to send it the attempt, relative to an idle backend without a fault in the same
    /// zone, which costs between 1 and 1.1 if its weight is 1.
    pub(super) fn cost(&self) -> f64 {
        let risk = self.failure_factor() * if self.was_tried { TRIED_FACTOR } else { 1.0 };
        let distance = if self.in_own_zone { 1.0 } else { OTHER_ZONE_FACTOR };
        let ejection = if self.is_ejected { EJECTED_FACTOR } else { 1.0 };
        self.load() * self.jitter() * distance * risk / self.weight * ejection
    }

    /// Whether healthier candidates are to be looked for.
    pub(super) fn is_suspect(&self) -> bool {
        self.is_ejected || self.failure_rate > SUSPECT_FAILURE_RATE
    }

    /// Requests there with this attempt, as far as they concern this gateway.
    fn load(&self) -> f64 {
        let queue_divisor = self.fleet_size.min(MAX_QUEUE_DIVISOR);
        f64::from(self.in_flight) + 1.0 + self.queue_depth / queue_divisor as f64
    }

    /// A factor from 1 to 1.1, by chance.
    fn jitter(&self) -> f64 {
        let draw = (self.draw + self.step as f64 * GOLDEN_RATIO_FRACTION) % 1.0;
        1.0 + MAX_JITTER * draw
    }

    /// A factor from 1 to 11, by the failure rate.
    fn failure_factor(&self) -> f64 {
        1.0 + FAILURE_RATE_WEIGHT * self.failure_rate
    }
}

#[cfg(test)]
mod tests;
