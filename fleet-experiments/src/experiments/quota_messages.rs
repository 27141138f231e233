//! Quota messages: how many an ingress sends, and how many bytes, by the size of the fleet and the rate of
//! requests.

mod simulation;

use crate::experiment::{Environment, Experiment, Parameter};
use crate::report::Report;
use serde::{Deserialize, Serialize};
use simulation::Simulation;

/// Seconds at the start of a simulation that are not counted.
const WARM_UP_SECONDS: u64 = 1;

/// Parameter of the fleet, rates, and for how long.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaMessagesExperiment {
    /// Ingresses in the fleet.
    pub ingresses: Vec<u64>,
    /// Requests that each gets in a second.
    pub rates: Vec<u64>,
    /// Ingresses that a customer's requests come through.
    #[serde(alias = "spread")]
    pub gateway_set_size: u16,
    /// Customers for each ingress.
    #[serde(alias = "customers")]
    pub customers_per_ingress: u64,
    /// Seconds on the simulated clock; the first is not counted.
    pub seconds: u64,
}

/// A fleet, and the load on it.
#[derive(Clone, Debug)]
pub struct FleetLoad {
    /// Ingresses in the fleet.
    pub ingresses: u16,
    /// Requests that each gets in a second.
    pub rate: f64,
    /// Ingresses that a customer's requests come through.
    pub gateway_set_size: u16,
    /// Customers for each ingress.
    pub customers_per_ingress: u64,
    /// Seconds on the simulated clock; the first is not counted.
    pub seconds: u64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// What a fleet sent, over all its ingresses.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests sent to a backend.
    pub sent: u64,
    /// Messages.
    pub messages: u64,
    /// Their bytes, without the headers of UDP and IP.
    pub bytes: u64,
    /// Messages that arrived faster than a receiver takes them.
    pub dropped: u64,
}

/// What one ingress of a fleet sends in a second.
#[derive(Debug, Serialize)]
struct Point {
    /// Ingresses in the fleet.
    ingresses: u64,
    /// Requests that each gets in a second.
    rate: u64,
    /// Ingresses that a customer's requests came through.
    gateway_set_size: u16,
    /// Customers for each ingress.
    customers_per_ingress: u64,
    /// Requests that arrived.
    requests: f64,
    /// Requests sent to a backend.
    sent: f64,
    /// Messages.
    messages: f64,
    /// Their bytes.
    bytes: f64,
    /// Messages that arrived faster than a receiver takes them.
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
    /// Simulates a fleet of one size at one rate.
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

/// Simulates a fleet for its seconds, the first of which is not counted.
pub fn simulate(load: &FleetLoad) -> Traffic {
    Simulation::new(load).run()
}
