//! The rules that the oracle checks, and what it reports where one is broken.

use serde::{Deserialize, Serialize};

/// A rule that was broken, with its number in `docs/INVARIANTS.md` where it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// R2, R3: a request got no answer.
    Lost,
    /// R1: bytes arrived after the final answer.
    SecondAnswer,
    /// R6: a request got the value of another one.
    WrongValue,
    /// A1: an attempt began after its client had disconnected.
    AttemptAfterDisconnect,
    /// A2: a non-idempotent request that may have been executed was sent again.
    UnsafeRepeat,
    /// A3: two attempts were in flight together though hedging is not allowed.
    ConcurrentAttempts,
    /// A4: an idempotency key was used after its window.
    KeyExpired,
    /// A5: a request had more attempts than are allowed.
    TooManyAttempts,
    /// A6: an attempt stated a longer timeout than its client had left.
    TimeOverstated,
    /// B1: a draining backend got a new request after the grace period.
    SentToDraining,
    /// B2: a backend in slow start got more than its budget.
    SlowStartExceeded,
    /// C1: an incomplete or malformed command got neither an error nor a close in time.
    #[serde(alias = "bad_client_ignored")]
    InvalidInputIgnored,
    /// S1: a process did not exit in time after SIGTERM.
    ShutdownOverdue,
    /// S2: a process ended by itself, or was not ready in time.
    Crashed,
    /// P2: requests were admitted beyond their quotas by more than delays explain.
    QuotaExceeded,
    /// The counters of an ingress do not agree with what was observed.
    CountersDisagree,
    /// An ingress reported a violation itself.
    Reported,
}

/// A rule that was broken once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The id of the request, where the rule is about one.
    pub request: Option<String>,
    /// What was observed, in one line.
    pub detail: String,
}

impl Violation {
    /// A violation of a rule about a request.
    pub(super) fn of_request(rule: Rule, id: &str, detail: String) -> Violation {
        Violation { rule, request: Some(id.to_string()), detail }
    }

    /// A violation of a rule that is not about a single request.
    pub(super) fn general(rule: Rule, detail: String) -> Violation {
        Violation { rule, request: None, detail }
    }
}
