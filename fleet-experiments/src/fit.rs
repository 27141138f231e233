//! Slopes: straight lines through the points of a result, and how far off they are.

use anyhow::Context;
use serde_json::Value;
use std::collections::BTreeMap;

/// A straight line through points, by least squares of the relative errors: sizes lie decades apart, and the smallest
/// would else count for nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at size 0.
    pub base: f64,
    /// Growth of the value for each one of the size.
    pub slope: f64,
    /// The largest distance of a point from the line, as a share of the point.
    pub off: f64,
}

/// The line through points of size and value; none with fewer than two sizes, or with a value that is not positive.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    if points.iter().any(|p| p.1 <= 0.0) {
        return None;
    }
    let sum = |of: &dyn Fn(f64, f64) -> f64| points.iter().map(|(x, y)| of(*x, *y) / (y * y)).sum::<f64>();
    let (n, x, y) = (sum(&|_, _| 1.0), sum(&|x, _| x), sum(&|_, y| y));
    let (xx, xy) = (sum(&|x, _| x * x), sum(&|x, y| x * y));
    let spread = n * xx - x * x;
    if spread <= 1e-9 * n * xx {
        return None;
    }
    let slope = (n * xy - x * y) / spread;
    let base = (y - slope * x) / n;
    let off = points.iter().map(|(x, y)| ((base + slope * x - y) / y).abs()).fold(0.0, f64::max);
    Some(Line { base, slope, off })
}

/// What is fitted: the experiment, the key of the size, what has to be alike, and the keys of the values.
const FITS: [(&str, &str, &[&str], &[&str]); 6] = [
    ("list", "backends", &[], &["whole_us", "change_us", "zone_lost_us", "memory"]),
    ("request", "backends", &["customers", "ingresses"], &["mean_us", "p99_us"]),
    ("request", "customers", &["backends", "ingresses"], &["mean_us", "memory"]),
    ("request", "ingresses", &["backends", "customers"], &["mean_us"]),
    ("quota", "rate", &["ingresses"], &["messages", "bytes"]),
    ("real_list", "backends", &[], &["took_s", "memory_most", "change_cpu_us"]),
];

/// The lines through the points of a file of results, a line of text each.
pub fn fits(text: &str) -> anyhow::Result<Vec<String>> {
    let mut results = Vec::new();
    for (n, line) in text.lines().enumerate() {
        results.push(serde_json::from_str::<Value>(line).with_context(|| format!("line {}", n + 1))?);
    }
    let mut out = Vec::new();
    for (experiment, size, alike, values) in FITS {
        for value in values {
            let mut groups: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
            for result in results.iter().filter(|r| r["experiment"] == experiment) {
                let p = &result["point"];
                let key: Vec<String> = alike.iter().map(|k| format!("{k} {}", p[*k])).collect();
                if let (Some(x), Some(y)) = (p[size].as_f64(), p[*value].as_f64()) {
                    groups.entry(key.join(", ")).or_default().push((x, y));
                }
            }
            for (key, points) in groups.into_iter().filter(|g| g.1.len() >= 4) {
                if let Some(Line { base, slope, off }) = line(&points) {
                    let n = points.len();
                    out.push(format!(
                        "{experiment} {value} by {size} ({key}): {base:.3e} + {slope:.3e} each, {n} points, off by {:.0}% at most",
                        off * 100.0
                    ));
                }
            }
        }
    }
    Ok(out)
}
