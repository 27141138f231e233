//! Counters of the event loop, which SIGUSR1 logs.

use super::EventLoop;
use crate::logging;
use ingress::Outcome;

/// Counters of requests and attempts since the start.
#[derive(Default)]
pub struct Counters {
    /// Requests that were opened.
    pub requests: u64,
    /// Final answers of any kind.
    pub answers: u64,
    /// Of these, rejections.
    pub rejections: u64,
    /// Of these, failures.
    pub failures: u64,
    /// Requests whose client disconnected before their answer.
    pub disconnected: u64,
    /// Attempts whose first byte was written.
    pub attempts_begun: u64,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that were rejected by their backend.
    pub rejected: u64,
    /// Attempts that ended with an error, a reset or a timeout.
    pub failed: u64,
    /// Attempts that were never executed since no connection was established.
    pub connect_failed: u64,
    /// Attempts that were cancelled, or not sent.
    pub cancelled: u64,
}

impl Counters {
    /// Counts the end of an attempt.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Ok => &mut self.served,
            Outcome::Rejected => &mut self.rejected,
            Outcome::Error | Outcome::TimedOut | Outcome::Reset => &mut self.failed,
            Outcome::ConnectFailed => &mut self.connect_failed,
            Outcome::Cancelled | Outcome::NotSent => &mut self.cancelled,
        };
        *counter += 1;
    }
}

impl EventLoop {
    /// Logs the counters and the current numbers of requests and connections.
    pub(super) fn log_counters(&self) {
        let counters = &self.counters;
        tracing::info!(
            target: "counters",
            requests = counters.requests,
            answers = counters.answers,
            rejections = counters.rejections,
            failures = counters.failures,
            disconnected = counters.disconnected,
            open = self.requests.len(),
            "requests"
        );
        tracing::info!(
            target: "counters",
            begun = counters.attempts_begun,
            served = counters.served,
            rejected = counters.rejected,
            failed = counters.failed,
            connect_failed = counters.connect_failed,
            cancelled = counters.cancelled,
            "attempts"
        );
        tracing::info!(
            target: "counters",
            clients = self.clients.len(),
            accepted = self.clients.accepted_count(),
            backend_connections = self.backend_connections.len(),
            opened = self.backend_connections.opened_count,
            "connections"
        );
        tracing::info!(target: "counters", dropped_lines = logging::dropped_lines(), "log");
        for (reason, count) in self.clients.close_counts() {
            tracing::info!(target: "counters", ?reason, count, "closed clients");
        }
        for (kind, count) in self.auditor.counts() {
            tracing::info!(target: "counters", ?kind, count, "violations");
        }
    }
}
