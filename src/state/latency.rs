//! How long answers of a class usually take.

use crate::Instant;

/// Latencies of a class, in microseconds.
#[derive(Default)]
pub struct LatencyBaseline {
    /// Of recent answers.
    pub recent: f64,
    /// Of answers by unloaded backends.
    pub unloaded: f64,
    /// Answers seen.
    pub sample_count: f64,
    /// When the latest answer came.
    pub updated_at: Instant,
}
