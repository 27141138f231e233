//! The retry budget: a token bucket that first attempts fill and retries draw from.

/// Retries that a first attempt earns: retries add no more than this share to the load.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Retries that all gateways together may send at once when backends slow down.
const FLEET_BURST: f64 = 40.0;
/// The least that one gateway may send at once.
const MIN_BURST: f64 = 2.0;
/// The most that one gateway may send at once.
const MAX_BURST: f64 = 10.0;
/// Tokens that a retry draws.
const TOKENS_PER_RETRY: f64 = 1.0;

/// The retries that a gateway may still send.
#[derive(Default)]
pub(crate) struct RetryBudget {
    /// Retries that may be sent now.
    tokens: f64,
    /// The most that may be sent at once.
    burst: f64,
}

impl RetryBudget {
    /// A full budget, for one of so many gateways.
    pub(crate) fn new(fleet_size: u64) -> Self {
        let burst = (FLEET_BURST / fleet_size as f64).clamp(MIN_BURST, MAX_BURST);
        RetryBudget { tokens: burst, burst }
    }

    /// Records a first attempt.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_FIRST_ATTEMPT).min(self.burst);
    }

    /// Whether a retry may be sent now.
    pub(crate) fn allows_retry(&self) -> bool {
        self.tokens >= TOKENS_PER_RETRY
    }

    /// Records a retry.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= TOKENS_PER_RETRY;
    }
}
