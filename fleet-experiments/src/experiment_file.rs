//! Experiment files: TOML, one table for each experiment to run, all under one seed.

use crate::experiments::{
    discovery_outage, endpoint_list, quota_messages, real_ingresses, request_cost, slow_start,
};
use crate::report::Report;
use serde::Deserialize;
use std::path::Path;

/// The most of anything that a file may ask for: beyond it a run would not end in a sitting, or not fit in memory.
const MOST: u64 = 1_000_000;

/// An experiment file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// The endpoint list in the module: whole, a change, a zone lost and back.
    pub list: Option<endpoint_list::Experiment>,
    /// Requests through the module, by backends, customers and peers.
    pub request: Option<request_cost::Experiment>,
    /// Quota messages, by ingresses and rates.
    pub quota: Option<quota_messages::Experiment>,
    /// Calls to a shared discovery through an outage and a mass restart.
    pub discovery: Option<discovery_outage::Experiment>,
    /// Ramps of cold backends.
    pub cold: Option<slow_start::Experiment>,
    /// The endpoint list at a real ingress.
    pub real_list: Option<real_ingresses::ListExperiment>,
    /// Restart of most of a fleet of real ingresses, and a new configuration for all.
    pub real_restart: Option<real_ingresses::RestartExperiment>,
    /// Time added by a real ingress.
    pub real_added: Option<real_ingresses::AddedExperiment>,
}

impl Spec {
    /// Reads a file; the error is one line that names key and reason.
    pub fn read(path: &Path) -> Result<Spec, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read: {e}"))?;
        Self::parse(&text)
    }

    /// Reads the text of a file; the error is one line that names key and reason.
    pub fn parse(text: &str) -> Result<Spec, String> {
        let one_line = |text: String| text.split_whitespace().collect::<Vec<_>>().join(" ");
        let table: toml::Table =
            text.parse().map_err(|e: toml::de::Error| one_line(e.message().to_string()))?;
        let spec: Spec = serde_path_to_error::deserialize(table)
            .map_err(|e| one_line(format!("{}: {}", e.path(), e.inner().message())))?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        let all = [
            self.list.as_ref().map(endpoint_list::Experiment::amounts),
            self.request.as_ref().map(request_cost::Experiment::amounts),
            self.quota.as_ref().map(quota_messages::Experiment::amounts),
            self.discovery.as_ref().map(discovery_outage::Experiment::amounts),
            self.cold.as_ref().map(slow_start::Experiment::amounts),
            self.real_list.as_ref().map(real_ingresses::ListExperiment::amounts),
            self.real_restart.as_ref().map(real_ingresses::RestartExperiment::amounts),
            self.real_added.as_ref().map(real_ingresses::AddedExperiment::amounts),
        ];
        let given: Vec<_> = all.into_iter().flatten().flatten().collect();
        if given.is_empty() {
            return Err(
                "no experiment: one of list, request, quota, discovery, cold, real_list, real_restart, \
                        real_added is wanted"
                    .into(),
            );
        }
        for (key, amounts) in given {
            if amounts.is_empty() {
                return Err(format!("{key}: is empty"));
            }
            if let Some(bad) = amounts.iter().find(|n| !(1.0..=MOST as f64).contains(*n)) {
                return Err(format!("{key}: {bad} is not from 1 to {MOST}"));
            }
        }
        Ok(())
    }

    /// Runs what the file asks for. `ingress` is the program of a real ingress.
    pub fn run(&self, ingress: &Path, report: &mut Report) -> anyhow::Result<()> {
        if let Some(e) = &self.list {
            e.run(self.seed, report)?;
        }
        if let Some(e) = &self.request {
            e.run(self.seed, report)?;
        }
        if let Some(e) = &self.quota {
            e.run(self.seed, report)?;
        }
        if let Some(e) = &self.discovery {
            e.run(self.seed, report)?;
        }
        if let Some(e) = &self.cold {
            e.run(self.seed, report)?;
        }
        if let Some(e) = &self.real_list {
            e.run(ingress, report)?;
        }
        if let Some(e) = &self.real_restart {
            e.run(ingress, report)?;
        }
        if let Some(e) = &self.real_added {
            e.run(ingress, report)?;
        }
        Ok(())
    }
}

/// Keys and their amounts, for the check.
pub type Amounts = Vec<(&'static str, Vec<f64>)>;

/// Amounts of whole numbers.
pub fn whole(list: &[u64]) -> Vec<f64> {
    list.iter().map(|n| *n as f64).collect()
}
