//! To which backends a request may be sent again.

use crate::{Endpoint, IdempotencyScope};

/// Where the next attempt of a request may go.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RetryScope {
    /// To any backend.
    Anywhere,
    /// Where the idempotency key is known from the attempt that went to an endpoint.
    Within(IdempotencyScope, Endpoint),
}

impl RetryScope {
    /// Whether an attempt may go to a backend.
    pub(crate) fn includes(&self, endpoint: &Endpoint) -> bool {
        match self {
            RetryScope::Anywhere | RetryScope::Within(IdempotencyScope::Fleet, _) => true,
            RetryScope::Within(IdempotencyScope::Zone, first) => endpoint.zone == first.zone,
            RetryScope::Within(IdempotencyScope::Cell, first) => endpoint.cell == first.cell,
        }
    }
}
