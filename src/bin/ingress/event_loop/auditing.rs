//! Reports attempts, closed connections and missing answers to the audit, and logs violations of invariants.
//!
//! In a release build a violation does not end the process. In a debug build, as in tests, it panics, unless
//! its kind can be caused by a stall of the machine.

use super::EventLoop;
use crate::backends::AttemptId;
use ingress::audit::{AttemptBegun, Violation, ViolationKind};
use ingress::{BackendId, Duration, Outcome, RequestId};

/// Details of a violation for the log, in addition to its kind and request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ViolationDetails {
    attempt: Option<u16>,
    backend: Option<BackendId>,
    /// The timeout that the command stated to the backend.
    stated_timeout: Option<Duration>,
    outcome: Option<Outcome>,
}

impl EventLoop {
    /// Records the attempts whose first byte was written.
    pub(super) fn record_begun_attempts(&mut self) {
        for begun in self.backend_connections.take_first_bytes_written() {
            let AttemptId { request: id, number } = begun.attempt;
            self.counters.attempts_begun += 1;
            let Some(request) = self.requests.get_mut(id) else { continue };
            request.record_begun(number);
            let begun = AttemptBegun {
                number,
                backend: begun.backend,
                at: begun.stated_timeout.stated_at,
                stated_timeout: begun.stated_timeout.timeout,
            };
            let violated = request.audit.attempt_begun(&self.auditor, &begun);
            let details = ViolationDetails {
                attempt: Some(number),
                backend: Some(begun.backend),
                stated_timeout: Some(begun.stated_timeout),
                outcome: None,
            };
            for kind in violated {
                self.report_violation(kind, Some(id), details);
            }
        }
    }

    /// Records the end of an attempt in its request and in the audit, and reports a violation.
    pub(super) fn record_attempt_end(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        request.record_end(attempt.number, outcome);
        if let Some(kind) = request.audit.attempt_ended(attempt.number, outcome) {
            let entry = request.attempts.get(usize::from(attempt.number));
            let details = ViolationDetails {
                attempt: Some(attempt.number),
                backend: entry.map(|entry| entry.backend),
                stated_timeout: None,
                outcome: Some(outcome),
            };
            self.report_violation(kind, Some(attempt.request), details);
        }
    }

    /// Reports the client connections that the ingress closed with replies owed.
    pub(super) fn audit_closed_clients(&mut self) {
        for id in self.clients.take_closed_with_replies_owed() {
            self.report_violation(ViolationKind::ClosedWithRepliesOwed, id, ViolationDetails::default());
        }
    }

    /// Reports the requests that have no answer when the process exits.
    pub(super) fn audit_exit(&mut self) {
        for id in self.requests.open_ids() {
            self.report_violation(ViolationKind::NoAnswer, Some(id), ViolationDetails::default());
        }
    }

    /// Counts a violation, and logs it unless one of the same kind was logged recently.
    pub(super) fn report_violation(
        &mut self,
        kind: ViolationKind,
        request: Option<RequestId>,
        details: ViolationDetails,
    ) {
        let should_log = self.auditor.count_and_should_log(Violation { kind, request }, self.now);
        if should_log {
            let entry = request.and_then(|id| self.requests.get(id));
            let client_request_id = entry.map(|entry| entry.command.client_request_id());
            let client_request_id = client_request_id.map(String::from_utf8_lossy);
            tracing::error!(
                target: "invariant",
                ?kind,
                request = request.map(|id| id.0),
                client_request_id = client_request_id.map(tracing::field::display),
                attempt = details.attempt,
                backend = details.backend.map(|backend| backend.0),
                stated_timeout_ms = details.stated_timeout.map(Duration::as_millis_f64),
                outcome = details.outcome.map(tracing::field::debug),
                "violated"
            );
        }
        debug_assert!(kind.is_timing_dependent(), "{kind:?} violated for request {request:?}");
    }
}
