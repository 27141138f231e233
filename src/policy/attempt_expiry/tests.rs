//! Tests of [`super`].

use super::*;
use crate::Idempotency;

const ARRIVAL: Instant = Instant::from_micros(1_000_000);
const OBJECTIVE: Duration = Duration::from_millis(400);
const TICK: Duration = Duration::from_millis(5);

/// A class whose late answers are worth this share of its weight.
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

/// An attempt in a large fleet, sent at once, whose customer has a concurrency quota.
fn context(class: &Class) -> ExpiryContext<'_> {
    ExpiryContext {
        now: ARRIVAL,
        arrived_at: ARRIVAL,
        class,
        has_concurrency_quota: true,
        gives_up_worthless_attempts: true,
        tick: TICK,
    }
}

/// A backend is slow, and an answer after the latency objective would be worth nothing. The attempt ends at the
/// objective, since until then it holds one of the few places of its customer's concurrency quota, and the
/// customer's next requests are rejected.
#[test]
fn an_attempt_that_is_worthless_when_late_ends_with_its_objective() {
    assert_eq!(attempt_expiry(&context(&class(0.0))), Some(ARRIVAL + OBJECTIVE));
}

/// A retry is sent just before the latency objective, or after it. If it expired at once, the backend would execute
/// a request whose answer nobody reads; it has at least one tick.
#[test]
fn an_attempt_has_a_tick_at_least() {
    let (class, late) = (class(0.0), ARRIVAL + OBJECTIVE * 2);
    assert_eq!(attempt_expiry(&ExpiryContext { now: late, ..context(&class) }), Some(late + TICK));
}

/// A late answer is worth something, or the customer has no concurrency quota whose place it would hold, or the
/// fleet is small. The attempt goes on until the client's deadline, since ending it early would fail a request that
/// could still be served.
#[test]
fn other_attempts_go_on_until_the_deadline() {
    let worthless = class(0.0);
    assert_eq!(attempt_expiry(&context(&class(0.2))), None);
    assert_eq!(attempt_expiry(&ExpiryContext { has_concurrency_quota: false, ..context(&worthless) }), None);
    assert_eq!(
        attempt_expiry(&ExpiryContext { gives_up_worthless_attempts: false, ..context(&worthless) }),
        None
    );
}
