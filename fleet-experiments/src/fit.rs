//! Fits straight lines to the points of a file of results, and reports their largest relative error.

use anyhow::Context;
use serde_json::Value;
use std::collections::BTreeMap;

/// Minimum number of points for a fit.
const MIN_POINTS: usize = 4;
/// Minimum ratio of the variance of the sizes to their mean square. Below it the sizes count as equal, and
/// no line is fitted.
const MIN_RELATIVE_SPREAD: f64 = 1e-9;

/// A value that was measured at a size.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Value of the parameter that is varied.
    pub size: f64,
    /// Result of the measurement.
    pub value: f64,
}

/// Straight line fitted by least squares of the relative errors. Sizes span several decades, and absolute
/// errors would give the smallest ones no influence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Largest relative error among the points.
    pub max_relative_error: f64,
}

impl Line {
    /// Evaluates the line at a size.
    fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Fits a line to points. Returns `None` if all points have the same size, or a value is not positive.
pub fn fit_line(points: &[Point]) -> Option<Line> {
    if points.iter().any(|point| point.value <= 0.0) {
        return None;
    }
    // Weighting by the inverse square of the value minimizes relative errors.
    let sum = |term: &dyn Fn(&Point) -> f64| {
        points.iter().map(|point| term(point) / (point.value * point.value)).sum::<f64>()
    };
    let weight = sum(&|_| 1.0);
    let sizes = sum(&|point| point.size);
    let values = sum(&|point| point.value);
    let size_squares = sum(&|point| point.size * point.size);
    let products = sum(&|point| point.size * point.value);
    let spread = weight * size_squares - sizes * sizes;
    if spread <= MIN_RELATIVE_SPREAD * weight * size_squares {
        return None;
    }
    let slope = (weight * products - sizes * values) / spread;
    let mut line = Line { intercept: (values - slope * sizes) / weight, slope, max_relative_error: 0.0 };
    let error = |point: &Point| ((line.at(point.size) - point.value) / point.value).abs();
    line.max_relative_error = points.iter().map(error).fold(0.0, f64::max);
    Some(line)
}

/// Values of an experiment that are fitted as linear functions of one of its parameters.
struct Fit {
    /// Name of the experiment in current results.
    experiment: &'static str,
    /// Key of the parameter that is varied.
    size: &'static str,
    /// Keys whose values must be equal among the points of one line.
    group_by: &'static [&'static str],
    /// Keys of the fitted values.
    values: &'static [&'static str],
}

/// Fits that are computed for a file of results.
const FITS: [Fit; 6] = [
    Fit {
        experiment: "endpoint_list",
        size: "backends",
        group_by: &[],
        values: &["snapshot_us", "change_us", "zone_lost_us", "memory_bytes"],
    },
    Fit {
        experiment: "request",
        size: "backends",
        group_by: &["customers", "ingresses"],
        values: &["mean_us", "p99_us"],
    },
    Fit {
        experiment: "request",
        size: "customers",
        group_by: &["backends", "ingresses"],
        values: &["mean_us", "memory_bytes"],
    },
    Fit {
        experiment: "request",
        size: "ingresses",
        group_by: &["backends", "customers"],
        values: &["mean_us"],
    },
    Fit { experiment: "quota", size: "rate", group_by: &["ingresses"], values: &["messages", "bytes"] },
    Fit {
        experiment: "ingress_endpoint_list",
        size: "backends",
        group_by: &[],
        values: &["apply_s", "peak_memory_bytes", "change_cpu_us"],
    },
];

/// Renamed experiment or key.
struct FormerName {
    /// Name in current results.
    current: &'static str,
    /// Name in results written before the rename.
    former: &'static str,
}

/// Names used in [`FITS`] that have changed.
const FORMER_NAMES: [FormerName; 6] = [
    FormerName { current: "endpoint_list", former: "list" },
    FormerName { current: "ingress_endpoint_list", former: "real_list" },
    FormerName { current: "snapshot_us", former: "whole_us" },
    FormerName { current: "memory_bytes", former: "memory" },
    FormerName { current: "apply_s", former: "took_s" },
    FormerName { current: "peak_memory_bytes", former: "memory_most" },
];

/// Returns the former name of an experiment or key, if it was renamed.
fn former_name(current: &str) -> Option<&'static str> {
    FORMER_NAMES.iter().find(|name| name.current == current).map(|name| name.former)
}

/// Returns the value under a key of a point, or under the key's former name.
fn value<'a>(point: &'a Value, key: &str) -> &'a Value {
    match former_name(key) {
        Some(former) if point.get(key).is_none() => &point[former],
        _ => &point[key],
    }
}

/// Returns whether a result belongs to an experiment, by its current or former name.
fn is_from_experiment(result: &Value, experiment: &str) -> bool {
    let name = result["experiment"].as_str();
    name == Some(experiment) || name.is_some() && name == former_name(experiment)
}

/// Fits lines to the points of a file of results, and returns a one-line description of each.
///
/// # Errors
///
/// If a line of the text is not valid JSON.
pub fn fit_results(text: &str) -> anyhow::Result<Vec<String>> {
    let mut results = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let result = serde_json::from_str::<Value>(line)
            .with_context(|| format!("line {} is not valid JSON", index + 1))?;
        results.push(result);
    }
    let mut descriptions = Vec::new();
    for fit in &FITS {
        for key in fit.values {
            for (group, points) in groups(&results, fit, key) {
                descriptions.extend(describe(fit, key, &group, &points));
            }
        }
    }
    Ok(descriptions)
}

/// Returns the points of the value under `key`, grouped by the values of the keys in `fit.group_by`.
fn groups(results: &[Value], fit: &Fit, key: &str) -> BTreeMap<String, Vec<Point>> {
    let mut groups: BTreeMap<String, Vec<Point>> = BTreeMap::new();
    for result in results.iter().filter(|result| is_from_experiment(result, fit.experiment)) {
        let point = &result["point"];
        let labels: Vec<String> =
            fit.group_by.iter().map(|key| format!("{key} {}", value(point, key))).collect();
        if let (Some(size), Some(value)) = (value(point, fit.size).as_f64(), value(point, key).as_f64()) {
            groups.entry(labels.join(", ")).or_default().push(Point { size, value });
        }
    }
    groups
}

/// Describes the line through a group of points; `None` if there are too few points, or no line fits.
fn describe(fit: &Fit, key: &str, group: &str, points: &[Point]) -> Option<String> {
    let count = points.len();
    let Line { intercept, slope, max_relative_error } = fit_line(points).filter(|_| count >= MIN_POINTS)?;
    let experiment = fit.experiment;
    let size = fit.size;
    let percent = max_relative_error * 100.0;
    Some(format!(
        "{experiment} {key} by {size} ({group}): {intercept:.3e} + {slope:.3e} each, {count} points, off by {percent:.0}% at most"
    ))
}
