//! A customer's request for a grant.

use crate::{Instant, RequestId};

/// What was last asked of a customer's owners, and who waits for the answer.
#[derive(Default)]
pub struct GrantRequest {
    /// When the grant was requested; 0 for never.
    pub requested_at: Instant,
    /// The units that it is requested for.
    pub units: f64,
    /// Whether this gateway's share of the hard limit lacks them, too.
    pub needs_hard_limit: bool,
    /// The owners that have answered.
    pub answered_by: Vec<u16>,
    /// Whether the owner has charged the units already.
    pub charged_by_owner: bool,
    /// The requests that wait for the grant.
    pub waiting: Vec<RequestId>,
}

impl GrantRequest {
    /// Notes a new request for a grant, which nobody has answered.
    pub fn start(&mut self, now: Instant, units: f64, needs_hard_limit: bool) {
        self.requested_at = now;
        self.units = units;
        self.needs_hard_limit = needs_hard_limit;
        self.answered_by.clear();
    }
}
