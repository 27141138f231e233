//! What an owner of a quota knows of the usage through one other gateway.

use super::USAGE_RATE_TIME_CONSTANT;
use crate::state::decay;
use crate::Instant;

/// The usage of one customer through one gateway, as that gateway reported it.
#[derive(Clone, Copy, Default)]
pub(super) struct GatewayUsage {
    /// The total in the last report, as messages carry it: see [`wrap_total`](crate::gossip::wrap_total).
    pub reported_total: u16,
    /// Units that were granted, and charged by this owner, before the gateway reported them.
    pub granted_units: f64,
    /// Units a second, decaying with [`USAGE_RATE_TIME_CONSTANT`].
    pub rate: f64,
    /// When the last report came.
    pub reported_at: Instant,
    /// Attempts in flight, with one that was granted and isn't reported yet.
    pub in_flight: u8,
}

impl GatewayUsage {
    /// Records a reported total, and the units that have come to it since the last report.
    pub(super) fn record(&mut self, now: Instant, total: u16, units: f64) {
        let remaining = decay(self.reported_at, now, USAGE_RATE_TIME_CONSTANT);
        self.rate = (self.rate * remaining + units / USAGE_RATE_TIME_CONSTANT.as_secs_f64()).max(0.0);
        self.reported_total = total;
        self.reported_at = now;
    }
}
