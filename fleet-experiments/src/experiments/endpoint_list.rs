//! Cost of endpoint updates in the library, by the size of the list: a snapshot, the change of one backend,
//! and the loss and return of a zone.

use crate::experiment::{Environment, Experiment, Parameter};
use crate::procfs;
use crate::report::Report;
use crate::simulation::{endpoint, ingress_settings, ready_endpoints, START, ZONES};
use crate::statistics::{p50, p99};
use crate::units::{MICROS_PER_SECOND, NANOS_PER_MICRO};
use hdrhistogram::Histogram;
use ingress::{Action, Availability, Duration, Endpoint, EndpointUpdate, Event, Gateway, Instant};
use serde::{Deserialize, Serialize};

/// Time between two updates, on the simulated clock.
const UPDATE_INTERVAL: Duration = Duration::from_millis(4);
/// Distance in the list between two backends that change in succession.
const CHANGE_STRIDE: u64 = 7919;

/// Sizes of the endpoint list, and the number of changes measured at each of them.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointListExperiment {
    /// Sizes of the list to measure at, in backends.
    pub backends: Vec<u64>,
    /// Number of ingresses in the fleet.
    pub ingresses: u16,
    /// Number of changes of one backend, at each size.
    pub changes: u64,
}

/// Costs of updates at one size of the list.
#[derive(Debug, Serialize)]
struct Point {
    /// Number of backends in the list.
    backends: u64,
    /// Processing time of the first snapshot.
    snapshot_us: f64,
    /// Processing time of the same snapshot, received again.
    repeated_snapshot_us: f64,
    /// Median processing time of the change of one backend.
    change_us: f64,
    /// 99th percentile of the processing time of the change of one backend.
    change_p99_us: f64,
    /// Number of changes of one backend.
    changes: u64,
    /// Number of backends in the zone that is lost.
    zone_backends: u64,
    /// Processing time of the update that removes the zone.
    zone_lost_us: f64,
    /// Processing time of the update that adds the zone again.
    zone_returned_us: f64,
    /// Growth of resident memory due to the first snapshot.
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
        // Keeps all ingresses until the end. A later ingress could otherwise reuse memory that an earlier
        // one freed, and its growth would be measured as too small.
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

    /// Drains backends one after another; each becomes ready again with the next change. Returns the
    /// processing times of the changes, in nanoseconds.
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

/// Returns the entries of all endpoints in the first zone.
fn first_zone_endpoints(
    backends: u64,
    availability: Availability,
    started_at: Option<Instant>,
) -> Vec<Endpoint> {
    let numbers = (0..backends).step_by(ZONES as usize);
    numbers.map(|number| endpoint(number, availability, started_at)).collect()
}

/// Simulated ingress whose processing time is measured.
struct TimedIngress {
    gateway: Gateway,
    /// Current time of the simulated clock.
    now: Instant,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
}

impl TimedIngress {
    /// Creates an ingress without an endpoint list.
    fn new(ingresses: u16, seed: u64) -> TimedIngress {
        let gateway = Gateway::new(ingress_settings(ingresses, 0), seed, START);
        TimedIngress { gateway, now: START, actions: Vec::new() }
    }

    /// Passes an update to the gateway and returns the processing time, in microseconds.
    fn update(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) -> f64 {
        self.now += UPDATE_INTERVAL;
        let started_at = std::time::Instant::now();
        self.gateway.handle(self.now, Event::Endpoints(update, endpoints), &mut self.actions);
        self.actions.clear();
        started_at.elapsed().as_secs_f64() * MICROS_PER_SECOND
    }
}
