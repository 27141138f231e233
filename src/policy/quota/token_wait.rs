//! How long a request has to wait for tokens.

/// Seconds until the token buckets of a customer may have what a request needs; none where they have it now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenWait {
    /// Until the quota, on the rate or on attempts in flight, may allow the request.
    pub quota: Option<f64>,
    /// Until the hard limit may allow the request.
    pub hard_limit: Option<f64>,
}

impl TokenWait {
    /// The longer of the waits.
    pub fn longest(self) -> Option<f64> {
        self.quota.into_iter().chain(self.hard_limit).reduce(f64::max)
    }
}
