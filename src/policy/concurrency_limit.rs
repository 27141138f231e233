//! The concurrency limit: how many attempts a gateway may have in flight for it to send a queued request,
//! found by the latency of answers.

use super::pressure::{Pressure, LOW_PRESSURE, PRESSURE_TIME_CONSTANT};
use crate::Instant;

/// Attempts in flight at one backend, from all gateways, to begin with; answers move it from there.
const INITIAL_ATTEMPTS_PER_BACKEND: f64 = 10.0;
/// The fewest attempts in flight at one backend, from all gateways, that the limit is reduced to.
const MIN_ATTEMPTS_PER_BACKEND: f64 = INITIAL_ATTEMPTS_PER_BACKEND / 6.0;
/// The fewest attempts that a gateway may have in flight.
const MIN_LIMIT: f64 = 1.0;
/// Pressure below which the limit grows beyond its initial value.
const GROWTH_PRESSURE: f64 = 0.4;
/// Share of the limit in use above which it grows: one that is not used says nothing of a higher one.
const GROWTH_UTILIZATION: f64 = 0.7;
/// Attempts that the limit grows by while as many answers come as it has attempts.
const GROWTH_PER_ROUND: f64 = 2.0;
/// The smallest limit that growth is computed with.
const MIN_GROWTH_BASE: f64 = 2.0;
/// Factor on the limit at each reduction.
const DECREASE_FACTOR: f64 = 0.85;

/// What the limit of a gateway is a part of, and how much of it is in use.
#[derive(Clone, Copy)]
pub(crate) struct GatewayLoad {
    /// Attempts of this gateway in flight.
    pub in_flight: u32,
    /// Backends that take work.
    pub ready_backends: usize,
    /// Gateways that share them.
    pub fleet_size: u64,
}

/// Limits the attempts in flight: additive increase while answers are fast, multiplicative decrease under
/// pressure.
///
/// Only the first attempts of queued requests wait for the limit. Retries and hedged requests are sent beyond
/// it, bounded by the retry budget, and count towards it like others.
pub(crate) struct ConcurrencyLimiter {
    /// Attempts that may be in flight at one backend, from all gateways, if all send alike.
    attempts_per_backend: f64,
    /// When the limit was last reduced.
    reduced_at: Instant,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        ConcurrencyLimiter { attempts_per_backend: INITIAL_ATTEMPTS_PER_BACKEND, reduced_at: Instant::ZERO }
    }
}

impl ConcurrencyLimiter {
    /// Attempts that the gateway may have in flight. It falls with the number of ready backends: those left
    /// when others fail must not take over their load.
    pub(crate) fn limit(&self, load: GatewayLoad) -> f64 {
        let share = self.attempts_per_backend * load.ready_backends as f64 / load.fleet_size as f64;
        share.max(MIN_LIMIT)
    }

    /// Whether no queued request may be sent now.
    pub(crate) fn is_reached(&self, load: GatewayLoad) -> bool {
        f64::from(load.in_flight) >= self.limit(load)
    }

    /// Raises the limit at an answer, where it is in use and the pressure leaves room for more. All that
    /// [`Pressure`] records is an answer here, also the sample of a peer.
    pub(crate) fn on_answer(&mut self, pressure: &Pressure, load: GatewayLoad) {
        // A reduced limit returns to its initial value at any pressure that raises no alert: with the
        // stricter bound one that was once reduced would stay so.
        let is_reduced = self.attempts_per_backend < INITIAL_ATTEMPTS_PER_BACKEND;
        let growth_pressure = if is_reduced { LOW_PRESSURE } else { GROWTH_PRESSURE };
        let limit = self.limit(load);
        let is_in_use = f64::from(load.in_flight) > limit * GROWTH_UTILIZATION;
        if pressure.level() < growth_pressure && is_in_use {
            self.attempts_per_backend *= 1.0 + GROWTH_PER_ROUND / limit.max(MIN_GROWTH_BASE).powi(2);
        }
    }

    /// Reduces the limit under high pressure, at most once in the pressure's time constant: answers to
    /// attempts that were sent before a reduction must not cause the next one. Returns whether it was
    /// reduced.
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
