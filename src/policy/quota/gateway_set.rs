//! The gateways that a customer's requests come to.

use crate::Request;

/// Gateways that follow each other by index; gateway 0 follows the last.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) struct GatewaySet {
    /// The first of them.
    pub start: u16,
    /// How many there are, at least 1. A request on the simulator's wire may name a fraction, which counts in
    /// shares of a quota; the ingress has whole numbers.
    pub size: f64,
}

impl GatewaySet {
    /// The set that a request names; all gateways of the fleet where it names none that is possible.
    pub(super) fn from_request(request: &Request, gateway_count: u16) -> GatewaySet {
        let max_size = f64::from(gateway_count.max(1));
        let start = request.gateway_set_start;
        if !request.gateway_set_size.is_finite() || !(0.0..max_size).contains(&start) {
            return GatewaySet { start: 0, size: max_size };
        }
        GatewaySet { start: start.floor() as u16, size: request.gateway_set_size.clamp(1.0, max_size) }
    }

    /// The set in whole gateways, one at least and no more than the fleet has.
    pub(super) fn in_whole_gateways(self, gateway_count: u16) -> GatewaySet {
        GatewaySet { size: f64::from((self.size as u16).clamp(1, gateway_count)), ..self }
    }

    /// The gateway at a position, which begins again at the set's first gateway after its last.
    pub(super) fn member(self, position: u64, gateway_count: u16) -> u16 {
        ((u64::from(self.start) + position % self.size as u64) % u64::from(gateway_count)) as u16
    }

    /// All gateways of the set, in order.
    pub(super) fn members(self, gateway_count: u16) -> Vec<u16> {
        (0..self.size as u64).map(|position| self.member(position, gateway_count)).collect()
    }
}

#[cfg(test)]
mod tests;
