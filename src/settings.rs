//! What a gateway is told at its start: request classes, plans, limits and the figures of the rules. The values come
//! from the deployment alone; [`SettingsReader`] reads them.

mod reader;

use crate::{Duration, GatewayId};
pub use reader::{SettingsError, SettingsReader};

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
    /// An answer within this time earns the full weight.
    pub latency_objective: Duration,
    /// The objective grows by this multiple of a request's own work.
    pub latency_objective_stretch: f64,
    /// The longest that a client waits, over all its tries.
    pub deadline: Duration,
    /// What an answer in time is worth.
    pub priority_weight: f64,
    /// The share of the weight that is left after the objective.
    pub late_weight: f64,
    /// Whether it may be executed again.
    pub idempotency: Idempotency,
    /// The answer comes as a stream.
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
    /// Units by which the hard limit's token bucket may go below nothing.
    pub hard_limit_slack: f64,
    /// Factor on the priority weight.
    pub price: f64,
    /// Share of the priority weight that is earned beyond the quota.
    pub over_quota_weight: f64,
    /// Share of the priority weight that forwarding beyond the quota costs.
    pub over_quota_cost: f64,
}

/// What the deployment permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts for a request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Backends may be health checked.
    pub health_checks: bool,
    /// Gateways may send each other messages.
    pub peer_messages: bool,
    /// Messages that a gateway takes in, in a second.
    pub peer_messages_per_second: f64,
    /// Clients are told how long to keep away.
    pub retry_after: bool,
    /// The longest pause that a client keeps.
    pub max_retry_after: Duration,
    /// A shared counter may be used.
    pub shared_counter: bool,
    /// Requests open at once.
    pub max_open_requests: u32,
    /// A connection still not up by then has failed; an attempt may begin that much after its send.
    pub connect_timeout: Duration,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// A final answer counts until this long past the deadline.
    pub answer_slack: Duration,
    /// New work to a draining backend must have ended after this.
    pub drain_grace: Duration,
    /// A backend starts at this share of its capacity or more.
    pub slow_start_floor: f64,
    /// It has its full capacity after this long.
    pub slow_start_duration: Duration,
    /// A backend in slow start falls over when sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Duration,
    /// Discovery must be polled at least this often where it must be polled.
    pub max_poll_interval: Duration,
}

/// How the endpoint list comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Discovery {
    /// By itself.
    #[default]
    Push,
    /// Only when polled.
    Poll,
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

/// What a gateway is told at its start.
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
    /// How the endpoint list comes.
    pub discovery: Discovery,
    /// What the sizes of endpoints mean.
    pub size_meaning: SizeMeaning,
    /// The period of the meter that reports use; 0 for none.
    pub meter_period: Duration,
    /// Units are guesses, settled with the answer.
    pub postpaid: bool,
}
