//! Reasons for rejections and ejections, printed in log lines under these names, and the retry advice of a
//! rejection.

use crate::Duration;

/// Reason why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectReason {
    /// The request has a class or a plan that does not exist, or an invalid number of units.
    Invalid,
    /// Too little time is left to answer the request.
    NoTime,
    /// The customer has no record, and the limit on records is reached by customers whose records are in use
    /// or whose buckets are not full.
    TooManyCustomers,
    /// The customer is shed at the current shedding stage.
    Shed,
    /// The customer has used its quota or its hard limit.
    OverQuota,
    /// The quota owners have not answered and are presumed to be overloaded by the customer.
    QuotaUnknown,
    /// The customer is far over its quota, and grants are not requested for each of its requests.
    GrantRequestSkipped,
    /// The request claims a plan with a hard limit that is not the plan in the customer's record, so the
    /// limit could be exceeded. This also happens after a change of plan that has not reached this gateway
    /// yet.
    PlanMismatch,
    /// The concurrency limit is reached, and the queue accepts no further request of the customer.
    Saturated,
    /// The request was queued for the maximum time, or until too little time was left to answer it.
    QueueTimeout,
    /// The host stalled, and the request had too little time left afterwards.
    HostStalled,
    /// The attempts failed, and another one is not permitted or no backend can take it.
    AttemptsExhausted,
}

/// Time after which a rejected client is advised to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryAdvice {
    /// No advice is given.
    None,
    /// Retry after this time, or after the maximum of the settings if that is shorter.
    After(Duration),
    /// Retry after the maximum time of the settings.
    Longest,
}

impl RetryAdvice {
    /// Returns the time after which to retry, at most `longest`, the maximum of the settings; zero for no
    /// advice.
    pub(crate) fn retry_after(self, longest: Duration) -> Duration {
        match self {
            RetryAdvice::None => Duration::ZERO,
            RetryAdvice::After(time) => time.min(longest),
            RetryAdvice::Longest => longest,
        }
    }
}

/// Reason why a backend was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionReason {
    /// An attempt failed while the failure rate was too high, or before the backend returned to service from
    /// an earlier ejection.
    Failures,
    /// The backend has answered no attempt of the class for too long.
    Silence,
}
