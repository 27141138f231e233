//! A customer's usage through all other gateways.

use super::USAGE_RATE_TIME_CONSTANT;
use crate::state::decay;
use crate::{Duration, Instant};
use std::collections::BTreeMap;

/// The usage of one customer through one gateway, as that gateway reported it to an owner.
#[derive(Clone, Copy, Default)]
pub(super) struct GatewayUsage {
    /// The total in the last report, wrapped by [`wrap_total`](crate::gossip::wrap_total).
    pub reported_total: u16,
    /// Units that this owner granted and charged, and that the gateway has not reported yet.
    pub granted_units: f64,
    /// Units per second, decaying with [`USAGE_RATE_TIME_CONSTANT`].
    pub rate: f64,
    /// When the last report was received.
    pub reported_at: Instant,
    /// Attempts in flight, including one that was granted and is not reported yet.
    pub in_flight: u8,
}

impl GatewayUsage {
    /// Records a reported total, and the units used since the last report.
    pub(super) fn record(&mut self, now: Instant, total: u16, units: f64) {
        let remaining = decay(self.reported_at, now, USAGE_RATE_TIME_CONSTANT);
        self.rate = (self.rate * remaining + units / USAGE_RATE_TIME_CONSTANT.as_secs_f64()).max(0.0);
        self.reported_total = total;
        self.reported_at = now;
    }
}

/// A customer's usage through all other gateways. An owner of the quota adds it up from usage reports; a
/// reporter receives it with each answer of an owner.
#[derive(Default)]
pub(super) struct RemoteUsage {
    /// Units per second, or grant requests per second if
    /// [`counts_grant_requests`](super::QuotaOwnership::counts_grant_requests) returns `true`. Decays with
    /// [`USAGE_RATE_TIME_CONSTANT`] at an owner.
    rate: f64,
    /// Number of attempts in flight.
    in_flight: u32,
    /// The usage that each gateway reported; empty at a reporter.
    by_gateway: BTreeMap<u16, GatewayUsage>,
}

impl RemoteUsage {
    /// Creates usage at a rate, without attempts in flight.
    pub(super) fn with_rate(rate: f64) -> RemoteUsage {
        RemoteUsage { rate, ..RemoteUsage::default() }
    }

    /// Returns the rate in units per second, or in grant requests per second if
    /// [`counts_grant_requests`](super::QuotaOwnership::counts_grant_requests) returns `true`.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the attempts in flight from all other gateways except the one with `usage`.
    pub(super) fn in_flight_excluding(&self, usage: &GatewayUsage) -> u32 {
        self.in_flight.saturating_sub(u32::from(usage.in_flight))
    }

    /// Returns whether no gateway has reported usage.
    pub(super) fn is_empty(&self) -> bool {
        self.by_gateway.is_empty()
    }

    /// Returns the usage that a gateway reported, if any.
    pub(super) fn get(&self, gateway: u16) -> Option<GatewayUsage> {
        self.by_gateway.get(&gateway).copied()
    }

    /// Sets the rate and the attempts in flight to those in an owner's answer.
    pub(super) fn replace(&mut self, rate: f64, in_flight: u32) {
        self.rate = rate;
        self.in_flight = in_flight;
    }

    /// Multiplies the rate by the share that remains after a decay.
    pub(super) fn decay_rate(&mut self, remaining_share: f64) {
        self.rate *= remaining_share;
    }

    /// Adds a number of units, or of grant requests, to the rate.
    pub(super) fn add_to_rate(&mut self, count: f64) {
        self.rate = (self.rate + count / USAGE_RATE_TIME_CONSTANT.as_secs_f64()).max(0.0);
    }

    /// Sets the attempts in flight of the gateway with `usage`, and updates the sum.
    pub(super) fn set_in_flight(&mut self, usage: &mut GatewayUsage, in_flight: u8) {
        self.in_flight = self.in_flight_excluding(usage) + u32::from(in_flight);
        usage.in_flight = in_flight;
    }

    pub(super) fn insert(&mut self, gateway: u16, usage: GatewayUsage) {
        self.by_gateway.insert(gateway, usage);
    }

    /// Removes the usage that a gateway reported before its restart.
    pub(super) fn remove(&mut self, gateway: u16) {
        if let Some(usage) = self.by_gateway.remove(&gateway) {
            self.in_flight -= u32::from(usage.in_flight).min(self.in_flight);
        }
    }

    /// Removes the usage of gateways whose last report is older than `lifetime`.
    pub(super) fn remove_expired(&mut self, now: Instant, lifetime: Duration) {
        self.by_gateway.retain(|_, usage| now.duration_since(usage.reported_at) <= lifetime);
    }

    /// Clears the attempts in flight of gateways whose last report is older than `lifetime`.
    pub(super) fn expire_in_flight(&mut self, now: Instant, lifetime: Duration) {
        let is_old = |usage: &&mut GatewayUsage| now.duration_since(usage.reported_at) > lifetime;
        for usage in self.by_gateway.values_mut().filter(is_old) {
            usage.in_flight = 0;
        }
        self.in_flight = self.by_gateway.values().map(|usage| u32::from(usage.in_flight)).sum();
    }
}

#[cfg(test)]
mod tests;
