//! Fits: straight lines through the points of a file of results, and how far off they are.

use anyhow::Context;
use serde_json::Value;
use std::collections::BTreeMap;

/// The fewest points that a line is drawn through.
const MIN_POINTS: usize = 4;
/// Sizes whose spread is below this share of their square sum count as one size.
const MIN_RELATIVE_SPREAD: f64 = 1e-9;

/// A point: a size, and the value that was measured at it.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The value.
    pub value: f64,
}

/// A straight line through points, by least squares of the relative errors: sizes lie decades apart, and the
/// smallest would else count for nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// Growth of the value for each one of the size.
    pub slope: f64,
    /// The largest distance of a point from the line, as a share of the point.
    pub max_relative_error: f64,
}

impl Line {
    /// The value of the line at a size.
    fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// The line through points; none with fewer than two sizes, or with a value that is not positive.
pub fn fit_line(points: &[Point]) -> Option<Line> {
    if points.iter().any(|point| point.value <= 0.0) {
        return None;
    }
    // Relative errors: each point weighs one by the square of its value.
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

/// Values of an experiment that are fitted by one of its sizes.
struct Fit {
    /// The experiment.
    experiment: &'static str,
    /// The key of the size.
    size: &'static str,
    /// The keys that have to be equal among the points of one line.
    group_by: &'static [&'static str],
    /// The keys of the values.
    values: &'static [&'static str],
}

/// All that is fitted.
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

/// A name in results, and the name that earlier results have for it.
struct FormerName {
    /// The present name.
    current: &'static str,
    /// The former name.
    former: &'static str,
}

/// The names in [`FITS`] that were renamed.
const FORMER_NAMES: [FormerName; 6] = [
    FormerName { current: "endpoint_list", former: "list" },
    FormerName { current: "ingress_endpoint_list", former: "real_list" },
    FormerName { current: "snapshot_us", former: "whole_us" },
    FormerName { current: "memory_bytes", former: "memory" },
    FormerName { current: "apply_s", former: "took_s" },
    FormerName { current: "peak_memory_bytes", former: "memory_most" },
];

/// The former name of a present one.
fn former_name(current: &str) -> Option<&'static str> {
    FORMER_NAMES.iter().find(|name| name.current == current).map(|name| name.former)
}

/// A value of a point, by its present or its former name.
fn value<'a>(point: &'a Value, key: &str) -> &'a Value {
    match former_name(key) {
        Some(former) if point.get(key).is_none() => &point[former],
        _ => &point[key],
    }
}

/// Whether a line of results is of this experiment, by its present or its former name.
fn is_from_experiment(result: &Value, experiment: &str) -> bool {
    let name = result["experiment"].as_str();
    name == Some(experiment) || name.is_some() && name == former_name(experiment)
}

/// Fits lines through the points of a file of results, and describes each in a line of text.
///
/// # Errors
///
/// If a line is not JSON.
pub fn fit_results(text: &str) -> anyhow::Result<Vec<String>> {
    let mut results = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let result = serde_json::from_str::<Value>(line).with_context(|| format!("line {}", index + 1))?;
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

/// The points of a value, grouped by what has to be equal among the points of one line.
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

/// Describes the line through the points of a group; none if there are too few, or no line fits.
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
