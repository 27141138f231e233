//! What ingresses owe as processes: to bad clients, to those who start and end them, to quotas, and in their logs.

use super::{ingress_of, observation_slack, pause_slack, Rule, Violation};
use crate::ingress::Ingress;
use crate::plan::SoakPlan;
use crate::record::{Ending, Micros, ProcessEvent, Seen};
use crate::settings;
use std::collections::HashSet;
use std::path::Path;

/// How long a bad client may wait for its error or close.
const BAD_CLIENT_TIMEOUT: Micros = 3_000_000;
/// How many times the quotas of a run may be sent on: usage is reported late, and restarts forget some.
const QUOTA_TOLERANCE: f64 = 1.5;

/// Whether bad clients were told in time.
pub(super) fn judge_bad_clients(plan: &SoakPlan, seen: &Seen, found: &mut Vec<Violation>) {
    for client in &seen.bad_clients {
        let limit = client.at + BAD_CLIENT_TIMEOUT + pause_slack(plan) + observation_slack(seen);
        if client.told_at.is_none_or(|told_at| told_at > limit) {
            let waited = client.told_at.map(|told_at| (told_at - client.at) / 1000);
            let detail = format!("ingress {}: told after {waited:?} ms", client.ingress);
            found.push(Violation::general(Rule::BadClientIgnored, detail));
        }
    }
}

/// Whether processes started and ended as they were told.
pub(super) fn judge_processes(seen: &Seen, found: &mut Vec<Violation>) {
    for record in &seen.processes {
        let rule = match record.event {
            ProcessEvent::Overdue => Rule::ShutdownOverdue,
            ProcessEvent::Crashed | ProcessEvent::NotReady => Rule::Crashed,
            _ => continue,
        };
        let detail = format!("ingress {}: {:?} at {} ms", record.ingress, record.event, record.at / 1000);
        found.push(Violation::general(rule, detail));
    }
}

/// What the customers with a quota may be sent on in a run, all together.
fn quota_of_all(plan: &SoakPlan) -> f64 {
    let units = settings::METERED_BURST + settings::METERED_RATE * plan.shape.seconds as f64;
    plan.shape.ingresses as f64 * units
}

/// The requests of customers with a quota that were sent on, as a part of what the quotas allow.
pub fn quota_use(plan: &SoakPlan, seen: &Seen) -> f64 {
    let arrived: HashSet<&str> = seen.arrivals.iter().map(|arrival| arrival.id.as_str()).collect();
    let metered = seen.requests.iter().filter(|request| request.metered_customer.is_some());
    let sent = metered.filter(|request| arrived.contains(request.id.as_str())).count() as f64;
    sent / quota_of_all(plan)
}

/// Whether quotas held over all ingresses, restarts and losses included.
pub(super) fn judge_quotas(plan: &SoakPlan, seen: &Seen, found: &mut Vec<Violation>) {
    let quota_use = quota_use(plan, seen);
    if quota_use > QUOTA_TOLERANCE {
        let detail = format!("{quota_use:.2} times what the quotas allow was sent on");
        found.push(Violation::general(Rule::QuotaExceeded, detail));
    }
}

/// Whether what each ingress has counted covers what was seen of it.
pub(super) fn judge_counters(seen: &Seen, found: &mut Vec<Violation>) {
    for counted in &seen.counters {
        let of_ingress = |id: &str| ingress_of(id) == Some(counted.ingress);
        let arrivals = seen.arrivals.iter().filter(|arrival| of_ingress(&arrival.id));
        let arrivals: Vec<&str> = arrivals.map(|arrival| arrival.id.as_str()).collect();
        let requests: HashSet<&str> = arrivals.iter().copied().collect();
        let own = seen.requests.iter().filter(|request| request.ingress == counted.ingress);
        let served = own.filter(|request| request.ending == Ending::Served).count() as u64;
        let disagrees = arrivals.len() as u64 > counted.attempts_begun
            || requests.len() as u64 > counted.requests
            || served > counted.answers.saturating_sub(counted.not_served);
        if disagrees {
            let (attempts, requests) = (arrivals.len(), requests.len());
            let detail = format!("{attempts} attempts, {requests} requests, {served} served; {counted:?}");
            found.push(Violation::general(Rule::CountersDisagree, detail));
        }
    }
}

/// The violations that the ingresses have logged of themselves, and panics. A late answer is judged by its client: a
/// process that is made to stand still finds one itself.
pub fn judge_logs(folder: &Path, ingresses: usize) -> Vec<Violation> {
    let mut found = Vec::new();
    for number in 0..ingresses {
        let log = std::fs::read_to_string(Ingress::log_file(folder, number)).unwrap_or_default();
        let reported = |line: &&str| {
            let violated = line.contains("invariant: violated") && !line.contains("kind=LateAnswer");
            violated || line.contains("panicked")
        };
        for line in log.lines().filter(reported) {
            found.push(Violation::general(Rule::Reported, format!("ingress {number}: {line}")));
        }
    }
    found
}
