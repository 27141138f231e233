//! A token bucket that first attempts fill and retries draw from.

/// The retries that a gateway may still send.
#[derive(Default)]
pub struct RetryBudget {
    /// Retries that may be sent now.
    tokens: f64,
    /// The most that may be saved up.
    burst: f64,
    /// Retries that a first attempt earns.
    ratio: f64,
}

impl RetryBudget {
    /// A full bucket.
    pub fn new(burst: f64, ratio: f64) -> Self {
        RetryBudget { tokens: burst, burst, ratio }
    }

    /// A first attempt is sent.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Whether a retry may be sent now.
    pub fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// A retry is sent.
    pub fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
