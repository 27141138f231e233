//! Decision logic of an ingress gateway: admission control by plan and quota, load balancing, retries, load
//! shedding, outlier detection, and gossip with peers.
//!
//! The library performs no I/O and reads no clock. The host passes [`Event`]s with the current time to a
//! [`Gateway`] and executes the returned [`Action`]s in order.
//!
//! # Example
//!
//! One request, from its arrival to its answer:
//!
//! ```
//! use ingress::*;
//!
//! let plan = Plan {
//!     rate: 10.0, burst: 20.0, concurrency_quota: 0,
//!     hard_limit_rate: 0.0, hard_limit_burst: 0.0,
//!     price: 1.0, over_quota_cost: 1.0,
//! };
//! let class = Class {
//!     latency_objective: Duration::from_millis(500), latency_objective_stretch: 0.0,
//!     deadline: Duration::from_secs(2),
//!     late_weight: 0.0, idempotency: Idempotency::Idempotent, streaming: false,
//! };
//! let settings = Settings {
//!     gateway_count: 1, tick: Duration::from_millis(4), classes: vec![class], plans: vec![plan],
//!     ..Settings::default()
//! };
//! let start = Instant::from_micros(1_000_000);
//! let mut gateway = Gateway::new(settings, 42, start);
//! let mut actions = Vec::new();
//!
//! let backend = BackendId(7);
//! let list = vec![Endpoint { backend, size: 1.0, ..Endpoint::default() }];
//! gateway.handle(start, Event::Endpoints(EndpointUpdate::Snapshot, list), &mut actions);
//! // The gateway requests a wake-up; the host passes an `Event::Timer` for each `SetTimer` when it is due.
//! assert!(matches!(actions[..], [Action::SetTimer { .. }]));
//!
//! actions.clear();
//! let id = RequestId(1);
//! let request = Request {
//!     id, deadline: start + Duration::from_secs(2), units: 1.0, gateway_set_size: 1.0, ..Request::default()
//! };
//! gateway.handle(start + Duration::from_millis(4), Event::Request(request), &mut actions);
//! assert_eq!(actions, [Action::Send { id, backend, expires_at: None }]);
//!
//! actions.clear();
//! let answer = Event::AttemptEnded(AttemptEnded {
//!     id, attempt: 0, backend, outcome: Outcome::Ok, request_closed: true,
//!     elapsed: Duration::from_millis(12), charged_units: None, reported_queue_depth: None,
//! });
//! gateway.handle(start + Duration::from_millis(16), answer, &mut actions);
//! assert!(actions.is_empty(), "the host has answered the client, so no action is left");
//! ```

mod action;
pub mod audit;
mod endpoint;
mod event;
mod gateway;
mod gossip;
mod identifiers;
mod policy;
mod settings;
mod state;
mod time;

pub use action::Action;
pub use endpoint::{Availability, Endpoint, EndpointUpdate};
pub use event::{AttemptEnded, Event, Outcome, Request};
pub use gateway::Gateway;
pub use gossip::MAX_MESSAGE_BYTES;
pub use identifiers::{BackendId, CustomerId, GatewayId, RequestId};
pub use policy::quota::CUSTOMER_RECORD_BYTES;
pub use policy::{discovery_schedule, permissions, poll_retention, StartTimes};
pub use settings::{
    Class, Discovery, Idempotency, IdempotencyScope, Limits, LoadReportField, Plan, Rules, Settings,
    SettingsError, SettingsReader, SizeMeaning,
};
pub use time::{Duration, Instant, UnixTime};
