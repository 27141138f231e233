//! Settings and endpoint lists of the simulated fleets.

use crate::support::settings::{class, limits, plan, rules, SECOND, START};
use ingress::*;

/// Unit of the delays of events.
pub const MILLISECOND: Duration = Duration::from_millis(1);

/// Number of gateways in the settings and of running ones, with the number of backends and the message limit.
#[derive(Clone, Copy)]
pub struct FleetSize {
    pub gateway_count: u16,
    pub live_gateways: u16,
    pub backends: u64,
    pub peer_messages_per_second: f64,
}

/// All gateways run, and each is a quota owner of every customer.
pub const THREE: FleetSize =
    FleetSize { gateway_count: 3, live_gateways: 3, backends: 15, peer_messages_per_second: 60.0 };
/// Largest fleet in which each gateway of a customer's set is one of its quota owners.
pub const THIRTY: FleetSize =
    FleetSize { gateway_count: 30, live_gateways: 5, backends: 60, peer_messages_per_second: 130.0 };
/// A customer has one quota owner, or two with a hard limit, from which the other gateways request grants.
pub const THREE_HUNDRED: FleetSize =
    FleetSize { gateway_count: 300, live_gateways: 6, backends: 300, peer_messages_per_second: 60.0 };

/// Deployment of a fleet. Each fleet runs in both deployments.
#[derive(Clone, Copy, PartialEq)]
pub enum Deployment {
    /// With hedging, a pushed endpoint list and backends of equal size.
    Hedged,
    /// Without hedging; discovery is polled, sizes are capacities, and units are corrected with the answer.
    Single,
}

/// Returns one class each of idempotent, keyed by cell, keyed by zone, non-idempotent and streamed requests.
fn classes() -> Vec<Class> {
    let keyed = |scope| Idempotency::Keyed { scope, window: SECOND * 2 };
    vec![
        class(Idempotency::Idempotent),
        class(keyed(IdempotencyScope::Cell)),
        Class { latency_objective: SECOND * 2, ..class(keyed(IdempotencyScope::Zone)) },
        class(Idempotency::NonIdempotent),
        Class {
            streaming: true,
            late_weight: 0.2,
            latency_objective: SECOND * 2,
            latency_objective_stretch: 0.5,
            ..class(Idempotency::Idempotent)
        },
    ]
}

/// Returns plans without limit, with a rate quota, a hard limit and a concurrency quota, at different prices.
fn plans() -> Vec<Plan> {
    let unlimited = plan(1e6, 1e6);
    vec![
        unlimited.clone(),
        Plan { rate: 4.0, burst: 12.0, price: 1.3, ..unlimited.clone() },
        Plan {
            rate: 100.0,
            burst: 100.0,
            hard_limit_rate: 5.0,
            hard_limit_burst: 12.0,
            price: 2.0,
            ..unlimited.clone()
        },
        Plan { rate: 0.0, burst: 0.0, concurrency_quota: 2, over_quota_cost: 0.5, ..unlimited },
    ]
}

/// Returns the settings of the gateway with this index.
pub fn settings(size: FleetSize, deployment: Deployment, own_id: u16) -> Settings {
    let single = deployment == Deployment::Single;
    Settings {
        gateway_count: size.gateway_count,
        own_id: GatewayId(own_id),
        zone: (own_id % 2) as u8,
        tick: MILLISECOND * 4,
        classes: classes(),
        plans: plans(),
        limits: Limits {
            hedging: deployment == Deployment::Hedged,
            peer_messages_per_second: size.peer_messages_per_second,
            ..limits()
        },
        rules: rules(),
        discovery: if single { Discovery::SharedService } else { Discovery::LocalAgent },
        size_meaning: if single { SizeMeaning::Capacity } else { SizeMeaning::None },
        postpaid: single,
    }
}

/// Returns the entry of a backend in the endpoint list at a time of the run, or `None` while it is not
/// listed.
fn endpoint_at(backend: u64, elapsed: Duration, size: FleetSize) -> Option<Endpoint> {
    let is_away = (SECOND * 18..SECOND * 22).contains(&elapsed) && backend + 2 >= size.backends;
    let (availability, started_at) = match (backend, elapsed.as_secs()) {
        (2, 5) => (Availability::Draining, None),
        (2, 6) | (3, 23..) => (Availability::Gone, None),
        (2, 7..) => (Availability::Ready, Some(START + SECOND * 7)),
        _ => (Availability::Ready, None),
    };
    let entry = Endpoint {
        backend: BackendId(backend),
        zone: (backend % 2) as u8,
        cell: (backend % 4) as u16,
        machine_type: 0,
        availability,
        size: 1.0 + (backend % 3) as f64 / 2.0,
        started_at,
    };
    (!is_away).then_some(entry)
}

/// Returns the event with the endpoint list at a time of the run.
pub fn endpoint_event(kind: EndpointUpdate, elapsed: Duration, size: FleetSize) -> Event {
    let backends = match kind {
        EndpointUpdate::Delta => 2..4,
        EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot => 0..size.backends,
        EndpointUpdate::PollFailed => 0..0,
    };
    Event::Endpoints(kind, backends.filter_map(|backend| endpoint_at(backend, elapsed, size)).collect())
}
