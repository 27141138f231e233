//! Faults of system calls, as a plan that one process passes to another in an environment variable.
//!
//! `fault-shim`, loaded into an ingress, executes a plan; tests and `fault-soak` write it. A plan has its own
//! seed, so that the same calls in the same order get the same faults.
//!
//! A [`SystemCallFault`] is one way in which a system call of one process fails. A `FaultScenario` of
//! `fault-soak` is larger: it affects an ingress, a backend, discovery or clients, and may consist of several
//! system call faults, or of none.

use serde::{Deserialize, Serialize};

/// The environment variable that holds a plan as JSON.
pub const PLAN_VARIABLE: &str = "FAULT_SHIM";

/// A way in which a system call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SystemCallFault {
    /// A read from a TCP connection returns 1 to 16 bytes, whatever else is waiting.
    ShortRead,
    /// A write to a TCP connection takes 1 to 16 bytes only.
    ShortWrite,
    /// A write to a TCP connection takes no byte, and reports no error.
    ZeroWrite,
    /// A read from a TCP connection is interrupted by a signal.
    InterruptedRead,
    /// A write to a TCP connection is interrupted by a signal.
    InterruptedWrite,
    /// A write to a TCP connection finds no buffer (ENOBUFS).
    NoBufferForWrite,
    /// Waiting for events is interrupted by a signal.
    InterruptedWait,
    /// Accepting fails: ECONNABORTED, ENFILE, ENOBUFS, EMFILE, ENOMEM or EINTR.
    FailedAccept,
    /// Creating a socket fails: EMFILE, ENFILE or ENOBUFS.
    FailedSocket,
    /// Connecting fails: EADDRNOTAVAIL, ENETUNREACH or EINTR.
    FailedConnect,
    /// Registering a socket with epoll fails: ENOMEM.
    FailedRegistration,
    /// Writing the log, on standard error, fails: ENOSPC or EIO.
    FailedLog,
}

/// A system call fault, how often it is injected, and when.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// How the call fails.
    pub kind: SystemCallFault,
    /// The probability that a call gets it, from 0 to 1.
    pub probability: f64,
    /// When it begins, in milliseconds since the process started.
    pub from_ms: u64,
    /// When it ends, in milliseconds since the process started.
    pub until_ms: u64,
}

impl ScheduledFault {
    /// A fault that is active from the start to the end of the process.
    pub fn always(kind: SystemCallFault, probability: f64) -> ScheduledFault {
        ScheduledFault { kind, probability, from_ms: 0, until_ms: u64::MAX }
    }

    /// Whether it is active at a time since the start.
    pub fn is_active(&self, elapsed_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&elapsed_ms)
    }
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockStep {
    /// When, in milliseconds since the process started.
    pub at_ms: u64,
    /// By how much, in milliseconds; negative to set it back.
    pub by_ms: i64,
}

/// All faults of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultPlan {
    /// The seed of the random draws.
    pub seed: u64,
    /// Faults of system calls.
    #[serde(default)]
    pub faults: Vec<ScheduledFault>,
    /// Steps of the wall clock.
    #[serde(default)]
    pub clock_steps: Vec<ClockStep>,
}

impl FaultPlan {
    /// A plan with one fault, active from the start to the end.
    pub fn single(kind: SystemCallFault, probability: f64) -> FaultPlan {
        FaultPlan {
            seed: 1,
            faults: vec![ScheduledFault::always(kind, probability)],
            clock_steps: Vec::new(),
        }
    }

    /// The plan as the value of [`PLAN_VARIABLE`].
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads the value of [`PLAN_VARIABLE`].
    ///
    /// # Errors
    ///
    /// If the text is no JSON, or not a plan.
    pub fn from_json(json: &str) -> serde_json::Result<FaultPlan> {
        serde_json::from_str(json)
    }

    /// The probability of a fault at a time since the start; faults of one kind add up.
    pub fn probability(&self, kind: SystemCallFault, elapsed_ms: u64) -> f64 {
        let active = self.faults.iter().filter(|fault| fault.kind == kind && fault.is_active(elapsed_ms));
        active.map(|fault| fault.probability).sum()
    }

    /// By how many milliseconds the wall clock is off at a time since the start.
    pub fn clock_offset_ms(&self, elapsed_ms: u64) -> i64 {
        self.clock_steps.iter().filter(|step| step.at_ms <= elapsed_ms).map(|step| step.by_ms).sum()
    }
}

#[cfg(test)]
mod tests;
