//! Every decision of a gateway and every tuned constant, a file for each concern. No I/O, no clock: what is random comes
//! from the seed alone.

mod admission;
mod concurrency_limit;
pub mod discovery_schedule;
mod gateway;
mod load_balancing;
mod load_shedding;
mod outlier_detection;
pub mod permissions;
mod pressure;
mod quota;
mod reasons;
mod retry;
mod start_times;
mod usage_reports;

pub(crate) use concurrency_limit::{ConcurrencyLimiter, GatewayLoad};
pub(crate) use gateway::report_interval;
pub(crate) use load_balancing::MAX_REPORTED_QUEUE_DEPTH;
pub(crate) use load_shedding::{LoadShedder, StageChange, NOT_SERVED_RETRY_AFTER};
pub(crate) use outlier_detection::initial_baseline;
pub(crate) use pressure::Pressure;
pub(crate) use quota::{MAX_REFILL_SECONDS, ROUNDING_MARGIN};
pub(crate) use reasons::{EjectionReason, RejectReason};
pub(crate) use retry::{
    AttemptCheck, AttemptCheckFacts, ExecutedAttempt, FinalAnswer, RetryFacts, RetryPolicy, RetryScope,
};
pub use start_times::StartTimes;
