//! Calls to a shared discovery through an outage and a mass restart, over a line that serves so many a second.

use crate::experiment_file::{whole as amounts_of, Amounts};
use crate::report::Report;
use crate::simulation::*;
use ingress::backoff::{Backoff, FailedPoll, PollSchedule};
use ingress::Micros;
use serde::Deserialize;
use serde_json::json;

/// Sizes of the fleet, and how strong discovery is.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Ingresses in the fleet.
    pub ingresses: Vec<u64>,
    /// Seconds in which discovery serves a call of each ingress.
    pub round_s: Vec<f64>,
    /// How many of ten ingresses are killed during the outage.
    pub killed: u64,
    /// For how long discovery is down.
    pub down_s: u64,
}

/// How an outage went.
#[derive(Debug, Default)]
pub struct Outage {
    /// Calls that reached discovery behind its return, and those of them that were turned away.
    pub calls: u64,
    /// Calls turned away for their time in the line.
    pub in_vain: u64,
    /// The longest that an ingress without an answer made no call behind the return (or its own start).
    pub longest_gap: Micros,
    /// Times to the first answer behind the return (or its own start): the middle one, nineteen in twenty, all.
    pub median: Micros,
    /// Nineteen in twenty.
    pub p95: Micros,
    /// All of them; none if some had no answer within a minute.
    pub last: Option<Micros>,
}

/// How long a call may wait in the line until it is turned away, though it is worked on all the same.
const LINE: Micros = 2 * S;

/// Plays a fleet whose watches all end as discovery goes down; it turns calls away at once until it is back. Those killed
/// start anew two seconds before that, the first calls of all spread as their settings say.
pub fn play(ingresses: u64, takes: f64, killed: u64, down: Micros, seed: u64) -> Outage {
    let back = T0 + down;
    let start = back.saturating_sub(2 * S).max(T0);
    let is_killed = |n: u64| n % 10 < killed;
    let mut schedule = Schedule::default();
    let schedule_of = |n: u64| PollSchedule::new(Backoff::shared_service(10 * S, ingresses), seed << 32 | n);
    let mut fleet: Vec<PollSchedule> = (0..ingresses).map(schedule_of).collect();
    for n in 0..ingresses {
        let at = if is_killed(n) {
            fleet[n as usize].first_poll_at(start)
        } else {
            fleet[n as usize].on_failure(T0, None).at
        };
        schedule.put(at, n);
    }
    let (mut outage, mut free_at) = (Outage::default(), 0.0);
    let mut last = vec![0; ingresses as usize];
    let mut had: Vec<Micros> = Vec::new();
    while let Some((now, n)) = schedule.take() {
        if now > back + 60 * S {
            break;
        }
        let at = n as usize;
        outage.longest_gap = outage.longest_gap.max(now.saturating_sub(back.max(last[at])));
        last[at] = now;
        let mut ends = now;
        if now >= back {
            outage.calls += 1;
            let begins = f64::max(free_at, now as f64);
            free_at = begins + takes;
            if begins <= (now + LINE) as f64 {
                had.push(free_at as Micros - back);
                continue;
            }
            outage.in_vain += 1;
            ends = now + LINE;
        }
        let failed_poll = FailedPoll { started_at: now, request_sent: true };
        let next = fleet[at].on_failure(ends, Some(failed_poll)).at;
        schedule.put(next, n);
    }
    had.sort_unstable();
    let at =
        |share: f64| had.get(((had.len() as f64 * share) as usize).saturating_sub(1)).copied().unwrap_or(0);
    (outage.median, outage.p95) = (at(0.5), at(0.95));
    outage.last = (had.len() as u64 == ingresses).then(|| at(1.0));
    outage
}

impl Experiment {
    /// What is to be checked.
    pub fn amounts(&self) -> Amounts {
        vec![
            ("discovery.ingresses", amounts_of(&self.ingresses)),
            ("discovery.round_s", self.round_s.clone()),
            ("discovery.killed", vec![self.killed as f64]),
            ("discovery.down_s", vec![self.down_s as f64]),
        ]
    }

    /// Runs it: a point for each size and strength, times in seconds.
    pub fn run(&self, seed: u64, report: &mut Report) -> anyhow::Result<()> {
        for &ingresses in &self.ingresses {
            for &round in &self.round_s {
                let takes = round * S as f64 / ingresses as f64;
                let o = play(ingresses, takes, self.killed, self.down_s * S, seed);
                let s = |t: Micros| t as f64 / S as f64;
                report.point(
                    "discovery",
                    json!({
                        "ingresses": ingresses, "round_s": round, "calls": o.calls, "in_vain": o.in_vain,
                        "longest_gap_s": s(o.longest_gap), "median_s": s(o.median), "p95_s": s(o.p95),
                        "last_s": o.last.map(s),
                    }),
                )?;
            }
        }
        Ok(())
    }
}
