//! Experiment files in TOML: a seed, and one table for each experiment to run.
//!
//! Former names of tables and keys are accepted as aliases, so that older results can be reproduced.

use crate::experiment::{Environment, Experiment, Parameter};
use crate::experiments::crowded_discovery::CrowdedDiscoveryExperiment;
use crate::experiments::discovery_outage::DiscoveryOutageExperiment;
use crate::experiments::endpoint_list::EndpointListExperiment;
use crate::experiments::ingress_endpoint_list::IngressEndpointListExperiment;
use crate::experiments::ingress_latency::IngressLatencyExperiment;
use crate::experiments::ingress_restart::IngressRestartExperiment;
use crate::experiments::quota_messages::QuotaMessagesExperiment;
use crate::experiments::request_cost::RequestCostExperiment;
use crate::experiments::slow_start::SlowStartExperiment;
use crate::report::Report;
use serde::Deserialize;
use std::path::Path;
use thiserror::Error;

/// Maximum value of a parameter. Larger values would make a run take hours or exhaust the memory.
const MAX_VALUE: u64 = 1_000_000;

/// Reason why an experiment file is rejected. The message is one line with the key and the cause.
#[derive(Debug, Error)]
pub enum ExperimentFileError {
    /// The file cannot be read.
    #[error("cannot read the experiment file: {0}")]
    Read(#[from] std::io::Error),
    /// The file is not valid TOML.
    #[error("{0}")]
    Syntax(String),
    /// A key is missing or unknown, or its value is of the wrong type.
    #[error("{0}")]
    Key(String),
    /// The file has no table of a known experiment.
    #[error(
        "no experiment: at least one table of endpoint_list, request, quota, discovery, slow_start, \
         ingress_endpoint_list, ingress_restart, ingress_latency, crowded_discovery is required"
    )]
    NoExperiment,
    /// The list of values under a key has no elements.
    #[error("{experiment}.{key}: the list is empty")]
    Empty {
        /// Name of the experiment's table.
        experiment: &'static str,
        /// Key of the list.
        key: &'static str,
    },
    /// A value is too small or too large.
    #[error("{experiment}.{key}: {value} is outside the range 1 to {MAX_VALUE}")]
    OutOfRange {
        /// Name of the experiment's table.
        experiment: &'static str,
        /// Key whose value is rejected.
        key: &'static str,
        /// Rejected value.
        value: f64,
    },
}

/// Contents of an experiment file. Experiments without a table are not run.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentFile {
    /// Seed of all random draws.
    pub seed: u64,
    /// Cost of updates of the endpoint list in the library.
    #[serde(alias = "list")]
    pub endpoint_list: Option<EndpointListExperiment>,
    /// Cost of a request in the library, by number of backends, customers and ingresses.
    pub request: Option<RequestCostExperiment>,
    /// Number of quota messages, by number of ingresses and request rate.
    pub quota: Option<QuotaMessagesExperiment>,
    /// Load on a shared discovery service after an outage and a mass restart.
    pub discovery: Option<DiscoveryOutageExperiment>,
    /// Load on backends in slow start.
    #[serde(alias = "cold")]
    pub slow_start: Option<SlowStartExperiment>,
    /// Cost of the endpoint list in a real ingress.
    #[serde(alias = "real_list")]
    pub ingress_endpoint_list: Option<IngressEndpointListExperiment>,
    /// Restart of most of a fleet of real ingresses, then a new configuration for all of them.
    #[serde(alias = "real_restart")]
    pub ingress_restart: Option<IngressRestartExperiment>,
    /// Latency that a real ingress adds to a request.
    #[serde(alias = "real_added")]
    pub ingress_latency: Option<IngressLatencyExperiment>,
    /// Polls of a real ingress at a crowded discovery, and the time until changes are delivered.
    pub crowded_discovery: Option<CrowdedDiscoveryExperiment>,
}

impl ExperimentFile {
    /// Reads an experiment file and validates it.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or for the reasons given at [`parse`](Self::parse).
    pub fn read(path: &Path) -> Result<ExperimentFile, ExperimentFileError> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses the text of an experiment file and validates it.
    ///
    /// # Errors
    ///
    /// If the text is not valid TOML, a key is missing or unknown, a value is of the wrong type or out of
    /// range, a list is empty, or there is no experiment.
    pub fn parse(text: &str) -> Result<ExperimentFile, ExperimentFileError> {
        let table: toml::Table = text
            .parse()
            .map_err(|error: toml::de::Error| ExperimentFileError::Syntax(one_line(error.message())))?;
        let file: ExperimentFile = serde_path_to_error::deserialize(table).map_err(|error| {
            let text = format!("{}: {}", error.path(), error.inner().message());
            ExperimentFileError::Key(one_line(&text))
        })?;
        file.check()?;
        Ok(file)
    }

    /// Returns the experiments of the file in the order in which they run.
    pub fn experiments(&self) -> Vec<&dyn Experiment> {
        let tables = [
            as_experiment(self.endpoint_list.as_ref()),
            as_experiment(self.request.as_ref()),
            as_experiment(self.quota.as_ref()),
            as_experiment(self.discovery.as_ref()),
            as_experiment(self.slow_start.as_ref()),
            as_experiment(self.ingress_endpoint_list.as_ref()),
            as_experiment(self.ingress_restart.as_ref()),
            as_experiment(self.ingress_latency.as_ref()),
            as_experiment(self.crowded_discovery.as_ref()),
        ];
        tables.into_iter().flatten().collect()
    }

    /// Checks that there is at least one experiment, and that all parameters are valid.
    fn check(&self) -> Result<(), ExperimentFileError> {
        let experiments = self.experiments();
        if experiments.is_empty() {
            return Err(ExperimentFileError::NoExperiment);
        }
        for experiment in experiments {
            for parameter in experiment.parameters() {
                check_parameter(experiment.name(), &parameter)?;
            }
        }
        Ok(())
    }

    /// Runs the experiments. `ingress_program` is the program that experiments on real processes start.
    ///
    /// # Errors
    ///
    /// If an experiment fails. The experiments after it are not run.
    pub fn run(&self, ingress_program: &Path, report: &mut Report) -> anyhow::Result<()> {
        let environment = Environment { seed: self.seed, ingress_program };
        for experiment in self.experiments() {
            experiment.run(&environment, report)?;
        }
        Ok(())
    }
}

/// Converts the table of an experiment, if the file has it, to a trait object.
fn as_experiment<E: Experiment>(table: Option<&E>) -> Option<&dyn Experiment> {
    table.map(|experiment| experiment as &dyn Experiment)
}

/// Checks that a parameter has values, each from 1 to [`MAX_VALUE`].
fn check_parameter(experiment: &'static str, parameter: &Parameter) -> Result<(), ExperimentFileError> {
    let key = parameter.key;
    if parameter.values.is_empty() {
        return Err(ExperimentFileError::Empty { experiment, key });
    }
    let allowed = 1.0..=MAX_VALUE as f64;
    match parameter.values.iter().find(|value| !allowed.contains(*value)) {
        Some(&value) => Err(ExperimentFileError::OutOfRange { experiment, key, value }),
        None => Ok(()),
    }
}

/// Replaces each run of white space, including line breaks, by one space.
fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
