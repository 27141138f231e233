//! Records what was done, reports it to the audit, and logs what that finds. A violation never ends the
//! process in service; in a debug build, as in tests, it panics.

use super::EventLoop;
use crate::backends::AttemptId;
use ingress::audit::{AttemptBegun, Violation, ViolationKind};
use ingress::{Outcome, RequestId};

impl EventLoop {
    /// Records the attempts whose first byte was written.
    pub(super) fn record_begun_attempts(&mut self) {
        for begun in self.backend_connections.take_begun() {
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
            for kind in violated {
                self.report_violation(kind, Some(id));
            }
        }
    }

    /// Records the end of an attempt.
    pub(super) fn record_attempt_end(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        request.record_end(attempt.number, outcome);
        if let Some(kind) = request.audit.attempt_ended(attempt.number, outcome) {
            self.report_violation(kind, Some(attempt.request));
        }
    }

    /// Reports the connections of clients that this side closed with replies owed.
    pub(super) fn audit_closed_clients(&mut self) {
        for id in self.clients.take_abandoned() {
            self.report_violation(ViolationKind::ClosedWithRepliesOwed, id);
        }
    }

    /// Reports the requests that have no answer when the process ends.
    pub(super) fn audit_exit(&mut self) {
        for id in self.requests.open_ids() {
            self.report_violation(ViolationKind::NoAnswer, Some(id));
        }
    }

    /// Counts a violation, and logs it unless one of its kind was logged a moment ago.
    pub(super) fn report_violation(&mut self, kind: ViolationKind, request: Option<RequestId>) {
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
                "violated"
            );
        }
        debug_assert!(kind.depends_on_speed(), "{kind:?} violated for request {request:?}");
    }
}
