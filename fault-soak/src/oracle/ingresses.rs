//! Rules about ingresses: invalid input, starts and exits, quotas, counters and logs.

use super::{ingress_of, Oracle, Rule, Violation};
use crate::ingress::Ingress;
use crate::plan::SoakPlan;
use crate::record::{to_millis, CounterRecord, Micros, Observations, Outcome, ProcessEvent};
use crate::settings::{METERED_BURST, METERED_RATE};
use std::collections::HashSet;
use std::path::Path;

/// Maximum time from an incomplete or malformed command until an error or a close.
const INVALID_INPUT_TIMEOUT: Micros = 3_000_000;
/// Maximum ratio of forwarded requests to quotas. It exceeds 1 because usage is reported with a delay, and a
/// restarted ingress loses part of it.
const QUOTA_TOLERANCE: f64 = 1.5;

/// Returns the sum of all metered customers' quotas over a run, in requests.
fn total_quota(plan: &SoakPlan) -> f64 {
    let customer_quota = METERED_BURST + METERED_RATE * plan.shape.seconds as f64;
    plan.shape.ingresses as f64 * customer_quota
}

/// Returns the ratio of metered customers' forwarded requests to the sum of their quotas.
pub fn quota_use(plan: &SoakPlan, observations: &Observations) -> f64 {
    let forwarded: HashSet<&str> = observations.arrivals.iter().map(|arrival| arrival.id.as_str()).collect();
    let metered = observations.requests.iter().filter(|request| request.metered_customer.is_some());
    let count = metered.filter(|request| forwarded.contains(request.id.as_str())).count();
    count as f64 / total_quota(plan)
}

/// Counts that the stand-ins observed for one ingress, to be compared with its counters.
#[derive(Debug)]
struct ObservedCounts {
    /// Number of attempts that arrived at backends.
    attempts: u64,
    /// Number of requests that these attempts belong to.
    requests: u64,
    /// Number of requests for which clients received the expected value.
    served: u64,
}

impl ObservedCounts {
    /// Counts what clients and backends observed of an ingress.
    fn of(observations: &Observations, ingress: usize) -> ObservedCounts {
        let ids = observations.arrivals.iter().map(|arrival| arrival.id.as_str());
        let attempts: Vec<&str> = ids.filter(|id| ingress_of(id) == Some(ingress)).collect();
        let requests: HashSet<&str> = attempts.iter().copied().collect();
        let own_requests = observations.requests.iter().filter(|request| request.ingress == ingress);
        let served = own_requests.filter(|request| request.outcome == Outcome::Served).count();
        ObservedCounts {
            attempts: attempts.len() as u64,
            requests: requests.len() as u64,
            served: served as u64,
        }
    }

    /// Returns whether the ingress counted at least as many attempts, requests and served requests.
    fn is_covered_by(&self, counters: &CounterRecord) -> bool {
        self.attempts <= counters.attempts_begun
            && self.requests <= counters.requests
            && self.served <= counters.answers.saturating_sub(counters.not_served)
    }
}

impl Oracle<'_> {
    /// Checks that the ingress responds to incomplete and malformed commands in time, with an error or a
    /// close.
    pub(super) fn check_invalid_input(&mut self) {
        let observations = self.observations;
        for input in &observations.invalid_inputs {
            let limit = input.at + INVALID_INPUT_TIMEOUT + self.slack();
            if input.responded_at.is_none_or(|responded_at| responded_at > limit) {
                let waited_ms = input.responded_at.map(|responded_at| to_millis(responded_at - input.at));
                let detail = format!("ingress {}: error or close after {waited_ms:?} ms", input.ingress);
                self.report_general(Rule::InvalidInputIgnored, detail);
            }
        }
    }

    /// Checks that processes become ready in time, exit in time after SIGTERM, and do not crash.
    pub(super) fn check_processes(&mut self) {
        let observations = self.observations;
        for record in &observations.processes {
            let rule = match record.event {
                ProcessEvent::Overdue => Rule::ShutdownOverdue,
                ProcessEvent::Crashed | ProcessEvent::NotReady => Rule::Crashed,
                _ => continue,
            };
            let detail =
                format!("ingress {}: {:?} at {} ms", record.ingress, record.event, to_millis(record.at));
            self.report_general(rule, detail);
        }
    }

    /// Checks that quotas hold over all ingresses, despite restarts and lost messages.
    pub(super) fn check_quotas(&mut self) {
        let quota_use = quota_use(self.plan, self.observations);
        if quota_use > QUOTA_TOLERANCE {
            let detail = format!("{quota_use:.2} times what the quotas allow was forwarded");
            self.report_general(Rule::QuotaExceeded, detail);
        }
    }

    /// Checks that the counters of each ingress cover the observed counts.
    pub(super) fn check_counters(&mut self) {
        let observations = self.observations;
        for counters in &observations.counters {
            let observed = ObservedCounts::of(observations, counters.ingress);
            if !observed.is_covered_by(counters) {
                self.report_general(Rule::CountersDisagree, format!("{observed:?}, {counters:?}"));
            }
        }
    }
}

/// Returns the violations and panics in the logs of the ingresses. Late answers are detected from the
/// observations of the clients instead, because an ingress also reports those that a pause of the plan
/// causes.
pub fn check_logs(folder: &Path, ingresses: usize) -> Vec<Violation> {
    let mut violations = Vec::new();
    for number in 0..ingresses {
        let log = std::fs::read_to_string(Ingress::log_file(folder, number)).unwrap_or_default();
        for line in log.lines().filter(|line| reports_violation(line)) {
            violations.push(Violation::general(Rule::Reported, format!("ingress {number}: {line}")));
        }
    }
    violations
}

/// Returns whether a log line reports a violation or a panic.
fn reports_violation(line: &str) -> bool {
    let violated = line.contains("invariant: violated") && !line.contains("kind=LateAnswer");
    violated || line.contains("panicked")
}
