//! The interface of an experiment to the code that reads experiment files and runs them.

use crate::report::Report;
use std::path::Path;

/// The environment that experiments run in.
#[derive(Clone, Copy, Debug)]
pub struct Environment<'a> {
    /// Seed of all random draws.
    pub seed: u64,
    /// The program of a real ingress, for experiments on processes.
    pub ingress_program: &'a Path,
}

/// An experiment with its sizes, as a table of an experiment file gives them.
pub trait Experiment {
    /// The name of its table in an experiment file, and of its points in the results.
    fn name(&self) -> &'static str;

    /// All sizes that it was given, to be checked before anything runs.
    fn parameters(&self) -> Vec<Parameter>;

    /// Measures at each size and records the points.
    ///
    /// # Errors
    ///
    /// If a size cannot be measured, or a point cannot be recorded.
    fn run(&self, environment: &Environment, report: &mut Report) -> anyhow::Result<()>;
}

/// The sizes under one key of an experiment's table.
#[derive(Clone, Debug)]
pub struct Parameter {
    /// The key.
    pub key: &'static str,
    /// The values.
    pub values: Vec<f64>,
}

impl Parameter {
    /// A key with one integer.
    pub fn integer(key: &'static str, value: u64) -> Parameter {
        Parameter { key, values: vec![value as f64] }
    }

    /// A key with a list of integers.
    pub fn integers(key: &'static str, values: &[u64]) -> Parameter {
        Parameter { key, values: values.iter().map(|value| *value as f64).collect() }
    }

    /// A key with a list of numbers that may be as small as a tenth; `key` has to say that they are in
    /// tenths.
    pub fn tenths(key: &'static str, values: &[f64]) -> Parameter {
        Parameter { key, values: values.iter().map(|value| value * 10.0).collect() }
    }
}
