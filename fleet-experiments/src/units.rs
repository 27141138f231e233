//! Conversion factors between units of time.

/// Nanoseconds in a microsecond.
pub const NANOS_PER_MICRO: f64 = 1e3;
/// Microseconds in a second.
pub const MICROS_PER_SECOND: f64 = 1e6;
