//! Rules about requests: each gets its answer, and only the attempts that its class and the settings allow.

use super::{Oracle, Rule};
use crate::record::{
    to_millis, ArrivalRecord, Micros, Observations, Outcome, ProcessEvent, RequestClass, RequestRecord,
};
use crate::settings::{ANSWER_SLACK, KEY_WINDOW, MAX_ATTEMPTS};
use std::collections::HashMap;

/// How much longer than its client has left the timeout that an attempt states may be, by the protocol pages.
/// It has the length of the longest pause, but holds without one, too.
const TIME_SLACK: Micros = 150_000;
/// How long after its client has disconnected an attempt may begin.
const DISCONNECT_SLACK: Micros = 100_000;
/// How long two attempts have to be in flight together to be observed as such.
const MIN_OVERLAP: Micros = 50_000;

/// The arrivals of each request at backends, in their order.
fn arrivals_by_request(observations: &Observations) -> HashMap<&str, Vec<&ArrivalRecord>> {
    let mut arrivals: HashMap<&str, Vec<&ArrivalRecord>> = HashMap::new();
    for arrival in &observations.arrivals {
        arrivals.entry(&arrival.id).or_default().push(arrival);
    }
    arrivals
}

impl Oracle<'_> {
    /// Judges the answer and the attempts of every request.
    pub(super) fn check_requests(&mut self) {
        let observations = self.observations;
        let arrivals = arrivals_by_request(observations);
        for request in &observations.requests {
            let arrivals = arrivals.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
            self.check_answer(request, arrivals);
            self.check_attempts(request, arrivals);
        }
    }

    /// Nothing may follow a final answer.
    pub(super) fn check_stray_bytes(&mut self) {
        let observations = self.observations;
        for bytes in &observations.stray_bytes {
            self.report_general(Rule::SecondAnswer, format!("after an answer: {bytes:?}"));
        }
    }

    /// Whether an ingress was ended by force in a span: the requests that it had then are excused, or judged
    /// as a crash.
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

    /// Whether a request got its answer.
    fn check_answer(&mut self, request: &RequestRecord, arrivals: &[&ArrivalRecord]) {
        let excused = self.terminated_abnormally(request.ingress, request.sent_at, request.ended_at);
        let waited_ms = to_millis(request.ended_at.saturating_sub(request.sent_at));
        match request.outcome {
            Outcome::WrongValue => {
                self.report(Rule::WrongValue, &request.id, "another request's value".into());
            }
            // Where the machine stalls for longer than clients wait, a late answer looks like a lost one.
            Outcome::Unanswered if !excused && self.observations.longest_stall < ANSWER_SLACK => {
                let detail = format!("no answer in {waited_ms} ms of {} ms", to_millis(request.timeout));
                self.report(Rule::Lost, &request.id, detail);
            }
            // A close may cross a request on a reused connection, unless the request was read.
            Outcome::Closed if !excused && (!request.may_cross_close || !arrivals.is_empty()) => {
                let detail = format!("closed after {waited_ms} ms, {} attempts", arrivals.len());
                self.report(Rule::Lost, &request.id, detail);
            }
            _ => {}
        }
    }

    /// Whether the attempts of a request were allowed.
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

    /// Whether the timeout that an attempt stated was no longer than its client had left.
    fn check_time_budget(&mut self, request: &RequestRecord, arrival: &ArrivalRecord) {
        let time_left = (request.sent_at + request.timeout).saturating_sub(arrival.at);
        if arrival.time_budget > time_left + TIME_SLACK + self.slack() {
            let detail =
                format!("{} ms announced, {} ms left", to_millis(arrival.time_budget), to_millis(time_left));
            self.report(Rule::TimeOverstated, &request.id, detail);
        }
    }

    /// Whether a client was still connected as an attempt began.
    fn check_disconnect(&mut self, request: &RequestRecord, arrival: &ArrivalRecord) {
        let disconnected = request.outcome == Outcome::Disconnected;
        if disconnected && arrival.at > request.ended_at + DISCONNECT_SLACK + self.slack() {
            let detail =
                format!("{} ms after its client disconnected", to_millis(arrival.at - request.ended_at));
            self.report(Rule::AttemptAfterDisconnect, &request.id, detail);
        }
    }

    /// Whether an attempt was allowed beside or after earlier ones.
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

    /// Whether an attempt was in flight together with an earlier one.
    fn is_concurrent(&self, earlier: &[&ArrivalRecord], arrival: &ArrivalRecord) -> bool {
        let overlaps_until = arrival.at + MIN_OVERLAP + self.observation_slack();
        earlier.iter().any(|earlier| earlier.ended_at.is_none_or(|ended_at| overlaps_until < ended_at))
    }
}
