//! Number and size of the quota messages of an ingress, by fleet size and request rate.

mod simulation;

use crate::experiment::{Environment, Experiment, Parameter};
use crate::report::Report;
use serde::{Deserialize, Serialize};
use simulation::Simulation;

/// Simulated time at the start that is excluded from the counts.
const WARM_UP_SECONDS: u64 = 1;

/// Sizes of the fleet, request rates, and the distribution of customers.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaMessagesExperiment {
    /// Fleet sizes to measure at, in ingresses.
    pub ingresses: Vec<u64>,
    /// Request rates to measure at, in requests per second at each ingress.
    pub rates: Vec<u64>,
    /// Number of ingresses that receive the requests of a customer.
    #[serde(alias = "spread")]
    pub gateway_set_size: u16,
    /// Number of customers of the fleet, divided by the number of ingresses.
    #[serde(alias = "customers")]
    pub customers_per_ingress: u64,
    /// Simulated time, in seconds; the first second is not counted.
    pub seconds: u64,
}

/// Size of a fleet, and the requests that its customers send.
#[derive(Clone, Debug)]
pub struct FleetLoad {
    /// Size of the fleet.
    pub ingresses: u16,
    /// Requests per second at each ingress.
    pub rate: f64,
    /// Number of ingresses that receive the requests of a customer.
    pub gateway_set_size: u16,
    /// Number of customers of the fleet, divided by the number of ingresses.
    pub customers_per_ingress: u64,
    /// Simulated time, in seconds; the first second is not counted.
    pub seconds: u64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Counts over all ingresses of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests sent to a backend.
    pub sent: u64,
    /// Quota messages sent.
    pub messages: u64,
    /// Bytes of the messages, without UDP and IP headers.
    pub bytes: u64,
    /// Messages dropped because they exceeded the receiver's rate limit.
    pub dropped: u64,
}

/// Traffic per ingress and second at one fleet size and request rate.
#[derive(Debug, Serialize)]
struct Point {
    /// Number of ingresses in the fleet.
    ingresses: u64,
    /// Requests per second at each ingress, as configured.
    rate: u64,
    /// Number of ingresses that received the requests of a customer.
    gateway_set_size: u16,
    customers_per_ingress: u64,
    /// Requests that arrived.
    requests: f64,
    /// Requests sent to a backend.
    sent: f64,
    /// Quota messages sent.
    messages: f64,
    /// Bytes of the messages, without UDP and IP headers.
    bytes: f64,
    /// Messages dropped because they exceeded the receiver's rate limit.
    dropped: f64,
}

impl Experiment for QuotaMessagesExperiment {
    fn name(&self) -> &'static str {
        "quota"
    }

    fn parameters(&self) -> Vec<Parameter> {
        vec![
            Parameter::integers("ingresses", &self.ingresses),
            Parameter::integers("rates", &self.rates),
            Parameter::integer("gateway_set_size", u64::from(self.gateway_set_size)),
            Parameter::integer("customers_per_ingress", self.customers_per_ingress),
            Parameter::integer("seconds", self.seconds),
        ]
    }

    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()> {
        for &ingresses in &self.ingresses {
            for &rate in &self.rates {
                report.record(self.name(), &self.measure(ingresses, rate, environment.seed)?)?;
            }
        }
        Ok(())
    }
}

impl QuotaMessagesExperiment {
    /// Simulates a fleet of one size at one request rate.
    fn measure(&self, ingresses: u64, rate: u64, seed: u64) -> anyhow::Result<Point> {
        let fleet_size = u16::try_from(ingresses)?;
        let load = FleetLoad {
            ingresses: fleet_size,
            rate: rate as f64,
            gateway_set_size: self.gateway_set_size.min(fleet_size),
            customers_per_ingress: self.customers_per_ingress,
            seconds: self.seconds,
            seed,
        };
        let traffic = simulate(&load);
        let counted_seconds = (self.seconds - WARM_UP_SECONDS).max(1) as f64;
        let per_ingress_and_second = |total: u64| total as f64 / ingresses as f64 / counted_seconds;
        Ok(Point {
            ingresses,
            rate,
            gateway_set_size: load.gateway_set_size,
            customers_per_ingress: self.customers_per_ingress,
            requests: per_ingress_and_second(traffic.requests),
            sent: per_ingress_and_second(traffic.sent),
            messages: per_ingress_and_second(traffic.messages),
            bytes: per_ingress_and_second(traffic.bytes),
            dropped: per_ingress_and_second(traffic.dropped),
        })
    }
}

/// Simulates a fleet and returns the traffic after the first second.
pub fn simulate(load: &FleetLoad) -> Traffic {
    Simulation::new(load).run()
}
