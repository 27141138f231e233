//! The representation of quantities in messages: units as quarters, token levels and latencies as steps.

/// Messages count units in quarters.
const WIRE_UNITS_PER_UNIT: f64 = 4.0;
/// Steps of a [`TokenLevel`]; the last one is a full bucket.
const LEVEL_STEPS: f64 = 254.0;
/// The smallest divisor, for a bucket that holds nothing, and the smallest latency, which has a logarithm.
const EPSILON: f64 = 1e-9;
/// Latencies are sent in steps of a fifth of an octave ...
const LATENCY_STEPS_PER_OCTAVE: f64 = 5.0;
/// ... from five octaves below the latency objective ...
const OCTAVES_BELOW_OBJECTIVE: f64 = 5.0;
/// ... up to this step.
const LAST_LATENCY_STEP: f64 = 30.0;
/// The step of an attempt without an answer.
const FAILURE_STEP: u8 = 31;

/// Units as a number of wire units, not rounded yet.
pub(crate) fn to_wire_units(units: f64) -> f64 {
    units * WIRE_UNITS_PER_UNIT
}

/// The units that a number of wire units stands for.
pub(crate) fn from_wire_units(wire_units: impl Into<f64>) -> f64 {
    wire_units.into() / WIRE_UNITS_PER_UNIT
}

/// A total of units as messages carry it: in wire units, wrapping.
pub(crate) fn wrap_total(units: f64) -> u16 {
    (to_wire_units(units).round() as i64) as u16
}

/// Units between two wrapped totals; negative if the later one is less.
pub(crate) fn wrapping_delta(earlier: u16, later: u16) -> f64 {
    from_wire_units(later.wrapping_sub(earlier) as i16)
}

/// Rounds units down to what a grant can carry.
pub(crate) fn floor_to_wire_units(units: f64) -> f64 {
    from_wire_units(to_wire_units(units.clamp(0.0, from_wire_units(u8::MAX))).floor())
}

/// How full a token bucket is, in 254 steps; or that the sender doesn't know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenLevel(u8);

impl TokenLevel {
    /// The sender does not know the level.
    pub(crate) const UNKNOWN: TokenLevel = TokenLevel(u8::MAX);

    /// The level of a bucket with a capacity of `burst`; an overdrawn one counts as empty.
    pub(crate) fn from_tokens(tokens: f64, burst: f64) -> TokenLevel {
        TokenLevel((tokens / burst.max(EPSILON) * LEVEL_STEPS).clamp(0.0, LEVEL_STEPS) as u8)
    }

    /// The tokens in a bucket with a capacity of `burst`, if the level is known.
    pub(crate) fn tokens(self, burst: f64) -> Option<f64> {
        (self != TokenLevel::UNKNOWN).then(|| f64::from(self.0) / LEVEL_STEPS * burst)
    }

    /// The level that a message's byte stands for.
    pub(super) fn from_byte(byte: u8) -> TokenLevel {
        TokenLevel(byte)
    }

    /// The level as a byte of a message.
    pub(super) fn to_byte(self) -> u8 {
        self.0
    }
}

/// The step, in five bits, for a latency as a share of the objective; none is a failure.
pub(super) fn latency_step(objective_ratio: Option<f64>) -> u8 {
    let Some(latency) = objective_ratio else { return FAILURE_STEP };
    let octaves = latency.max(EPSILON).log2() + OCTAVES_BELOW_OBJECTIVE;
    (octaves * LATENCY_STEPS_PER_OCTAVE).round().clamp(0.0, LAST_LATENCY_STEP) as u8
}

/// The latency that a step stands for; none for a failure.
pub(super) fn latency_of_step(step: u8) -> Option<f64> {
    let octaves = f64::from(step) / LATENCY_STEPS_PER_OCTAVE - OCTAVES_BELOW_OBJECTIVE;
    (step < FAILURE_STEP).then(|| octaves.exp2())
}

#[cfg(test)]
mod tests;
