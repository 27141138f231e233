//! The decisions of a gateway and their constants, one file per concern. The policies do no I/O and read no
//! clock; all randomness is derived from the seed.
//!
//! Transport constants are defined elsewhere: those of peer messages in `gossip`, those of connections and
//! sockets in the ingress program.

pub(crate) mod admission;
mod attempt_expiry;
mod concurrency_limit;
pub mod discovery_schedule;
mod load_balancing;
mod load_shedding;
mod outlier_detection;
pub mod permissions;
pub mod poll_retention;
mod pressure;
pub(crate) mod quota;
mod reasons;
mod retry;
mod start_times;
mod wake_up;

pub(crate) use attempt_expiry::{attempt_expiry, ExpiryContext};
pub(crate) use concurrency_limit::{ConcurrencyLimiter, GatewayLoad};
pub(crate) use load_balancing::{ChoiceContext, LoadBalancer, NoBackend, RecentSends, ReportedQueue};
pub(crate) use load_shedding::{CustomerActivity, LoadShedder, SheddingContext, StageChange};
pub(crate) use outlier_detection::{
    AnswerSample, BackendHealth, Ejection, EndedAttempt, HealthChange, HealthSignal, Observation,
    ObservationSource, OutlierDetector, SilenceCheck, REJECTION_LATENCY_RATIO,
};
pub(crate) use pressure::Pressure;
pub(crate) use reasons::{EjectionReason, RejectReason, RetryAdvice};
pub(crate) use retry::{
    AttemptCheck, AttemptCheckContext, ExecutedAttempt, FinalAnswer, RetryContext, RetryPolicy, RetryScope,
    NOT_SERVED_RETRY_AFTER,
};
pub use start_times::StartTimes;
pub(crate) use wake_up::WakeUpSchedule;
