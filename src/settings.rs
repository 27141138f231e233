//! The settings of a gateway: request classes, plans, limits and the figures of the rules. The values come
//! from the deployment alone; [`SettingsReader`] reads them.

mod error;
mod reader;
mod values;

use crate::{Duration, GatewayId};
pub use error::SettingsError;
pub use reader::{LoadReportField, SettingsReader};

/// Which backends recognise the idempotency key of a request that they have seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Any of them.
    Fleet,
    /// Those in the zone of the first backend.
    Zone,
    /// Those in the cell of the first backend.
    Cell,
}

/// Whether a request that may have been executed may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Always.
    Idempotent,
    /// To a group of backends, for `window` after the send of the first attempt that may have been executed.
    Keyed {
        /// The backends that know the idempotency key.
        scope: IdempotencyScope,
        /// How long they know it.
        window: Duration,
    },
    /// Only with proof that no earlier attempt was executed.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Duration,
    /// Above 0 the deployment adds this multiple of a request's own work to its objective. A gateway doesn't
    /// know that work: it goes by the objective alone, and lets no attempt of such a class expire before its
    /// deadline.
    pub latency_objective_stretch: f64,
    /// The longest that a client waits, its own retries included.
    pub deadline: Duration,
    /// The share of the class's priority weight that an answer after the objective earns.
    pub late_weight: f64,
    /// Whether it may be executed again.
    pub idempotency: Idempotency,
    /// The answer is a stream.
    pub streaming: bool,
}

/// A plan, and the quotas that each of its customers has over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second that refill the quota's token bucket; 0 for no quota on the rate.
    pub rate: f64,
    /// Units that the quota's token bucket holds.
    pub burst: f64,
    /// Attempts in flight at once; 0 for no such quota.
    pub concurrency_quota: u32,
    /// Units a second that refill the hard limit's token bucket; 0 for no hard limit.
    pub hard_limit_rate: f64,
    /// Units that the hard limit's token bucket holds.
    pub hard_limit_burst: f64,
    /// Factor on the priority weight.
    pub price: f64,
    /// Share of the priority weight that forwarding beyond the quota costs.
    pub over_quota_cost: f64,
}

/// What the deployment permits.
#[derive(Clone, Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "permissions that the settings give independently of each other"
)]
pub struct Limits {
    /// Attempts for a request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Gateways may send each other messages.
    pub peer_messages: bool,
    /// Messages that a gateway receives in a second, at the most.
    pub peer_messages_per_second: f64,
    /// Rejections may carry the time after which to retry.
    pub retry_after: bool,
    /// The longest such time that clients follow.
    pub max_retry_after: Duration,
    /// Requests in work at once: open ones, and closed ones that still have an attempt in flight.
    pub max_open_requests: u32,
    /// How long establishing a connection may take; an attempt may begin that much after it was sent.
    pub connect_timeout: Duration,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// A draining backend may be sent new work for this long after the change was delivered. The load
    /// balancer sends it none at all; only the audit goes by this.
    pub drain_grace: Duration,
    /// A backend starts at this share of its capacity or more.
    pub slow_start_floor: f64,
    /// It has its full capacity after this long.
    pub slow_start_duration: Duration,
    /// A backend in slow start fails when it is sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... within this time.
    pub overload_window: Duration,
    /// Discovery must be polled at least this often where it must be polled.
    pub max_poll_interval: Duration,
}

/// Where the endpoint list comes from. The ingress makes long polls in both cases, by different
/// [`PollTimings`](crate::discovery_schedule::PollTimings).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Discovery {
    /// An agent on the same host, which has each change at once. The simulator delivers its changes unasked.
    #[default]
    LocalAgent,
    /// A service that all gateways share. In the simulator a gateway asks it by
    /// [`Action::PollDiscovery`](crate::Action).
    SharedService,
}

/// What the `size` of an endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum SizeMeaning {
    /// Nothing, it is always 1.
    #[default]
    None,
    /// Its capacity as registered, or roughly.
    Capacity,
    /// Capacity over load, as of some time ago.
    Live,
}

/// The settings of a gateway, which it is given at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many gateways there are.
    pub gateway_count: u16,
    /// The index of this one.
    pub own_id: GatewayId,
    /// The zone of this gateway.
    pub zone: u8,
    /// The least time between two calls with a new clock.
    pub tick: Duration,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// What is permitted.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// Where the endpoint list comes from.
    pub discovery: Discovery,
    /// What the sizes of endpoints mean.
    pub size_meaning: SizeMeaning,
    /// Units are guesses, settled with the answer.
    pub postpaid: bool,
}
