//! Concurrency limit: the number of attempts in flight up to which a gateway sends queued requests, adapted
//! to the latency of answers.

use super::pressure::{Pressure, LOW_PRESSURE, PRESSURE_TIME_CONSTANT};
use crate::Instant;

/// Initial number of attempts in flight at one backend, from all gateways.
const INITIAL_ATTEMPTS_PER_BACKEND: f64 = 10.0;
/// Minimum number of attempts in flight at one backend, from all gateways, that the limit is reduced to.
const MIN_ATTEMPTS_PER_BACKEND: f64 = INITIAL_ATTEMPTS_PER_BACKEND / 6.0;
/// Minimum number of attempts that a gateway may have in flight.
const MIN_LIMIT: f64 = 1.0;
/// Pressure below which the limit grows beyond its initial value.
const GROWTH_PRESSURE: f64 = 0.4;
/// Utilization of the limit above which it grows. Fast answers at a lower utilization don't show that the
/// backends could serve more.
const GROWTH_UTILIZATION: f64 = 0.7;
/// Number of attempts by which the limit grows in a round. A round has as many answers as the limit has
/// attempts.
const GROWTH_PER_ROUND: f64 = 2.0;
/// Minimum limit used in the growth formula.
const MIN_GROWTH_BASE: f64 = 2.0;
/// Factor applied to the limit at each reduction.
const DECREASE_FACTOR: f64 = 0.85;

/// Load of a gateway, and the backends and gateways that its limit is derived from.
#[derive(Clone, Copy)]
pub(crate) struct GatewayLoad {
    /// Number of attempts of this gateway in flight.
    pub in_flight: u32,
    /// Number of backends that accept new attempts.
    pub ready_backends: usize,
    /// Number of gateways that share the backends.
    pub fleet_size: u64,
}

/// Limits the attempts in flight by additive increase while answers are fast and multiplicative decrease
/// under pressure.
///
/// Only the first attempts of queued requests wait for the limit. Retries and hedged requests count towards
/// the limit but may exceed it; the retry budget bounds them.
pub(crate) struct ConcurrencyLimiter {
    /// Attempts that may be in flight at one backend, from all gateways, if all of them send equally.
    attempts_per_backend: f64,
    /// Time of the last reduction.
    reduced_at: Instant,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        ConcurrencyLimiter { attempts_per_backend: INITIAL_ATTEMPTS_PER_BACKEND, reduced_at: Instant::ZERO }
    }
}

impl ConcurrencyLimiter {
    /// Returns the number of attempts that the gateway may have in flight. It is proportional to the number
    /// of ready backends: when some fail, the remaining ones must not take over their load.
    pub(crate) fn limit(&self, load: GatewayLoad) -> f64 {
        let share = self.attempts_per_backend * load.ready_backends as f64 / load.fleet_size as f64;
        share.max(MIN_LIMIT)
    }

    /// Returns whether no queued request may be sent now.
    pub(crate) fn is_reached(&self, load: GatewayLoad) -> bool {
        f64::from(load.in_flight) >= self.limit(load)
    }

    /// Raises the limit at an answer if the limit is in use and the pressure is low enough. Everything that
    /// [`Pressure`] records counts as an answer, including samples of peers.
    pub(crate) fn on_answer(&mut self, pressure: &Pressure, load: GatewayLoad) {
        // A reduced limit grows back to its initial value at any pressure below `LOW_PRESSURE`: with the
        // stricter threshold a limit that was once reduced would stay reduced.
        let is_reduced = self.attempts_per_backend < INITIAL_ATTEMPTS_PER_BACKEND;
        let growth_pressure = if is_reduced { LOW_PRESSURE } else { GROWTH_PRESSURE };
        let limit = self.limit(load);
        let is_in_use = f64::from(load.in_flight) > limit * GROWTH_UTILIZATION;
        if pressure.level() < growth_pressure && is_in_use {
            self.attempts_per_backend *= 1.0 + GROWTH_PER_ROUND / limit.max(MIN_GROWTH_BASE).powi(2);
        }
    }

    /// Reduces the limit under high pressure, at most once per time constant of the pressure: answers to
    /// attempts that were sent before a reduction must not cause the next one. Returns whether the limit
    /// was reduced.
    pub(crate) fn reduce_under_pressure(&mut self, now: Instant, pressure: &Pressure) -> bool {
        let has_settled = now.duration_since(self.reduced_at) > PRESSURE_TIME_CONSTANT;
        let is_reduced = pressure.is_high() && has_settled;
        if is_reduced {
            let reduced = self.attempts_per_backend * DECREASE_FACTOR;
            self.attempts_per_backend = reduced.max(MIN_ATTEMPTS_PER_BACKEND);
            self.reduced_at = now;
        }
        is_reduced
    }
}

#[cfg(test)]
mod tests;
