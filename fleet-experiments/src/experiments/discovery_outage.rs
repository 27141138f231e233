//! Polls of a shared discovery through an outage and a mass restart, where discovery serves so many a second.

use crate::experiment::{Environment, Experiment, Parameter};
use crate::report::Report;
use crate::simulation::{EventQueue, SECOND, START};
use crate::statistics::quantile;
use ingress::discovery_schedule::{FailedPoll, PollSchedule, PollTimings};
use ingress::{Duration, Instant};
use serde::{Deserialize, Serialize};

/// How long a poll may wait in the queue of discovery until it is rejected. Discovery works on it all the
/// same.
const MAX_QUEUEING: Duration = Duration::from_secs(2);
/// How long before the end of the outage killed ingresses restart.
const RESTART_LEAD: Duration = Duration::from_secs(2);
/// How long the fleet is observed after the outage.
const OBSERVATION_TIME: Duration = Duration::from_secs(60);
/// The interval of the settings within which ingresses poll discovery.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Parameter of the fleet, and how strong discovery is.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryOutageExperiment {
    /// Ingresses in the fleet.
    pub ingresses: Vec<u64>,
    /// Seconds in which discovery serves a poll of each ingress.
    #[serde(alias = "round_s")]
    pub fleet_poll_s: Vec<f64>,
    /// How many of ten ingresses are killed during the outage.
    #[serde(alias = "killed")]
    pub killed_of_ten: u64,
    /// For how many seconds discovery is down.
    #[serde(alias = "down_s")]
    pub outage_s: u64,
}

/// A fleet, and the outage of its discovery.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Ingresses in the fleet.
    pub ingresses: u64,
    /// How long discovery works on a poll, in microseconds.
    pub poll_service_time_us: f64,
    /// How many of ten ingresses are killed during the outage.
    pub killed_of_ten: u64,
    /// For how long discovery is down.
    pub duration: Duration,
    /// Seed of all random draws.
    pub seed: u64,
}

/// How a fleet recovered from an outage.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    /// Polls that reached discovery after its return.
    pub polls: u64,
    /// Those of them that were rejected for their time in the queue.
    pub rejected_polls: u64,
    /// The longest time in which an ingress without an answer made no poll after the return (or its own
    /// start).
    pub longest_gap: Duration,
    /// Time from the return to the first answer, the median over all ingresses.
    pub median: Duration,
    /// The same, the 95th percentile.
    pub p95: Duration,
    /// The same, the last; none if some ingress had no answer within a minute.
    pub last: Option<Duration>,
}

/// How a fleet recovered from an outage: times in seconds.
#[derive(Debug, Serialize)]
struct Point {
    /// Ingresses in the fleet.
    ingresses: u64,
    /// Seconds in which discovery serves a poll of each ingress.
    fleet_poll_s: f64,
    /// Polls that reached discovery after its return.
    polls: u64,
    /// Those of them that were rejected.
    rejected_polls: u64,
    /// The longest time without a poll of an ingress that had no answer.
    longest_gap_s: f64,
    /// Time from the return to the first answer, the median over all ingresses.
    median_s: f64,
    /// The same, the 95th percentile.
    p95_s: f64,
    /// The same, the last; none if some ingress had no answer within a minute.
    last_s: Option<f64>,
}

impl Experiment for DiscoveryOutageExperiment {
    fn name(&self) -> &'static str {
        "discovery"
    }

    fn parameters(&self) -> Vec<Parameter> {
        vec![
            Parameter::integers("ingresses", &self.ingresses),
            Parameter { key: "fleet_poll_s", values: self.fleet_poll_s.clone() },
            Parameter::integer("killed_of_ten", self.killed_of_ten),
            Parameter::integer("outage_s", self.outage_s),
        ]
    }

    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()> {
        for &ingresses in &self.ingresses {
            for &fleet_poll_s in &self.fleet_poll_s {
                report.record(self.name(), &self.measure(ingresses, fleet_poll_s, environment.seed))?;
            }
        }
        Ok(())
    }
}

impl DiscoveryOutageExperiment {
    /// Simulates an outage for a fleet of one size.
    fn measure(&self, ingresses: u64, fleet_poll_s: f64, seed: u64) -> Point {
        let recovery = simulate(&Outage {
            ingresses,
            poll_service_time_us: fleet_poll_s * SECOND.as_micros_f64() / ingresses as f64,
            killed_of_ten: self.killed_of_ten,
            duration: Duration::from_secs(self.outage_s),
            seed,
        });
        Point {
            ingresses,
            fleet_poll_s,
            polls: recovery.polls,
            rejected_polls: recovery.rejected_polls,
            longest_gap_s: recovery.longest_gap.as_secs_f64(),
            median_s: recovery.median.as_secs_f64(),
            p95_s: recovery.p95.as_secs_f64(),
            last_s: recovery.last.map(Duration::as_secs_f64),
        }
    }
}

