//! Quantiles of what was measured.

use hdrhistogram::Histogram;

/// The value below or at which a share of sorted values lies; none of no values.
pub fn quantile<T: Copy>(sorted: &[T], share: f64) -> Option<T> {
    let rank = (sorted.len() as f64 * share) as usize;
    sorted.get(rank.saturating_sub(1)).copied()
}

/// The median of a histogram.
pub fn p50(histogram: &Histogram<u64>) -> u64 {
    histogram.value_at_quantile(0.5)
}

/// The 99th percentile of a histogram.
pub fn p99(histogram: &Histogram<u64>) -> u64 {
    histogram.value_at_quantile(0.99)
}
