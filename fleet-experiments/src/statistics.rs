//! Quantiles of measured values.

use hdrhistogram::Histogram;

/// Returns a quantile of sorted values, for a `share` from 0 to 1; `None` if there are no values. The rank
/// is rounded down.
pub fn quantile<T: Copy>(sorted: &[T], share: f64) -> Option<T> {
    let rank = (sorted.len() as f64 * share) as usize;
    sorted.get(rank.saturating_sub(1)).copied()
}

/// Returns the median of a histogram.
pub fn p50(histogram: &Histogram<u64>) -> u64 {
    histogram.value_at_quantile(0.5)
}

/// Returns the 99th percentile of a histogram.
pub fn p99(histogram: &Histogram<u64>) -> u64 {
    histogram.value_at_quantile(0.99)
}
