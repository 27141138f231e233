//! The settings of a gateway: request classes, plans, limits and rules of the deployment.
//!
//! All values are specific to the deployment; [`SettingsReader`] reads them from its configuration.
//!
//! The *priority weight* of a class is the value of an answer to one of its requests. A gateway does not use
//! the weight itself, only the shares and factors by which a late answer or the customer's plan changes it.

mod error;
mod reader;
mod values;

use crate::{Duration, GatewayId};
pub use error::SettingsError;
pub use reader::{LoadReportField, SettingsReader};

/// The backends that recognise the idempotency key of a request after one of them has received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All backends.
    Fleet,
    /// The backends in the zone of the first one.
    Zone,
    /// The backends in the cell of the first one.
    Cell,
}

/// The condition for sending a request again after an earlier attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Requests may always be sent again.
    Idempotent,
    /// Requests may be sent again to the backends in `scope`, for `window` after the send of the first
    /// attempt that may have been executed.
    Keyed {
        /// Backends that recognise the idempotency key.
        scope: IdempotencyScope,
        /// Time for which they recognise it.
        window: Duration,
    },
    /// Requests may be sent again only if the outcomes of all earlier attempts prove that none was executed.
    NonIdempotent,
}

/// A class of requests with common time limits and idempotency.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time within which an answer earns the full priority weight.
    pub latency_objective: Duration,
    /// Multiple of a request's own processing time that the deployment adds to its latency objective; 0 for
    /// none.
    ///
    /// The processing time is unknown to a gateway. It applies the latency objective without the stretch,
    /// and lets no attempt of a class with a stretch expire before its deadline.
    pub latency_objective_stretch: f64,
    /// Maximum time that a client waits, including its own retries.
    pub deadline: Duration,
    /// Share of the priority weight that an answer after the latency objective earns.
    pub late_weight: f64,
    /// Condition for sending a request again after an earlier attempt.
    pub idempotency: Idempotency,
    /// Whether answers are streamed.
    pub streaming: bool,
}

/// A plan, with the quotas of each of its customers in the whole fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Refill rate of the quota's token bucket, in units per second; 0 for no rate quota.
    pub rate: f64,
    /// Capacity of the quota's token bucket, in units.
    pub burst: f64,
    /// Maximum number of attempts in flight; 0 for no concurrency quota.
    pub concurrency_quota: u32,
    /// Refill rate of the hard limit's token bucket, in units per second; 0 for no hard limit.
    pub hard_limit_rate: f64,
    /// Capacity of the hard limit's token bucket, in units.
    pub hard_limit_burst: f64,
    /// Factor on the priority weight.
    pub price: f64,
    /// Share of the priority weight deducted for a request that is forwarded beyond the quota.
    pub over_quota_cost: f64,
}

/// Limits and permissions of the deployment.
#[derive(Clone, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each permission is a setting of its own")]
pub struct Limits {
    /// Maximum number of attempts for a request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at the same time.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether gateways may send messages to each other.
    pub peer_messages: bool,
    /// Maximum number of peer messages that a gateway receives per second.
    pub peer_messages_per_second: f64,
    /// Whether rejections may advise the client of a time after which to retry.
    pub retry_after: bool,
    /// Maximum advised time that clients respect.
    pub max_retry_after: Duration,
    /// Maximum number of requests in progress: open ones, and closed ones with an attempt still in flight.
    pub max_open_requests: u32,
    /// Maximum time to establish a connection; an attempt may begin up to this time after its send.
    pub connect_timeout: Duration,
}

/// Parameters of the rules for backends and discovery.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Time after the change to draining was delivered for which the backend may still be sent attempts. The
    /// load balancer sends it none; only the audit uses this time.
    pub drain_grace: Duration,
    /// Minimum share of its capacity that a backend has at its start.
    pub slow_start_floor: f64,
    /// Time after the start at which a backend has its full capacity.
    pub slow_start_duration: Duration,
    /// Load, as a multiple of its capacity, above which a backend in slow start fails.
    pub overload_factor: f64,
    /// Time over which the load is measured for `overload_factor`.
    pub overload_window: Duration,
    /// Maximum time between two polls of discovery, where changes are not pushed.
    pub max_poll_interval: Duration,
}

/// The source of the endpoint list.
///
/// The ingress sends long polls to both, with different
/// [`PollTimings`](crate::discovery_schedule::PollTimings).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Discovery {
    /// An agent on the same machine, which receives each change at once. In the simulator it pushes changes
    /// without polls.
    #[default]
    LocalAgent,
    /// A service shared by all gateways. In the simulator a gateway polls it with
    /// [`Action::PollDiscovery`](crate::Action).
    SharedService,
}

/// The meaning of [`Endpoint::size`](crate::Endpoint::size).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum SizeMeaning {
    /// No meaning; the size is always 1.
    #[default]
    None,
    /// Registered or approximate capacity.
    Capacity,
    /// Ratio of capacity to load, with a delay.
    Live,
}

/// The settings of a gateway, passed to [`Gateway::new`](crate::Gateway::new).
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways in the fleet.
    pub gateway_count: u16,
    /// Index of this gateway in the fleet.
    pub own_id: GatewayId,
    /// Zone of this gateway.
    pub zone: u8,
    /// Minimum time between two events with different times of the host's clock.
    pub tick: Duration,
    /// Request classes, by the index in [`Request::class`](crate::Request::class).
    pub classes: Vec<Class>,
    /// Plans, by the index in [`Request::plan`](crate::Request::plan).
    pub plans: Vec<Plan>,
    /// Limits and permissions of the deployment.
    pub limits: Limits,
    /// Parameters of the rules for backends and discovery.
    pub rules: Rules,
    /// Source of the endpoint list.
    pub discovery: Discovery,
    /// Meaning of the sizes in the endpoint list.
    pub size_meaning: SizeMeaning,
    /// Whether the units of a request are an estimate, corrected when its attempt ends.
    pub postpaid: bool,
}
