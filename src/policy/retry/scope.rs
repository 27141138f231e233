//! Retry scope: the backends to which a request may be sent again.

use crate::{Endpoint, IdempotencyScope};

/// Backends that the next attempt of a request may use.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RetryScope {
    /// Any backend.
    Anywhere,
    /// The backends that share the idempotency key with the endpoint of an earlier attempt.
    Within(IdempotencyScope, Endpoint),
}

impl RetryScope {
    /// Returns whether an attempt may be sent to a backend.
    pub(crate) fn includes(&self, endpoint: &Endpoint) -> bool {
        match self {
            RetryScope::Anywhere | RetryScope::Within(IdempotencyScope::Fleet, _) => true,
            RetryScope::Within(IdempotencyScope::Zone, first) => endpoint.zone == first.zone,
            RetryScope::Within(IdempotencyScope::Cell, first) => endpoint.cell == first.cell,
        }
    }
}
