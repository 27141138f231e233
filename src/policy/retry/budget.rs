//! Retry budget: a token bucket that first attempts fill and retries draw from.

/// Tokens earned by a first attempt; retries add at most this share to the load.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Retries that all gateways together may send at once when backends slow down.
const FLEET_BURST: f64 = 40.0;
/// Minimum burst of one gateway.
const MIN_BURST: f64 = 2.0;
/// Maximum burst of one gateway.
const MAX_BURST: f64 = 10.0;
const TOKENS_PER_RETRY: f64 = 1.0;

/// Token bucket of the retries that a gateway may still send.
#[derive(Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
    /// Maximum number of tokens.
    burst: f64,
}

impl RetryBudget {
    /// Creates a full budget for one gateway in a fleet of `fleet_size`.
    pub(crate) fn new(fleet_size: u64) -> Self {
        let burst = (FLEET_BURST / fleet_size as f64).clamp(MIN_BURST, MAX_BURST);
        RetryBudget { tokens: burst, burst }
    }

    /// Adds the tokens of a first attempt.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_FIRST_ATTEMPT).min(self.burst);
    }

    /// Returns whether a retry may be sent now.
    pub(crate) fn allows_retry(&self) -> bool {
        self.tokens >= TOKENS_PER_RETRY
    }

    /// Removes the tokens of a retry.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= TOKENS_PER_RETRY;
    }
}
