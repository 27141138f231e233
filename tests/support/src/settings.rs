//! Settings of a small deployment for gateways under test: classes, plans, limits and endpoints.

use ingress::{
    Availability, BackendId, Class, Duration, Endpoint, GatewayId, Idempotency, IdempotencyScope, Instant,
    Limits, Plan, Rules, Settings,
};

/// When gateways under test start.
pub const START: Instant = Instant::from_micros(1_000_000_000);

/// A second.
pub const SECOND: Duration = Duration::from_secs(1);

/// Index of the class of [`settings`] that is idempotent.
pub const IDEMPOTENT: u8 = 0;
/// Index of the class that is keyed: its idempotency key is known in a cell for 2 s.
pub const KEYED: u8 = 1;
/// Index of the class that is non-idempotent: retried only if never executed.
pub const NON_IDEMPOTENT: u8 = 2;

/// Index of the plan of [`settings`] with a quota that no test reaches.
pub const UNLIMITED: u16 = 0;
/// Index of the plan with a quota of 2 units a second and a burst of 6.
pub const RATE_QUOTA: u16 = 1;
/// Index of the plan with a hard limit of 6 units a second and a burst of 12.
pub const HARD_LIMIT: u16 = 2;
/// Index of the plan with a quota of 2 attempts in flight.
pub const CONCURRENCY_QUOTA: u16 = 3;

/// A class with a latency objective of a second.
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

/// A plan with a rate quota.
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

/// Limits that permit hedging, cancellation and messages.
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

/// The figures of the rules.
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

/// Gateway 0 of three, with the classes and plans that the constants name.
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

/// The settings of one of so many gateways.
pub fn settings_of(own_id: u16, gateway_count: u16) -> Settings {
    Settings { gateway_count, own_id: GatewayId(own_id), ..settings() }
}

/// A ready backend; zones and cells alternate.
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
