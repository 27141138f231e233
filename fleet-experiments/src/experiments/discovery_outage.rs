//! Load on a shared discovery service after an outage and a mass restart. The service answers polls at a
//! limited rate.

use crate::experiment::{Environment, Experiment, Parameter};
use crate::report::Report;
use crate::simulation::{EventQueue, SECOND, START};
use crate::statistics::quantile;
use ingress::discovery_schedule::{FailedPoll, PollSchedule, PollTimings};
use ingress::{Duration, Instant};
use serde::{Deserialize, Serialize};

/// Time in the queue of the discovery service after which a poll is rejected. A rejected poll still takes up
/// the time that the service needs for it.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);
/// Time from the restart of killed ingresses to the end of the outage.
const RESTART_LEAD: Duration = Duration::from_secs(2);
/// Time for which the fleet is observed after the outage.
const OBSERVATION_TIME: Duration = Duration::from_secs(60);
/// Setting for the interval within which ingresses must poll discovery.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Sizes of the fleet, capacities of the discovery service, and the extent of the outage.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryOutageExperiment {
    /// Fleet sizes to measure at, in ingresses.
    pub ingresses: Vec<u64>,
    /// Capacities to measure at: times that the discovery service needs to answer one poll of each ingress,
    /// in seconds.
    #[serde(alias = "round_s")]
    pub fleet_poll_s: Vec<f64>,
    /// Number of ingresses in ten that are killed during the outage.
    #[serde(alias = "killed")]
    pub killed_of_ten: u64,
    /// Duration of the outage, in seconds.
    #[serde(alias = "down_s")]
    pub outage_s: u64,
}

/// A fleet, the capacity of its discovery service, and the extent of the outage.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Number of ingresses in the fleet.
    pub ingresses: u64,
    /// Time that the discovery service needs for a poll, in microseconds.
    pub poll_service_time_us: f64,
    /// Number of ingresses in ten that are killed during the outage.
    pub killed_of_ten: u64,
    /// Time for which the discovery service rejects all polls.
    pub duration: Duration,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Polls and recovery times of a fleet after an outage.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    /// Polls that reached the discovery service after the outage.
    pub polls: u64,
    /// Polls rejected because they waited too long in the queue.
    pub rejected_polls: u64,
    /// Longest time that an ingress without an answer took to poll again, counted from its previous poll or
    /// the end of the outage, whichever is later.
    pub longest_gap: Duration,
    /// Median time from the end of the outage to the first answer to an ingress.
    pub median: Duration,
    /// 95th percentile of that time.
    pub p95: Duration,
    /// Maximum of that time; `None` if an ingress received no answer within a minute.
    pub last: Option<Duration>,
}

/// Result for one fleet size and one capacity of the discovery service.
#[derive(Debug, Serialize)]
struct Point {
    ingresses: u64,
    /// Time that the discovery service needs to answer one poll of each ingress.
    fleet_poll_s: f64,
    /// Polls that reached the discovery service after the outage.
    polls: u64,
    /// Polls rejected because they waited too long in the queue.
    rejected_polls: u64,
    /// Longest time that an ingress without an answer took to poll again.
    longest_gap_s: f64,
    /// Median time from the end of the outage to the first answer to an ingress.
    median_s: f64,
    /// 95th percentile of that time.
    p95_s: f64,
    /// Maximum of that time; `None` if an ingress received no answer within a minute.
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

/// Simulates a fleet whose watches all end when the outage begins. During the outage the discovery service
/// rejects polls at once. Killed ingresses restart shortly before its end. The first polls are spread over
/// the interval of [`PollTimings::shared_service`].
pub fn simulate(outage: &Outage) -> Recovery {
    Simulation::new(outage).run()
}

/// Simulated ingress without an endpoint list, which polls the discovery service until it is answered.
struct Poller {
    schedule: PollSchedule,
    /// Time of the last poll; `None` before the first one.
    last_poll_at: Option<Instant>,
}

/// Simulation of one outage.
struct Simulation {
    outage_end: Instant,
    poll_service_time_us: f64,
    pollers: Vec<Poller>,
    /// Next poll of each ingress, by its index in `pollers`.
    queue: EventQueue<usize>,
    /// Time at which the queue of the discovery service is empty, in microseconds.
    idle_at_us: f64,
    /// Times of the answers, from the end of the outage.
    answered: Vec<Duration>,
    /// Results so far.
    recovery: Recovery,
}

impl Simulation {
    /// Creates a fleet and schedules its first polls.
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

    /// Runs until each ingress has been answered, or the observation time is over.
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

    /// Records the time since the previous poll of an ingress, or since the end of the outage if that is
    /// later.
    fn record_gap(&mut self, index: usize, now: Instant) {
        let poller = &mut self.pollers[index];
        let last_poll_at = poller.last_poll_at.replace(now);
        let gap = now.duration_since(last_poll_at.map_or(self.outage_end, |at| at.max(self.outage_end)));
        self.recovery.longest_gap = self.recovery.longest_gap.max(gap);
    }

    /// Queues a poll at the discovery service. Returns the time at which the poll is rejected, if it is.
    fn poll(&mut self, now: Instant) -> Option<Instant> {
        self.recovery.polls += 1;
        let served_from = f64::max(self.idle_at_us, now.as_micros() as f64);
        self.idle_at_us = served_from + self.poll_service_time_us;
        if served_from <= (now + MAX_QUEUE_TIME).as_micros() as f64 {
            self.answered.push(Instant::from_micros(self.idle_at_us as u64).duration_since(self.outage_end));
            return None;
        }
        self.recovery.rejected_polls += 1;
        Some(now + MAX_QUEUE_TIME)
    }

    /// Computes the quantiles of the answer times.
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
