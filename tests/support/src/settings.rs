//! Settings of a small deployment for gateways under test.

use ingress::{
    Availability, BackendId, Class, Duration, Endpoint, GatewayId, Idempotency, IdempotencyScope, Instant,
    Limits, Plan, Rules, Settings,
};

/// Start time of gateways under test.
pub const START: Instant = Instant::from_micros(1_000_000_000);

/// Unit of the durations in tests.
pub const SECOND: Duration = Duration::from_secs(1);

/// Index of the class of [`settings`] that is idempotent.
pub const IDEMPOTENT: u8 = 0;
/// Index of the class that is keyed: its idempotency keys are valid in a cell for 2 s.
pub const KEYED: u8 = 1;
/// Index of the class that is non-idempotent: requests are retried only if they were not executed.
pub const NON_IDEMPOTENT: u8 = 2;

/// Index of the plan of [`settings`] with a quota that no test reaches.
pub const UNLIMITED: u16 = 0;
/// Index of the plan with a quota of 2 units per second and a burst of 6.
pub const RATE_QUOTA: u16 = 1;
/// Index of the plan with a hard limit of 6 units per second and a burst of 12.
pub const HARD_LIMIT: u16 = 2;
/// Index of the plan with a quota of 2 attempts in flight.
pub const CONCURRENCY_QUOTA: u16 = 3;

/// Returns a class with a latency objective of 1 s and a deadline of 4 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: SECOND,
        latency_objective_stretch: 0.0,
        deadline: SECOND * 4,
        late_weight: 0.0,
        idempotency,
        streaming: false,
    }
}

/// Returns a plan with this rate quota, and without a concurrency quota or hard limit.
pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        concurrency_quota: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        price: 1.0,
        over_quota_cost: 1.0,
    }
}

/// Returns limits that permit hedging, cancellation and messages to peers.
pub fn limits() -> Limits {
    Limits {
        max_attempts: 3,
        hedging: true,
        cancellation: true,
        peer_messages: true,
        peer_messages_per_second: 60.0,
        retry_after: true,
        max_retry_after: SECOND * 2,
        max_open_requests: 20_000,
        connect_timeout: Duration::from_millis(250),
    }
}

/// Returns rules with a slow start of 10 s and a drain grace period of 250 ms.
pub fn rules() -> Rules {
    Rules {
        drain_grace: Duration::from_millis(250),
        slow_start_floor: 0.2,
        slow_start_duration: SECOND * 10,
        overload_factor: 3.0,
        overload_window: SECOND,
        max_poll_interval: SECOND * 10,
    }
}

/// Returns the settings of gateway 0 of three, with the classes and plans of this module's constants.
pub fn settings() -> Settings {
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Cell, window: SECOND * 2 };
    let hard_limit = Plan { hard_limit_rate: 6.0, hard_limit_burst: 12.0, ..plan(100.0, 100.0) };
    Settings {
        gateway_count: 3,
        own_id: GatewayId(0),
        zone: 0,
        tick: Duration::from_millis(4),
        classes: vec![class(Idempotency::Idempotent), class(keyed), class(Idempotency::NonIdempotent)],
        plans: vec![
            plan(1e6, 1e6),
            plan(2.0, 6.0),
            hard_limit,
            Plan { concurrency_quota: 2, ..plan(0.0, 0.0) },
        ],
        limits: limits(),
        rules: rules(),
        ..Settings::default()
    }
}

/// Returns the default settings of tests for one of `gateway_count` gateways.
pub fn settings_of(own_id: u16, gateway_count: u16) -> Settings {
    Settings { gateway_count, own_id: GatewayId(own_id), ..settings() }
}

/// Returns a ready endpoint. Zones and cells alternate between backends.
pub fn endpoint(backend: u64) -> Endpoint {
    Endpoint {
        backend: BackendId(backend),
        zone: (backend % 2) as u8,
        cell: (backend % 2) as u16,
        machine_type: 0,
        availability: Availability::Ready,
        size: 1.0,
        started_at: None,
    }
}
