//! What hollow ingresses share: their settings, and the lists that they are told.

use ingress::*;

/// The driven clock's beginning, in microseconds.
pub const T0: Micros = 1_000_000_000_000;
/// A second.
pub const S: Micros = 1_000_000;
/// Zones of the fleet that is designed for.
pub const ZONES: u64 = 18;

/// The settings of one ingress among `gateways`, as those of the given site are, but for quotas that refuse nobody.
pub fn settings(gateways: u16, me: u16) -> Settings {
    let class = Class {
        latency_objective: S,
        latency_objective_stretch: 0.0,
        deadline: 4 * S,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        streaming: false,
    };
    let plan = Plan {
        rate: 1e6,
        burst: 1e6,
        concurrency_quota: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_slack: 0.0,
        price: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
    };
    Settings {
        gateway_count: gateways,
        own_id: GatewayId(me),
        tick: 4_000,
        classes: vec![class],
        plans: vec![plan],
        limits: Limits {
            max_attempts: 4,
            hedging: true,
            cancellation: true,
            peer_messages_per_second: 40.0,
            retry_after: true,
            max_retry_after: S,
            max_open_requests: 20_000,
            connect_timeout: 250_000,
            ..Limits::default()
        },
        rules: Rules {
            answer_slack: 16_000,
            drain_grace: 250_000,
            slow_start_floor: 0.23,
            slow_start_duration: 15 * S,
            overload_factor: 4.0,
            overload_window: 3 * S,
            max_poll_interval: 10 * S,
        },
        ..Settings::default()
    }
}

/// A backend of the list, in the zone that its number gives; `started` 0 is long ago.
pub fn listed(n: u64, availability: Availability, started: Micros) -> Endpoint {
    Endpoint {
        backend: BackendId(n.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        zone: (n % ZONES) as u8,
        cell: (n % ZONES) as u16,
        availability,
        size: 1.0,
        started_at: started,
        ..Endpoint::default()
    }
}

/// A whole list.
pub fn whole(backends: u64) -> Vec<Endpoint> {
    (0..backends).map(|n| listed(n, Availability::Ready, 0)).collect()
}

/// An answer to an attempt, good and whole.
pub fn served(id: RequestId, attempt: u16, backend: BackendId, took: Micros) -> Event {
    Event::AttemptEnded {
        id,
        attempt,
        backend,
        outcome: Outcome::Ok,
        answered: true,
        elapsed: took,
        metered: None,
        charged_units: None,
        load_report: None,
    }
}

/// Memory of this process in bytes, as resident.
pub fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|t| t.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

/// What is to come, in the order of its time; at one time in the order in which it was put down.
pub struct Schedule<T> {
    heap: std::collections::BinaryHeap<std::cmp::Reverse<(Micros, u64)>>,
    what: std::collections::HashMap<u64, T>,
    serial: u64,
}

impl<T> Default for Schedule<T> {
    fn default() -> Self {
        Schedule { heap: Default::default(), what: Default::default(), serial: 0 }
    }
}

impl<T> Schedule<T> {
    /// Puts something down.
    pub fn put(&mut self, at: Micros, what: T) {
        self.serial += 1;
        self.heap.push(std::cmp::Reverse((at, self.serial)));
        self.what.insert(self.serial, what);
    }

    /// The next one, and its time.
    pub fn take(&mut self) -> Option<(Micros, T)> {
        let std::cmp::Reverse((at, serial)) = self.heap.pop()?;
        self.what.remove(&serial).map(|what| (at, what))
    }
}

/// The time until the next arrival of a Poisson stream of `rate` a second.
pub fn gap(random: &mut fastrand::Rng, rate: f64) -> Micros {
    (-(1.0 - random.f64()).ln() / rate * S as f64) as Micros + 1
}
