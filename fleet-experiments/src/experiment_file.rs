//! Experiment files: TOML, one table for each experiment to run, all under one seed.
//!
//! Former names of tables and keys are read too.

use crate::experiment::{Environment, Experiment, Parameter};
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

/// The largest size that a file may have: beyond it a run would not end within hours, or not fit in memory.
const MAX_VALUE: u64 = 1_000_000;

/// Why an experiment file cannot be used; the text is one line that names key and reason.
#[derive(Debug, Error)]
pub enum ExperimentFileError {
    /// The file cannot be read.
    #[error("cannot read: {0}")]
    Read(#[from] std::io::Error),
    /// The text is not TOML.
    #[error("{0}")]
    Syntax(String),
    /// A key is missing or unknown, or its value is of the wrong type.
    #[error("{0}")]
    Key(String),
    /// The file has no table of an experiment.
    #[error(
        "no experiment: one of endpoint_list, request, quota, discovery, slow_start, ingress_endpoint_list, \
         ingress_restart, ingress_latency is wanted"
    )]
    NoExperiment,
    /// A list of sizes has none.
    #[error("{experiment}.{key}: is empty")]
    Empty {
        /// The experiment's table.
        experiment: &'static str,
        /// The key of the list.
        key: &'static str,
    },
    /// A size is too small or too large.
    #[error("{experiment}.{key}: {value} is not from 1 to {MAX_VALUE}")]
    OutOfRange {
        /// The experiment's table.
        experiment: &'static str,
        /// The key of the size.
        key: &'static str,
        /// The size.
        value: f64,
    },
}

/// An experiment file.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentFile {
    /// Seed of all random draws.
    pub seed: u64,
    /// Updates of the endpoint list in the library.
    #[serde(alias = "list")]
    pub endpoint_list: Option<EndpointListExperiment>,
    /// Requests through the library, by backends, customers and ingresses.
    pub request: Option<RequestCostExperiment>,
    /// Quota messages, by ingresses and rates.
    pub quota: Option<QuotaMessagesExperiment>,
    /// Polls of a shared discovery through an outage and a mass restart.
    pub discovery: Option<DiscoveryOutageExperiment>,
    /// Slow start of backends under the load of a fleet.
    #[serde(alias = "cold")]
    pub slow_start: Option<SlowStartExperiment>,
    /// The endpoint list at a real ingress.
    #[serde(alias = "real_list")]
    pub ingress_endpoint_list: Option<IngressEndpointListExperiment>,
    /// Restart of most of a fleet of real ingresses, and a new configuration for all.
    #[serde(alias = "real_restart")]
    pub ingress_restart: Option<IngressRestartExperiment>,
    /// Latency that a real ingress adds.
    #[serde(alias = "real_added")]
    pub ingress_latency: Option<IngressLatencyExperiment>,
}

impl ExperimentFile {
    /// Reads a file and checks its experiments.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or for the reasons of [`parse`](Self::parse).
    pub fn read(path: &Path) -> Result<ExperimentFile, ExperimentFileError> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses the text of a file and checks its experiments.
    ///
    /// # Errors
    ///
    /// If the text is not TOML, a key is unknown or has a value of another type, there is no experiment, or a
    /// list of sizes is empty or has one out of range.
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

    /// The experiments of the file, in the order in which they run.
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
        ];
        tables.into_iter().flatten().collect()
    }

    /// Checks that there is something to run, and that every size can be run.
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

    /// Runs the experiments. `ingress_program` is the program of a real ingress.
    ///
    /// # Errors
    ///
    /// If an experiment fails; those after it are not run.
    pub fn run(&self, ingress_program: &Path, report: &mut Report) -> anyhow::Result<()> {
        let environment = Environment { seed: self.seed, ingress_program };
        for experiment in self.experiments() {
            experiment.run(&environment, report)?;
        }
        Ok(())
    }
}

/// The experiment of a table, if the file has it.
fn as_experiment<E: Experiment>(table: Option<&E>) -> Option<&dyn Experiment> {
    table.map(|experiment| experiment as &dyn Experiment)
}

/// Checks that there are sizes, each from 1 to [`MAX_VALUE`].
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

/// The text with each run of blanks and line breaks as one blank.
fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
