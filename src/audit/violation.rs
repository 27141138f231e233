//! The kinds of violations.

use crate::RequestId;

/// The invariant that was violated, with its number in `docs/INVARIANTS.md` in brackets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViolationKind {
    /// A request got a second final answer (R1).
    SecondAnswer,
    /// A request got its final answer after its client's timeout (R2).
    LateAnswer,
    /// The process ends with a request that has no answer (R2).
    NoAnswer,
    /// A client's connection was closed with replies owed that the client waits for (R3).
    ClosedWithRepliesOwed,
    /// An attempt began for a request that has its answer, or whose client has disconnected (A1).
    AttemptAfterEnd,
    /// An attempt began though an earlier one may have been executed (A2).
    UnsafeRepeat,
    /// An attempt began beside one in flight where that is not allowed (A3).
    ConcurrentAttempts,
    /// An attempt began after the window of its idempotency key (A4).
    KeyExpired,
    /// An attempt began where the idempotency key of an earlier one is not known (A4).
    KeyOutOfScope,
    /// A request had more attempts than are allowed (A5).
    TooManyAttempts,
    /// The timeout stated to a backend exceeds the time that the client has left (A6).
    TimeOverstated,
    /// An attempt has ended that was not in flight (A8).
    UnexpectedEnd,
    /// An attempt began at a backend that takes no new work (B1).
    ClosedBackend,
}

impl ViolationKind {
    /// All kinds.
    pub const ALL: [ViolationKind; 13] = [
        ViolationKind::SecondAnswer,
        ViolationKind::LateAnswer,
        ViolationKind::NoAnswer,
        ViolationKind::ClosedWithRepliesOwed,
        ViolationKind::AttemptAfterEnd,
        ViolationKind::UnsafeRepeat,
        ViolationKind::ConcurrentAttempts,
        ViolationKind::KeyExpired,
        ViolationKind::KeyOutOfScope,
        ViolationKind::TooManyAttempts,
        ViolationKind::TimeOverstated,
        ViolationKind::UnexpectedEnd,
        ViolationKind::ClosedBackend,
    ];

    /// Whether a pause of the machine can cause it in a program without a fault.
    pub fn is_timing_dependent(self) -> bool {
        self == ViolationKind::LateAnswer
    }
}

/// A violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What was violated.
    pub kind: ViolationKind,
    /// The request; none if it concerns a connection as a whole.
    pub request: Option<RequestId>,
}
