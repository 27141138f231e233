//! Violations of invariants, by kind.

use crate::RequestId;

/// The kind of a violation, with the number of the invariant in `docs/INVARIANTS.md` in parentheses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViolationKind {
    /// A request received a second final answer (R1).
    SecondAnswer,
    /// A request received its final answer after its client's timeout (R2).
    LateAnswer,
    /// The process exits while a request has no final answer (R2).
    NoAnswer,
    /// A client connection was closed while the client waited for replies (R3).
    ClosedWithRepliesOwed,
    /// An attempt began after the request's final answer or the client's disconnect (A1).
    AttemptAfterEnd,
    /// An attempt of a non-idempotent request began though an earlier one may have been executed (A2).
    UnsafeRepeat,
    /// An attempt began while another was in flight and hedging was not permitted (A3).
    ConcurrentAttempts,
    /// An attempt began after the window of its idempotency key had ended (A4).
    KeyExpired,
    /// An attempt began at a backend that does not share the idempotency key of an earlier attempt (A4).
    KeyOutOfScope,
    /// A request had more attempts than permitted (A5).
    TooManyAttempts,
    /// The timeout stated to a backend exceeded the client's remaining time (A6).
    TimeOverstated,
    /// An end was reported for an attempt that was not in flight (A8).
    UnexpectedEnd,
    /// An attempt began at a backend that accepts no new requests (B1).
    ClosedBackend,
}

impl ViolationKind {
    /// All kinds, in the order of their discriminants.
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

    /// Returns whether a stall of the machine can cause a violation of this kind without a fault in the
    /// program.
    pub fn is_timing_dependent(self) -> bool {
        self == ViolationKind::LateAnswer
    }
}

/// One occurrence of a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Invariant that was violated.
    pub kind: ViolationKind,
    /// Request concerned; `None` if the violation concerns a whole connection.
    pub request: Option<RequestId>,
}
