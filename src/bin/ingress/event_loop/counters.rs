//! Counters of requests and attempts, which are logged on SIGUSR1.

use super::EventLoop;
use crate::logging;
use ingress::Outcome;

/// Counters of requests and attempts since the process started.
#[derive(Default)]
pub struct Counters {
    pub requests_opened: u64,
    /// Requests with a final answer of any kind.
    pub requests_answered: u64,
    /// Requests whose final answer was a rejection; part of `requests_answered`.
    pub requests_rejected: u64,
    /// Requests whose final answer was a failure; part of `requests_answered`.
    pub requests_failed: u64,
    /// Requests whose client disconnected before the final answer.
    pub requests_disconnected: u64,
    /// Attempts whose first byte was written.
    pub attempts_begun: u64,
    pub attempts_served: u64,
    /// Attempts that a backend rejected.
    pub attempts_rejected: u64,
    /// Attempts that ended with an error, a reset or a timeout.
    pub attempts_failed: u64,
    /// Attempts that ended before the command was completely written, as when no connection was established.
    pub attempts_not_connected: u64,
    /// Attempts that were cancelled or not sent.
    pub attempts_not_completed: u64,
}

impl Counters {
    /// Counts an ended attempt by its outcome.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Ok => &mut self.attempts_served,
            Outcome::Rejected => &mut self.attempts_rejected,
            Outcome::Error | Outcome::TimedOut | Outcome::Reset => &mut self.attempts_failed,
            Outcome::ConnectFailed => &mut self.attempts_not_connected,
            Outcome::Cancelled | Outcome::NotSent => &mut self.attempts_not_completed,
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
            requests = counters.requests_opened,
            answers = counters.requests_answered,
            rejections = counters.requests_rejected,
            failures = counters.requests_failed,
            disconnected = counters.requests_disconnected,
            // Includes closed requests with an attempt still in flight.
            open = self.requests.len(),
            "requests"
        );
        tracing::info!(
            target: "counters",
            begun = counters.attempts_begun,
            served = counters.attempts_served,
            rejected = counters.attempts_rejected,
            failed = counters.attempts_failed,
            connect_failed = counters.attempts_not_connected,
            cancelled = counters.attempts_not_completed,
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
