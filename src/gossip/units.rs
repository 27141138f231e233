//! Quantities as encoded in messages: units in quarters, token levels and latencies in steps.

/// Messages encode units in quarters.
const WIRE_UNITS_PER_UNIT: f64 = 4.0;
/// Number of steps of a [`TokenLevel`]; the last one is a full bucket.
const LEVEL_STEPS: f64 = 254.0;
/// Lower bound of divisors and of arguments of logarithms, so that both are defined for 0.
const EPSILON: f64 = 1e-9;
/// Messages encode latencies on a logarithmic scale with this resolution.
const LATENCY_STEPS_PER_OCTAVE: f64 = 5.0;
/// Distance of the first latency step below the latency objective, in octaves.
const OCTAVES_BELOW_OBJECTIVE: f64 = 5.0;
/// Step of the highest latencies.
const LAST_LATENCY_STEP: f64 = 30.0;
/// Step that encodes an error or a missing answer.
const FAILURE_STEP: u8 = 31;

/// Converts units to wire units, without rounding.
pub(crate) fn to_wire_units(units: f64) -> f64 {
    units * WIRE_UNITS_PER_UNIT
}

/// Converts wire units to units.
pub(crate) fn from_wire_units(wire_units: impl Into<f64>) -> f64 {
    wire_units.into() / WIRE_UNITS_PER_UNIT
}

/// Converts a total of units to wire units, rounded and wrapping.
pub(crate) fn wrap_total(units: f64) -> u16 {
    (to_wire_units(units).round() as i64) as u16
}

/// Returns the units between two wrapped totals; negative if the later total is lower.
pub(crate) fn wrapping_delta(earlier: u16, later: u16) -> f64 {
    from_wire_units(later.wrapping_sub(earlier) as i16)
}

/// Rounds units down to an amount that a grant can encode, from 0 to 63.75.
pub(crate) fn floor_to_wire_units(units: f64) -> f64 {
    from_wire_units(to_wire_units(units.clamp(0.0, from_wire_units(u8::MAX))).floor())
}

/// The fill level of a token bucket in 254 steps, or unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenLevel(u8);

impl TokenLevel {
    /// The level is unknown to the sender.
    pub(crate) const UNKNOWN: TokenLevel = TokenLevel(u8::MAX);

    /// Returns the level of a bucket with a capacity of `burst`. An overdrawn bucket counts as empty.
    pub(crate) fn from_tokens(tokens: f64, burst: f64) -> TokenLevel {
        TokenLevel((tokens / burst.max(EPSILON) * LEVEL_STEPS).clamp(0.0, LEVEL_STEPS) as u8)
    }

    /// Returns the tokens in a bucket with a capacity of `burst`, or `None` if the level is unknown.
    pub(crate) fn tokens(self, burst: f64) -> Option<f64> {
        (self != TokenLevel::UNKNOWN).then(|| f64::from(self.0) / LEVEL_STEPS * burst)
    }

    /// Decodes a level from a byte of a message.
    pub(super) fn from_byte(byte: u8) -> TokenLevel {
        TokenLevel(byte)
    }

    /// Encodes the level as a byte of a message.
    pub(super) fn to_byte(self) -> u8 {
        self.0
    }
}

/// Returns the five-bit step of a latency relative to the objective; `None` is a failure.
pub(super) fn latency_step(objective_ratio: Option<f64>) -> u8 {
    let Some(latency) = objective_ratio else { return FAILURE_STEP };
    let octaves = latency.max(EPSILON).log2() + OCTAVES_BELOW_OBJECTIVE;
    (octaves * LATENCY_STEPS_PER_OCTAVE).round().clamp(0.0, LAST_LATENCY_STEP) as u8
}

/// Returns the latency of a step relative to the objective; `None` for a failure.
pub(super) fn latency_of_step(step: u8) -> Option<f64> {
    let octaves = f64::from(step) / LATENCY_STEPS_PER_OCTAVE - OCTAVES_BELOW_OBJECTIVE;
    (step < FAILURE_STEP).then(|| octaves.exp2())
}

#[cfg(test)]
mod tests;
