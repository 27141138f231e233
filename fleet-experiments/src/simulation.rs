//! What the simulations share: the simulated clock, settings, endpoint lists and random draws.

mod event_queue;

pub use event_queue::EventQueue;

use ingress::{
    AttemptEnded, Availability, BackendId, Class, Duration, Endpoint, Event, GatewayId, Idempotency, Instant,
    Limits, Outcome, Plan, RequestId, Rules, Settings,
};
use std::ops::Range;

/// When the simulated clock starts.
pub const START: Instant = Instant::from_micros(1_000_000_000_000);
/// A second.
pub const SECOND: Duration = Duration::from_secs(1);
/// Zones of the fleet that the ingress is designed for.
pub const ZONES: u64 = 18;
/// Clients abandon a request after this time.
pub const REQUEST_DEADLINE: Duration = Duration::from_secs(3);
/// How long backends take to answer: drawn from this range.
pub const SERVICE_TIME: Range<Duration> = Duration::from_millis(60)..Duration::from_millis(160);
/// When the first timer of a simulated ingress is due, from the start: drawn from this range.
pub const FIRST_TIMER_DELAY: Range<Duration> = Duration::MICROSECOND..Duration::from_millis(20);
/// Multiplier that spreads the backends' numbers over all identifiers: 2^64 by the golden ratio.
const IDENTIFIER_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The settings of one ingress among `ingresses`, like those of the given site except for quotas that reject
/// nobody.
pub fn ingress_settings(ingresses: u16, number: u16) -> Settings {
    Settings {
        gateway_count: ingresses,
        own_id: GatewayId(number),
        tick: Duration::from_millis(4),
        classes: vec![class()],
        plans: vec![unlimited_plan()],
        limits: Limits {
            max_attempts: 4,
            hedging: true,
            cancellation: true,
            peer_messages_per_second: 40.0,
            retry_after: true,
            max_retry_after: SECOND,
            max_open_requests: 20_000,
            connect_timeout: Duration::from_millis(250),
            ..Limits::default()
        },
        rules: Rules {
            drain_grace: Duration::from_millis(250),
            slow_start_floor: 0.23,
            slow_start_duration: SECOND * 15,
            overload_factor: 4.0,
            overload_window: SECOND * 3,
            max_poll_interval: SECOND * 10,
        },
        ..Settings::default()
    }
}

/// The only class of requests.
fn class() -> Class {
    Class {
        latency_objective: SECOND,
        latency_objective_stretch: 0.0,
        deadline: SECOND * 4,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        streaming: false,
    }
}

/// The only plan: no customer reaches its quota.
fn unlimited_plan() -> Plan {
    Plan {
        rate: 1e6,
        burst: 1e6,
        concurrency_quota: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        price: 1.0,
        over_quota_cost: 1.0,
    }
}

/// An endpoint of the list, in the zone that its number gives; without `started_at` it started long ago.
pub fn endpoint(number: u64, availability: Availability, started_at: Option<Instant>) -> Endpoint {
    Endpoint {
        backend: BackendId(number.wrapping_mul(IDENTIFIER_MULTIPLIER)),
        zone: (number % ZONES) as u8,
        cell: (number % ZONES) as u16,
        availability,
        size: 1.0,
        started_at,
        ..Endpoint::default()
    }
}

/// A list of ready endpoints that started long ago.
pub fn ready_endpoints(count: u64) -> Vec<Endpoint> {
    (0..count).map(|number| endpoint(number, Availability::Ready, None)).collect()
}

/// The end of an attempt that was served and whose answer went to the client.
pub fn attempt_served(id: RequestId, attempt: u16, backend: BackendId, elapsed: Duration) -> Event {
    Event::AttemptEnded(AttemptEnded {
        id,
        attempt,
        backend,
        outcome: Outcome::Ok,
        request_closed: true,
        elapsed,
        charged_units: None,
        reported_queue_depth: None,
    })
}

/// The time until the next arrival of a Poisson stream of `rate` a second.
pub fn poisson_interval(random: &mut fastrand::Rng, rate: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - random.f64()).ln() / rate) + Duration::MICROSECOND
}

/// A span drawn from a range.
pub fn draw_duration(random: &mut fastrand::Rng, range: Range<Duration>) -> Duration {
    Duration::from_micros(random.u64(range.start.as_micros()..range.end.as_micros()))
}
