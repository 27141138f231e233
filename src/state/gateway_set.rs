//! The gateways that a customer's requests come to.

use crate::Request;

/// A run of gateways by index; gateway 0 follows the last.
#[derive(Clone, Copy)]
pub struct GatewaySet {
    pub start: u16,
    /// How many there are, at least 1.
    pub size: f64,
}

impl GatewaySet {
    /// What a request says of its customer; all gateways where that makes no sense.
    pub fn of(request: &Request, gateway_count: u16) -> GatewaySet {
        let most = f64::from(gateway_count.max(1));
        let start = request.gateway_set_start;
        if !request.gateway_set_size.is_finite() || !(0.0..most).contains(&start) {
            return GatewaySet { start: 0, size: most };
        }
        GatewaySet { start: start.floor() as u16, size: request.gateway_set_size.clamp(1.0, most) }
    }
}
