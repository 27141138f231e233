//! Rules about requests: each gets an answer, and only the attempts that its class and the settings allow.

use super::{Oracle, Rule};
use crate::record::{
    to_millis, ArrivalRecord, Micros, Observations, Outcome, ProcessEvent, RequestClass, RequestRecord,
};
use crate::settings::{ANSWER_SLACK, KEY_WINDOW, MAX_ATTEMPTS};
use std::collections::HashMap;

/// Maximum excess of an attempt's stated timeout over the time that its client has left, as the protocol
/// documentation permits. It equals the longest pause, but also applies without pauses.
const TIME_SLACK: Micros = 150_000;
/// Maximum time between a client's disconnect and the start of an attempt.
const DISCONNECT_SLACK: Micros = 100_000;
/// Minimum time for which two attempts must overlap to count as concurrent.
const MIN_OVERLAP: Micros = 50_000;

/// Groups the arrivals at backends by request, in order of arrival.
fn arrivals_by_request(observations: &Observations) -> HashMap<&str, Vec<&ArrivalRecord>> {
    let mut arrivals: HashMap<&str, Vec<&ArrivalRecord>> = HashMap::new();
    for arrival in &observations.arrivals {
        arrivals.entry(&arrival.id).or_default().push(arrival);
    }
    arrivals
}

impl Oracle<'_> {
    /// Checks the answer and the attempts of every request.
    pub(super) fn check_requests(&mut self) {
        let observations = self.observations;
        let arrivals = arrivals_by_request(observations);
        for request in &observations.requests {
            let arrivals = arrivals.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
            self.check_answer(request, arrivals);
            self.check_attempts(request, arrivals);
        }
    }

    /// Checks that no bytes follow a final answer.
    pub(super) fn check_stray_bytes(&mut self) {
        let observations = self.observations;
        for bytes in &observations.stray_bytes {
            self.report_general(Rule::SecondAnswer, format!("after an answer: {bytes:?}"));
        }
    }

    /// Returns whether a process of the ingress was killed, crashed or was not ready between two times. Its
    /// open requests are then not counted as lost; crashes are reported separately.
    fn terminated_abnormally(&self, ingress: usize, from: Micros, until: Micros) -> bool {
        let slack = self.observation_slack();
        self.observations.processes.iter().any(|record| {
            let is_abnormal = matches!(
                record.event,
                ProcessEvent::Killed | ProcessEvent::Crashed | ProcessEvent::Overdue | ProcessEvent::NotReady
            );
            let in_span = record.at + slack >= from && record.at <= until + slack;
            record.ingress == ingress && is_abnormal && in_span
        })
    }

    /// Checks that a request was answered, and not with another request's value.
    fn check_answer(&mut self, request: &RequestRecord, arrivals: &[&ArrivalRecord]) {
        let excused = self.terminated_abnormally(request.ingress, request.sent_at, request.ended_at);
        let waited_ms = to_millis(request.ended_at.saturating_sub(request.sent_at));
        match request.outcome {
            Outcome::WrongValue => {
                self.report(Rule::WrongValue, &request.id, "another request's value".into());
            }
            // If the machine stalls for longer than the clients' slack, a late answer looks like a lost one.
            Outcome::Unanswered if !excused && self.observations.longest_stall < ANSWER_SLACK => {
                let detail = format!("no answer in {waited_ms} ms of {} ms", to_millis(request.timeout));
                self.report(Rule::Lost, &request.id, detail);
            }
            // On a reused connection, a close may cross a request on the network, unless the ingress has read
            // it.
            Outcome::Closed if !excused && (!request.may_cross_close || !arrivals.is_empty()) => {
                let detail = format!("closed after {waited_ms} ms, {} attempts", arrivals.len());
                self.report(Rule::Lost, &request.id, detail);
            }
            _ => {}
        }
    }

    /// Checks the number of a request's attempts and each attempt.
    fn check_attempts(&mut self, request: &RequestRecord, arrivals: &[&ArrivalRecord]) {
        if arrivals.len() > MAX_ATTEMPTS {
            self.report(Rule::TooManyAttempts, &request.id, format!("{} attempts", arrivals.len()));
        }
        for (index, arrival) in arrivals.iter().enumerate() {
            self.check_time_budget(request, arrival);
            self.check_disconnect(request, arrival);
            self.check_repeat(request, &arrivals[..index], arrival);
        }
    }

    /// Checks that the timeout stated by an attempt does not exceed the time that its client has left.
    fn check_time_budget(&mut self, request: &RequestRecord, arrival: &ArrivalRecord) {
        let time_left = (request.sent_at + request.timeout).saturating_sub(arrival.at);
        if arrival.time_budget > time_left + TIME_SLACK + self.slack() {
            let detail =
                format!("{} ms announced, {} ms left", to_millis(arrival.time_budget), to_millis(time_left));
            self.report(Rule::TimeOverstated, &request.id, detail);
        }
    }

    /// Checks that an attempt did not begin after its client had disconnected.
    fn check_disconnect(&mut self, request: &RequestRecord, arrival: &ArrivalRecord) {
        let disconnected = request.outcome == Outcome::Disconnected;
        if disconnected && arrival.at > request.ended_at + DISCONNECT_SLACK + self.slack() {
            let detail =
                format!("{} ms after its client disconnected", to_millis(arrival.at - request.ended_at));
            self.report(Rule::AttemptAfterDisconnect, &request.id, detail);
        }
    }

    /// Checks that an attempt was allowed, given the earlier attempts of the same request.
    fn check_repeat(&mut self, request: &RequestRecord, earlier: &[&ArrivalRecord], arrival: &ArrivalRecord) {
        let Some(first) = earlier.iter().find(|earlier| !earlier.rejected) else { return };
        let after_ms = to_millis(arrival.at - first.at);
        if request.class == RequestClass::NonIdempotent {
            let detail =
                format!("sent to backend {} {after_ms} ms after backend {}", arrival.backend, first.backend);
            self.report(Rule::UnsafeRepeat, &request.id, detail);
        }
        let key_expires_at = first.at + KEY_WINDOW + self.slack();
        if request.class == RequestClass::Keyed && arrival.at > key_expires_at {
            self.report(Rule::KeyExpired, &request.id, format!("{after_ms} ms after the first"));
        }
        if !self.plan.hedging && self.is_concurrent(earlier, arrival) {
            self.report(Rule::ConcurrentAttempts, &request.id, format!("{after_ms} ms apart"));
        }
    }

    /// Returns whether an attempt was in flight at the same time as an earlier one.
    fn is_concurrent(&self, earlier: &[&ArrivalRecord], arrival: &ArrivalRecord) -> bool {
        let overlaps_until = arrival.at + MIN_OVERLAP + self.observation_slack();
        earlier.iter().any(|earlier| earlier.ended_at.is_none_or(|ended_at| overlaps_until < ended_at))
    }
}
