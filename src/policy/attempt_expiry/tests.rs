//! Tests of [`super`].

use super::*;
use crate::Idempotency;

const ARRIVAL: Instant = Instant::from_micros(1_000_000);
const OBJECTIVE: Duration = Duration::from_millis(400);
const TICK: Duration = Duration::from_millis(5);

/// Returns a class whose late answers are worth this share of its weight.
fn class(late_weight: f64) -> Class {
    Class {
        latency_objective: OBJECTIVE,
        latency_objective_stretch: 0.0,
        deadline: Duration::from_secs(2),
        late_weight,
        idempotency: Idempotency::Idempotent,
        streaming: false,
    }
}

/// Returns an attempt in a large fleet, sent on arrival, whose customer has a concurrency quota.
fn context(class: &Class) -> ExpiryContext<'_> {
    ExpiryContext {
        now: ARRIVAL,
        arrived_at: ARRIVAL,
        class,
        has_concurrency_quota: true,
        expires_attempts_at_latency_objective: true,
        tick: TICK,
    }
}

/// A late answer would have no value. The attempt expires at the latency objective, since until then it
/// counts towards its customer's concurrency quota, and the customer's next requests are rejected.
#[test]
fn an_attempt_without_late_value_expires_at_its_objective() {
    assert_eq!(attempt_expiry(&context(&class(0.0))), Some(ARRIVAL + OBJECTIVE));
}

/// A retry is sent just before the latency objective or after it. If it expired immediately, the backend
/// would execute a request whose answer is discarded, so it lasts at least one tick.
#[test]
fn an_attempt_lasts_at_least_one_tick() {
    let (class, late) = (class(0.0), ARRIVAL + OBJECTIVE * 2);
    assert_eq!(attempt_expiry(&ExpiryContext { now: late, ..context(&class) }), Some(late + TICK));
}

/// The attempt lasts until the client's deadline if a late answer has value, the customer has no
/// concurrency quota, or the fleet is small; ending it early would fail a request that could still be
/// served.
#[test]
fn other_attempts_last_until_the_deadline() {
    let without_late_value = class(0.0);
    assert_eq!(attempt_expiry(&context(&class(0.2))), None);
    assert_eq!(
        attempt_expiry(&ExpiryContext { has_concurrency_quota: false, ..context(&without_late_value) }),
        None
    );
    assert_eq!(
        attempt_expiry(&ExpiryContext {
            expires_attempts_at_latency_objective: false,
            ..context(&without_late_value)
        }),
        None
    );
}
