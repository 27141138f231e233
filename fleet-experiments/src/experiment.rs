//! Interface between experiments and the code that reads experiment files and runs them.

use crate::report::Report;
use std::path::Path;

/// Inputs that all experiments of a run share.
#[derive(Clone, Copy, Debug)]
pub struct Environment<'a> {
    /// Seed of all random draws.
    pub seed: u64,
    /// Ingress program that experiments on real processes start.
    pub ingress_program: &'a Path,
}

/// An experiment with the parameters from its table in an experiment file.
pub trait Experiment {
    /// Returns the name of the experiment's table, which also labels its points in the results.
    fn name(&self) -> &'static str;

    /// Returns all numeric parameters, for validation before any experiment runs.
    fn parameters(&self) -> Vec<Parameter>;

    /// Measures all points of the experiment and records them.
    ///
    /// # Errors
    ///
    /// If a point cannot be measured or recorded.
    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()>;
}

/// Values under one key of an experiment's table.
#[derive(Clone, Debug)]
pub struct Parameter {
    /// Key in the table, as printed in error messages.
    pub key: &'static str,
    /// One value, or the elements of a list.
    pub values: Vec<f64>,
}

impl Parameter {
    /// Creates a parameter with one integer.
    pub fn integer(key: &'static str, value: u64) -> Parameter {
        Parameter { key, values: vec![value as f64] }
    }

    /// Creates a parameter with a list of integers.
    pub fn integers(key: &'static str, values: &[u64]) -> Parameter {
        Parameter { key, values: values.iter().map(|value| *value as f64).collect() }
    }

    /// Creates a parameter whose values are multiplied by ten, so that values down to 0.1 pass validation.
    /// `key` must say that the values are in tenths.
    pub fn tenths(key: &'static str, values: &[f64]) -> Parameter {
        Parameter { key, values: values.iter().map(|value| value * 10.0).collect() }
    }
}
