//! What a gateway knows of a customer's usage through all other gateways.

use super::USAGE_RATE_TIME_CONSTANT;
use crate::state::decay;
use crate::{Duration, Instant};
use std::collections::BTreeMap;

/// The usage of one customer through one gateway, as that gateway reported it to an owner.
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

/// A customer's usage through all other gateways: added up from their reports by an owner of its quota, and
/// told to the other gateways with each grant.
#[derive(Default)]
pub(super) struct RemoteUsage {
    /// Units a second, or requests for grants a second where
    /// [`counts_grant_requests`](super::QuotaOwnership::counts_grant_requests) says so; decays with
    /// [`USAGE_RATE_TIME_CONSTANT`] at an owner.
    rate: f64,
    /// Attempts in flight.
    in_flight: u32,
    /// What each gateway reported, at an owner.
    by_gateway: BTreeMap<u16, GatewayUsage>,
}

impl RemoteUsage {
    /// Usage at a rate, with no attempt in flight.
    pub(super) fn with_rate(rate: f64) -> RemoteUsage {
        RemoteUsage { rate, ..RemoteUsage::default() }
    }

    /// Units a second, or requests for grants a second: see the field.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Attempts in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Attempts in flight from all of these gateways but the one with this usage.
    pub(super) fn in_flight_excluding(&self, usage: &GatewayUsage) -> u32 {
        self.in_flight.saturating_sub(u32::from(usage.in_flight))
    }

    /// What a gateway reported; none if it did not.
    pub(super) fn get(&self, gateway: u16) -> Option<GatewayUsage> {
        self.by_gateway.get(&gateway).copied()
    }

    /// Replaces all by what an owner tells with a grant.
    pub(super) fn replace(&mut self, rate: f64, in_flight: u32) {
        self.rate = rate;
        self.in_flight = in_flight;
    }

    /// Lets a share of the rate remain.
    pub(super) fn decay_rate(&mut self, remaining_share: f64) {
        self.rate *= remaining_share;
    }

    /// Adds units, or requests, to the rate.
    pub(super) fn add_to_rate(&mut self, count: f64) {
        self.rate = (self.rate + count / USAGE_RATE_TIME_CONSTANT.as_secs_f64()).max(0.0);
    }

    /// Changes the attempts in flight that count for the gateway with this usage.
    pub(super) fn set_in_flight(&mut self, usage: &mut GatewayUsage, in_flight: u8) {
        self.in_flight = self.in_flight_excluding(usage) + u32::from(in_flight);
        usage.in_flight = in_flight;
    }

    /// Records the usage of a gateway.
    pub(super) fn insert(&mut self, gateway: u16, usage: GatewayUsage) {
        self.by_gateway.insert(gateway, usage);
    }

    /// Drops what a gateway reported before it restarted.
    pub(super) fn remove(&mut self, gateway: u16) {
        if let Some(usage) = self.by_gateway.remove(&gateway) {
            self.in_flight -= u32::from(usage.in_flight).min(self.in_flight);
        }
    }

    /// Drops what gateways reported whose last report is older than `lifetime`.
    pub(super) fn remove_expired(&mut self, now: Instant, lifetime: Duration) {
        self.by_gateway.retain(|_, usage| now.duration_since(usage.reported_at) <= lifetime);
    }

    /// Drops the attempts in flight of gateways whose last report is older than `lifetime`.
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
