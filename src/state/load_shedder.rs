//! What load shedding remembers.

use crate::{Action, Instant};

/// Follows the pressure that answers show, and decides by it whom to shed and how much may be in flight.
#[derive(Default)]
pub struct LoadShedder {
    /// Recent latencies over the highest that pass for normal; 1 raises an alert.
    pub pressure: f64,
    /// When the latest answer came.
    pub pressure_updated_at: Instant,
    /// Recent share of requests inside their quota that were rejected for want of capacity.
    pub rejection_rate: f64,
    /// 0 sheds nobody; each higher one sheds more.
    pub stage: usize,
    /// When it last changed.
    pub stage_changed_at: Instant,
    /// Attempts that may be in flight at a backend, from all gateways, if all send alike.
    pub concurrency_per_backend: f64,
    /// When the limit was last reduced.
    pub limit_reduced_at: Instant,
}

impl LoadShedder {
    /// The log line of a change to a stage.
    pub fn stage_change(&self, to: usize, concurrency_limit: f64, in_flight: u32) -> Action {
        let (from, pressure) = (self.stage, self.pressure);
        Action::Log(format!(
            "load_shedding: stage changed, from={from}, to={to}, pressure={pressure:.2}, \
             concurrency_limit={concurrency_limit:.0}, in_flight={in_flight}"
        ))
    }
}
