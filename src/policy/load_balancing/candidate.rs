//! Cost of sending an attempt to a backend: a product of factors, each of which is 1 if it is neutral.

/// Maximum random increase of the cost, as a share of it, so that ties between equal candidates are not
/// always resolved the same way.
const MAX_JITTER: f64 = 0.1;
/// Fractional part of the golden ratio. Its multiples are evenly distributed, so the jitter differs between
/// the candidates of a choice.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_034;
/// Factor for a backend in another zone.
const OTHER_ZONE_FACTOR: f64 = 1.05;
/// Increase of the failure factor at a failure rate of 1.
const FAILURE_RATE_WEIGHT: f64 = 10.0;
/// Factor for a backend that received an earlier attempt of the request.
const TRIED_FACTOR: f64 = 8.0;
/// Factor for an ejected backend. It is avoided but not excluded: if most backends are ejected, all
/// requests together would overload the healthy ones. With other factors equal, the ejected backend is
/// chosen before a healthy one with more than this many times its [`load`](Candidate::load).
const EJECTED_FACTOR: f64 = 10.0;
/// Maximum number of gateways that a reported queue is divided among.
const MAX_QUEUE_DIVISOR: u64 = 4;
/// Failure rate above which a backend is suspect, so that the choice continues to look for healthy
/// backends.
const SUSPECT_FAILURE_RATE: f64 = 0.4;

/// Properties of a backend that determine the cost of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Number of attempts of this gateway in flight at the backend.
    pub in_flight: u32,
    /// Estimated number of requests of all gateways in the backend's queue.
    pub queue_depth: f64,
    /// Number of gateways that share the backends.
    pub fleet_size: u64,
    /// Whether the backend is in the zone of this gateway.
    pub in_own_zone: bool,
    /// Share of recent attempts at the backend that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the backend received an earlier attempt of the request.
    pub was_tried: bool,
    pub is_ejected: bool,
    /// Share of the load that the backend should receive, relative to others; 1 if the candidate was
    /// already drawn by weight.
    pub weight: f64,
    /// Random number of the choice, from 0 to 1.
    pub draw: f64,
    /// Step of the choice in which the candidate was examined.
    pub step: usize,
}

impl Candidate {
    /// Returns the cost of sending the attempt to this backend. An idle, healthy backend in the same zone
    /// with a weight of 1 costs between 1 and 1.1.
    pub(super) fn cost(&self) -> f64 {
        let risk = self.failure_factor() * if self.was_tried { TRIED_FACTOR } else { 1.0 };
        let distance = if self.in_own_zone { 1.0 } else { OTHER_ZONE_FACTOR };
        let ejection = if self.is_ejected { EJECTED_FACTOR } else { 1.0 };
        self.load() * self.jitter() * distance * risk / self.weight * ejection
    }

    /// Returns whether the choice has to look for healthier candidates.
    pub(super) fn is_suspect(&self) -> bool {
        self.is_ejected || self.failure_rate > SUSPECT_FAILURE_RATE
    }

    /// Returns the number of requests at the backend, including this attempt and this gateway's part of the
    /// reported queue.
    fn load(&self) -> f64 {
        let queue_divisor = self.fleet_size.min(MAX_QUEUE_DIVISOR);
        f64::from(self.in_flight) + 1.0 + self.queue_depth / queue_divisor as f64
    }

    /// Returns a random factor from 1 to 1.1.
    fn jitter(&self) -> f64 {
        let draw = (self.draw + self.step as f64 * GOLDEN_RATIO_FRACTION) % 1.0;
        1.0 + MAX_JITTER * draw
    }

    /// Returns a factor from 1 to 11 that grows with the failure rate.
    fn failure_factor(&self) -> f64 {
        1.0 + FAILURE_RATE_WEIGHT * self.failure_rate
    }
}

#[cfg(test)]
mod tests;
