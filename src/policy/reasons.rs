//! The reasons of rejections and ejections, as log lines spell them, and the advice that goes with a
//! rejection.

use crate::Duration;

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectReason {
    /// It names a class or a plan that does not exist, or a number of units that makes no sense.
    Invalid,
    /// Too little time is left for it to be answered.
    NoTime,
    /// Its customer is shed at the present stage of load shedding.
    Shed,
    /// Its customer has used its quota or its hard limit.
    OverQuota,
    /// The owners of its customer's quota granted nothing and are presumed to be overloaded by the customer.
    QuotaUnknown,
    /// Its customer is far beyond its quota, and the owners of the quota are not asked for each of its
    /// requests.
    GrantRequestSkipped,
    /// It names a plan with a hard limit that is not the plan of its customer's record, by which the limit
    /// might be exceeded. A change of plan that is not known here yet shows like this, too.
    PlanMismatch,
    /// The gateway has as much in flight and queued as it may.
    Saturated,
    /// It was queued for as long as it may be.
    QueueTimeout,
    /// The host stood still, and the request had too little time left when it went on.
    HostStalled,
    /// Its attempts did not succeed, and no other is permitted or no backend may take one.
    AttemptsExhausted,
}

/// When a rejected client is advised to send its request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryAdvice {
    /// It gets no advice.
    None,
    /// After a time, or after the longest one that the settings allow if that is less.
    After(Duration),
    /// After the longest time that the settings allow.
    Longest,
}

impl RetryAdvice {
    /// The time after which to retry, where the settings allow `longest` at most; zero for no advice.
    pub(crate) fn retry_after(self, longest: Duration) -> Duration {
        match self {
            RetryAdvice::None => Duration::ZERO,
            RetryAdvice::After(time) => time.min(longest),
            RetryAdvice::Longest => longest,
        }
    }
}

/// Why a backend was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionReason {
    /// Too many of its answers were failures.
    Failures,
    /// It has answered no attempt of the class for too long.
    Silence,
}
