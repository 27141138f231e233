//! Settings, endpoint lists and random draws that the simulations share.

mod event_queue;

pub use event_queue::EventQueue;

use ingress::{
    AttemptEnded, Availability, BackendId, Class, Duration, Endpoint, Event, GatewayId, Idempotency, Instant,
    Limits, Outcome, Plan, RequestId, Rules, Settings,
};
use std::ops::Range;

/// Start of the simulated clock.
pub const START: Instant = Instant::from_micros(1_000_000_000_000);
/// One second; longer times are stated as multiples of it.
pub const SECOND: Duration = Duration::from_secs(1);
/// Number of zones in the simulated fleet.
pub const ZONES: u64 = 18;
/// Time after which clients abandon a request.
pub const REQUEST_DEADLINE: Duration = Duration::from_secs(3);
/// Range from which the service time of a backend is drawn.
pub const SERVICE_TIME: Range<Duration> = Duration::from_millis(60)..Duration::from_millis(160);
/// Range from which the delay of a simulated ingress's first timer is drawn.
pub const FIRST_TIMER_DELAY: Range<Duration> = Duration::MICROSECOND..Duration::from_millis(20);
/// Multiplier that spreads backend numbers over the identifier space: 2^64 divided by the golden ratio.
const IDENTIFIER_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the settings of ingress `number` in a fleet of `ingresses`: those of the target site, but with a
/// quota that rejects no request.
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

/// Returns the class of all requests.
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

/// Returns the plan of all customers, with a quota that none of them reaches.
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

/// Returns an entry of the endpoint list, in the zone derived from its number. An endpoint without
/// `started_at` is past its slow start.
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

/// Returns a list of ready endpoints that are past their slow start.
pub fn ready_endpoints(count: u64) -> Vec<Endpoint> {
    (0..count).map(|number| endpoint(number, Availability::Ready, None)).collect()
}

/// Returns the event of an attempt that succeeded and whose answer was sent to the client.
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

/// Draws the time to the next arrival of a Poisson process with `rate` arrivals per second.
pub fn poisson_interval(random: &mut fastrand::Rng, rate: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - random.f64()).ln() / rate) + Duration::MICROSECOND
}

/// Draws a uniformly distributed duration from a range.
pub fn draw_duration(random: &mut fastrand::Rng, range: Range<Duration>) -> Duration {
    Duration::from_micros(random.u64(range.start.as_micros()..range.end.as_micros()))
}
