//! The endpoint list in the library: the costs of a snapshot, of the change of one backend, and of a
//! zone that is lost and returns, at each size of the list.

use crate::experiment::{Environment, Experiment, Parameter};
use crate::procfs;
use crate::report::Report;
use crate::simulation::{endpoint, ingress_settings, ready_endpoints, START, ZONES};
use crate::statistics::{p50, p99};
use crate::units::{MICROS_PER_SECOND, NANOS_PER_MICRO};
use hdrhistogram::Histogram;
use ingress::{Action, Availability, Duration, Endpoint, EndpointUpdate, Event, Gateway, Instant};
use serde::{Deserialize, Serialize};

/// Time on the simulated clock between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(4);
/// Changes go to backends this far apart in the list.
const CHANGE_STRIDE: u64 = 7919;

/// Parameter of the list to measure at.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointListExperiment {
    /// Backends in the list.
    pub backends: Vec<u64>,
    /// Ingresses in the fleet.
    pub ingresses: u16,
    /// Changes of one backend at each size.
    pub changes: u64,
}

/// The costs of updates at one size: times in microseconds.
#[derive(Debug, Serialize)]
struct Point {
    /// Backends in the list.
    backends: u64,
    /// The first snapshot.
    snapshot_us: f64,
    /// The same snapshot once more.
    repeated_snapshot_us: f64,
    /// The change of one backend, the median.
    change_us: f64,
    /// The change of one backend, the 99th percentile.
    change_p99_us: f64,
    /// Changes that were made.
    changes: u64,
    /// Backends of the zone that is lost.
    zone_backends: u64,
    /// The loss of a zone, in one update.
    zone_lost_us: f64,
    /// Its return, in one update.
    zone_returned_us: f64,
    /// By how much the memory of the ingress grew with its first snapshot.
    memory_bytes: u64,
}

impl Experiment for EndpointListExperiment {
    fn name(&self) -> &'static str {
        "endpoint_list"
    }

    fn parameters(&self) -> Vec<Parameter> {
        vec![
            Parameter::integers("backends", &self.backends),
            Parameter::integer("ingresses", u64::from(self.ingresses)),
            Parameter::integer("changes", self.changes),
        ]
    }

    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()> {
        // Dropped only at the end: memory that one ingress frees must not pass for memory that the next one
        // does not need.
        let mut measured = Vec::new();
        for &backends in &self.backends {
            let memory_before = procfs::own_resident_memory();
            let mut ingress = TimedIngress::new(self.ingresses, environment.seed);
            report.record(self.name(), &self.measure(&mut ingress, backends, memory_before)?)?;
            measured.push(ingress);
        }
        Ok(())
    }
}

impl EndpointListExperiment {
    /// Measures all updates at one size of the list.
    fn measure(
        &self,
        ingress: &mut TimedIngress,
        backends: u64,
        memory_before: u64,
    ) -> anyhow::Result<Point> {
        let snapshot_us = ingress.update(EndpointUpdate::Snapshot, ready_endpoints(backends));
        let memory_bytes = procfs::own_resident_memory().saturating_sub(memory_before);
        let repeated_snapshot_us = ingress.update(EndpointUpdate::Snapshot, ready_endpoints(backends));
        let change_ns = self.measure_changes(ingress, backends)?;
        let zone_lost_us =
            ingress.update(EndpointUpdate::Delta, first_zone_endpoints(backends, Availability::Gone, None));
        let returned = first_zone_endpoints(backends, Availability::Ready, Some(START));
        Ok(Point {
            backends,
            snapshot_us,
            repeated_snapshot_us,
            change_us: p50(&change_ns) as f64 / NANOS_PER_MICRO,
            change_p99_us: p99(&change_ns) as f64 / NANOS_PER_MICRO,
            changes: self.changes,
            zone_backends: backends.div_ceil(ZONES),
            zone_lost_us,
            zone_returned_us: ingress.update(EndpointUpdate::Delta, returned),
            memory_bytes,
        })
    }

    /// Drains one backend after another, each ready again by the next change; the times in nanoseconds.
    fn measure_changes(&self, ingress: &mut TimedIngress, backends: u64) -> anyhow::Result<Histogram<u64>> {
        let mut times = Histogram::new(3)?;
        for change in 0..self.changes {
            let availability = if change % 2 == 0 { Availability::Draining } else { Availability::Ready };
            let changed = endpoint(change / 2 * CHANGE_STRIDE % backends, availability, None);
            let time_us = ingress.update(EndpointUpdate::Delta, vec![changed]);
            times.record((time_us * NANOS_PER_MICRO) as u64)?;
        }
        Ok(times)
    }
}

/// All endpoints of the first zone.
fn first_zone_endpoints(
    backends: u64,
    availability: Availability,
    started_at: Option<Instant>,
) -> Vec<Endpoint> {
    let numbers = (0..backends).step_by(ZONES as usize);
    numbers.map(|number| endpoint(number, availability, started_at)).collect()
}

/// A simulated ingress whose work on updates is timed.
struct TimedIngress {
    /// The gateway.
    gateway: Gateway,
    /// The simulated clock.
    now: Instant,
    /// The actions of one event; the allocation is reused.
    actions: Vec<Action>,
}

impl TimedIngress {
    /// An ingress with no list yet.
    fn new(ingresses: u16, seed: u64) -> TimedIngress {
        let gateway = Gateway::new(ingress_settings(ingresses, 0), seed, START);
        TimedIngress { gateway, now: START, actions: Vec::new() }
    }

    /// Hands it an update; the time that it took, in microseconds.
    fn update(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) -> f64 {
        self.now += UPDATE_INTERVAL;
        let started_at = std::time::Instant::now();
        self.gateway.handle(self.now, Event::Endpoints(update, endpoints), &mut self.actions);
        self.actions.clear();
        started_at.elapsed().as_secs_f64() * MICROS_PER_SECOND
    }
}
