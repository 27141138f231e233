//! What backends may be sent while they drain, and after their start.

use super::{ingress_of, observation_slack, pause_slack, Rule, Violation};
use crate::plan::SoakPlan;
use crate::record::{ArrivalRecord, Listing, Micros, Seen};
use crate::settings;

/// How long after a start the budget of a cold backend is looked at.
const COLD_SPAN: Micros = 3_000_000;

/// When an ingress was first told a version of the list, or a later one.
fn told_at(seen: &Seen, ingress: usize, version: u64) -> Option<Micros> {
    let told = seen.notifications.iter();
    told.filter(|told| told.ingress == ingress && told.version >= version).map(|told| told.at).min()
}

/// Whether draining backends were left alone.
pub(super) fn judge_draining(plan: &SoakPlan, seen: &Seen, found: &mut Vec<Violation>) {
    for change in seen.changes.iter().filter(|change| change.listing == Listing::Draining) {
        let later =
            seen.changes.iter().filter(|later| later.backend == change.backend && later.at > change.at);
        let until = later.map(|later| later.at).min().unwrap_or(Micros::MAX);
        for arrival in seen.arrivals.iter().filter(|arrival| arrival.backend == change.backend) {
            let Some(told) =
                ingress_of(&arrival.id).and_then(|ingress| told_at(seen, ingress, change.version))
            else {
                continue;
            };
            let limit = told + settings::DRAIN_GRACE + pause_slack(plan) + observation_slack(seen);
            if arrival.at > limit && arrival.at < until {
                let detail = format!("{} ms after its ingress was told", (arrival.at - told) / 1000);
                found.push(Violation::of(Rule::SentToDraining, &arrival.id, detail));
            }
        }
    }
}

/// What a cold backend may be sent in a window, of `expected` requests that the settings allow then.
fn cold_bound(expected: f64) -> f64 {
    if expected < 30.0 {
        expected + 3.0 * expected.sqrt() + 3.0
    } else {
        expected + 2.0 * expected.sqrt() + 2.0
    }
}

/// Whether cold backends were spared.
pub(super) fn judge_slow_start(plan: &SoakPlan, seen: &Seen, found: &mut Vec<Violation>) {
    // A backend bears a quarter more than its even part of all that was sent.
    let even = seen.arrivals.len() as f64 / plan.shape.backends as f64 / plan.shape.seconds.max(1) as f64;
    let capacity = even * 1.25;
    for start in seen.changes.iter().filter(|change| change.restarted) {
        let told = |arrival: &&&ArrivalRecord| {
            let told = ingress_of(&arrival.id).and_then(|ingress| told_at(seen, ingress, start.version));
            told.is_some_and(|told| told <= arrival.at)
        };
        let times: Vec<Micros> = seen
            .arrivals
            .iter()
            .filter(|arrival| arrival.backend == start.backend && arrival.at >= start.at)
            .filter(|arrival| told(&arrival))
            .map(|arrival| arrival.at)
            .filter(|at| *at < start.at + COLD_SPAN)
            .collect();
        let fullest = times.iter().enumerate().map(|(index, end)| {
            let begin = end.saturating_sub(settings::OVERLOAD_WINDOW);
            let count = times[..=index].iter().filter(|at| **at > begin).count() as f64;
            let age = (end - start.at) as f64 / settings::COLD_TIME as f64;
            let share = settings::COLD_SHARE + (1.0 - settings::COLD_SHARE) * age.min(1.0);
            let window = settings::OVERLOAD_WINDOW as f64 / 1e6;
            (count, cold_bound(settings::OVERLOAD_FACTOR * share * capacity * window))
        });
        let worst = fullest
            .filter(|(count, bound)| count > bound)
            .max_by(|first, second| (first.0 / first.1).total_cmp(&(second.0 / second.1)));
        if let Some((count, bound)) = worst {
            let detail = format!("backend {}: {count} in a window of {bound:.1}", start.backend);
            found.push(Violation::general(Rule::SlowStartExceeded, detail));
        }
    }
}