/// Simulates a fleet whose watches all end as discovery goes down; it rejects polls at once until it is back.
/// Ingresses that were killed restart shortly before that. The first polls of all are spread as their
/// settings say.
pub fn simulate(outage: &Outage) -> Recovery {
    Simulation::new(outage).run()
}

/// An ingress without an endpoint list, as discovery sees it.
struct Poller {
    /// When it polls.
    schedule: PollSchedule,
    /// When it polled last; none before its first poll.
    last_poll_at: Option<Instant>,
}

/// A fleet that is simulated.
struct Simulation {
    /// When discovery is back.
    outage_end: Instant,
    /// How long discovery works on a poll, in microseconds.
    poll_service_time_us: f64,
    /// The ingresses of the fleet.
    pollers: Vec<Poller>,
    /// The next poll of each ingress, by its index.
    queue: EventQueue<usize>,
    /// When discovery has worked on all polls that reached it, in microseconds.
    idle_at_us: f64,
    /// When ingresses had their answers, from the return.
    answered: Vec<Duration>,
    /// What happened so far.
    recovery: Recovery,
}

impl Simulation {
    /// A fleet with its first polls to come.
    fn new(outage: &Outage) -> Simulation {
        let outage_end = START + outage.duration;
        let restarted_at = (outage_end - RESTART_LEAD).max(START);
        let mut simulation = Simulation {
            outage_end,
            poll_service_time_us: outage.poll_service_time_us,
            pollers: Vec::new(),
            queue: EventQueue::default(),
            idle_at_us: 0.0,
            answered: Vec::new(),
            recovery: Recovery::default(),
        };
        for number in 0..outage.ingresses {
            let timings = PollTimings::shared_service(MAX_POLL_INTERVAL, outage.ingresses);
            let mut schedule = PollSchedule::new(timings, outage.seed << 32 | number);
            let first_poll = if number % 10 < outage.killed_of_ten {
                schedule.first_poll_at(restarted_at)
            } else {
                schedule.on_failure(START, None).at
            };
            simulation.queue.schedule(first_poll, number as usize);
            simulation.pollers.push(Poller { schedule, last_poll_at: None });
        }
        simulation
    }

    /// Runs until each ingress has its answer, or the time is over.
    fn run(mut self) -> Recovery {
        while let Some((now, index)) = self.queue.pop() {
            if now > self.outage_end + OBSERVATION_TIME {
                break;
            }
            self.record_gap(index, now);
            let rejected_at = if now < self.outage_end { Some(now) } else { self.poll(now) };
            if let Some(rejected_at) = rejected_at {
                let failed = FailedPoll { started_at: now, request_sent: true };
                let next_poll = self.pollers[index].schedule.on_failure(rejected_at, Some(failed));
                self.queue.schedule(next_poll.at, index);
            }
        }
        self.finish()
    }

    /// Records how long an ingress that polls now had not polled.
    fn record_gap(&mut self, index: usize, now: Instant) {
        let poller = &mut self.pollers[index];
        let last_poll_at = poller.last_poll_at.replace(now);
        let gap = now.duration_since(last_poll_at.map_or(self.outage_end, |at| at.max(self.outage_end)));
        self.recovery.longest_gap = self.recovery.longest_gap.max(gap);
    }

    /// A poll that reaches discovery now; when it is rejected, if it is.
    fn poll(&mut self, now: Instant) -> Option<Instant> {
        self.recovery.polls += 1;
        let served_from = f64::max(self.idle_at_us, now.as_micros() as f64);
        self.idle_at_us = served_from + self.poll_service_time_us;
        if served_from <= (now + MAX_QUEUEING).as_micros() as f64 {
            self.answered.push(Instant::from_micros(self.idle_at_us as u64).duration_since(self.outage_end));
            return None;
        }
        self.recovery.rejected_polls += 1;
        Some(now + MAX_QUEUEING)
    }

    /// Sums up when the ingresses had their answers.
    fn finish(mut self) -> Recovery {
        self.answered.sort_unstable();
        let answered_by = |share: f64| quantile(&self.answered, share).unwrap_or(Duration::ZERO);
        let all_answered = self.answered.len() == self.pollers.len();
        Recovery {
            median: answered_by(0.5),
            p95: answered_by(0.95),
            last: all_answered.then(|| answered_by(1.0)),
            ..self.recovery
        }
    }
}
