//! The set of gateways that receive a customer's requests.

use crate::Request;

/// A range of consecutive gateway indices, which wraps from the fleet's last gateway to gateway 0.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) struct GatewaySet {
    /// Index of the first gateway.
    pub start: u16,
    /// Number of gateways, at least 1. A request from the simulator may have a fractional size, which applies
    /// to shares of a quota; the ingress uses whole numbers.
    pub size: f64,
}

impl GatewaySet {
    /// Returns the set that a request states, or all gateways of the fleet if that set is invalid.
    pub(super) fn from_request(request: &Request, gateway_count: u16) -> GatewaySet {
        let max_size = f64::from(gateway_count.max(1));
        let start = request.gateway_set_start;
        if !request.gateway_set_size.is_finite() || !(0.0..max_size).contains(&start) {
            return GatewaySet { start: 0, size: max_size };
        }
        GatewaySet { start: start.floor() as u16, size: request.gateway_set_size.clamp(1.0, max_size) }
    }

    /// Returns the set with its size rounded down, to at least 1 and at most the size of the fleet.
    pub(super) fn in_whole_gateways(self, gateway_count: u16) -> GatewaySet {
        GatewaySet { size: f64::from((self.size as u16).clamp(1, gateway_count)), ..self }
    }

    /// Returns the gateway at a position, which wraps from the set's last gateway to its first.
    pub(super) fn member(self, position: u64, gateway_count: u16) -> u16 {
        ((u64::from(self.start) + position % self.size as u64) % u64::from(gateway_count)) as u16
    }

    /// Returns the indices of all gateways in the set, in order.
    pub(super) fn members(self, gateway_count: u16) -> Vec<u16> {
        (0..self.size as u64).map(|position| self.member(position, gateway_count)).collect()
    }
}

#[cfg(test)]
mod tests;
