//! The rules that the oracle checks, and the violations that it reports.

use serde::{Deserialize, Serialize};

/// A rule, described by its violation, with its number in `docs/INVARIANTS.md` where it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// R2, R3: a request got no answer.
    Lost,
    /// R1: bytes arrived after the final answer.
    SecondAnswer,
    /// R6: a request was answered with another request's value.
    WrongValue,
    /// A1: an attempt began after its client had disconnected.
    AttemptAfterDisconnect,
    /// A2: a non-idempotent request that may have been executed was sent again.
    UnsafeRepeat,
    /// A3: two attempts were in flight at once although hedging is not allowed.
    ConcurrentAttempts,
    /// A4: an idempotency key was used after its window.
    KeyExpired,
    /// A5: a request had more attempts than the settings allow.
    TooManyAttempts,
    /// A6: the timeout stated by an attempt exceeded the time that its client had left.
    TimeOverstated,
    /// B1: a draining backend received a new request after the grace period.
    SentToDraining,
    /// B2: a backend in slow start received more requests than its current capacity allows.
    SlowStartExceeded,
    /// C1: the ingress responded to an incomplete or malformed command neither with an error nor a close in
    /// time.
    #[serde(alias = "bad_client_ignored")]
    InvalidInputIgnored,
    /// S1: a process did not exit in time after SIGTERM.
    ShutdownOverdue,
    /// S2: a process crashed, or was not ready in time.
    Crashed,
    /// P2: requests were admitted beyond their quotas by more than reporting delays and restarts explain.
    QuotaExceeded,
    /// The counters of an ingress disagree with the observations.
    CountersDisagree,
    /// An ingress logged a violation or a panic.
    Reported,
}

/// A single violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Id of the request, if the violation concerns a single one.
    pub request: Option<String>,
    /// One-line description of the observation.
    pub detail: String,
}

impl Violation {
    /// Creates a violation that concerns a single request.
    pub(super) fn of_request(rule: Rule, id: &str, detail: String) -> Violation {
        Violation { rule, request: Some(id.to_string()), detail }
    }

    /// Creates a violation that does not concern a single request.
    pub(super) fn general(rule: Rule, detail: String) -> Violation {
        Violation { rule, request: None, detail }
    }
}
