//! Why the policy rejects, ejects or does not retry, as its log events tell.

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// It names no class or plan that there is, or no number of units.
    Invalid,
    /// Too little time is left to hold, watch or serve it.
    NoTime,
    /// Load shedding lets none of its kind in now.
    Shed,
    /// Its customer is over its quota, or no grant came.
    OverQuota,
    /// The gateway has as much in flight and queued as it may.
    Saturated,
    /// It was queued for as long as it may be, or its attempts came to nothing.
    NotServed,
}

/// Why a backend was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Too many of its answers were failures.
    Failures,
    /// It answers nobody.
    Silence,
}
