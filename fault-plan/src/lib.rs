//! Plans of system call faults, passed to a process as JSON in an environment variable.
//!
//! Tests and `fault-soak` write a plan; `fault-shim`, preloaded into an ingress, executes it. A plan has its
//! own seed, so the same calls in the same order get the same faults.
//!
//! A [`SystemCallFault`] makes one kind of system call fail in one process. A `FaultScenario` of `fault-soak`
//! affects an ingress, a backend, discovery or clients, and consists of zero or more system call faults.

use serde::{Deserialize, Serialize};

/// The environment variable that holds a plan as JSON.
pub const PLAN_VARIABLE: &str = "FAULT_SHIM";

/// A fault that can be injected into a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SystemCallFault {
    /// A read from a TCP connection returns 1 to 16 bytes, even if more are available.
    ShortRead,
    /// A write to a TCP connection accepts only 1 to 16 bytes.
    ShortWrite,
    /// A write to a TCP connection accepts no bytes and reports no error.
    ZeroWrite,
    /// A read from a TCP connection fails with EINTR, as if interrupted by a signal.
    InterruptedRead,
    /// A write to a TCP connection fails with EINTR, as if interrupted by a signal.
    InterruptedWrite,
    /// A write to a TCP connection fails with ENOBUFS.
    NoBufferForWrite,
    /// A wait for epoll events fails with EINTR, as if interrupted by a signal.
    InterruptedWait,
    /// Accepting a connection fails with ECONNABORTED, ENFILE, ENOBUFS, EMFILE, ENOMEM or EINTR.
    FailedAccept,
    /// Creating a socket fails with EMFILE, ENFILE or ENOBUFS.
    FailedSocket,
    /// Connecting a socket fails with EADDRNOTAVAIL, ENETUNREACH or EINTR.
    FailedConnect,
    /// Registering a socket with epoll fails with ENOMEM.
    FailedRegistration,
    /// Writing the log to standard error fails with ENOSPC or EIO.
    FailedLog,
}

/// A system call fault with its probability and the interval in which it is active.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// The fault to inject.
    pub kind: SystemCallFault,
    /// Probability that a call gets the fault, from 0 to 1.
    pub probability: f64,
    /// Start of the interval, in milliseconds since the process started.
    pub from_ms: u64,
    /// End of the interval, exclusive, in milliseconds since the process started.
    pub until_ms: u64,
}

impl ScheduledFault {
    /// Creates a fault that is active throughout the life of the process.
    pub fn always(kind: SystemCallFault, probability: f64) -> ScheduledFault {
        ScheduledFault { kind, probability, from_ms: 0, until_ms: u64::MAX }
    }

    /// Returns whether the fault is active `elapsed_ms` after the start of the process.
    pub fn is_active(&self, elapsed_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&elapsed_ms)
    }
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockStep {
    /// Time of the step, in milliseconds since the process started.
    pub at_ms: u64,
    /// Size of the step, in milliseconds; negative to set the clock back.
    pub by_ms: i64,
}

/// The faults to inject into one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultPlan {
    /// Seed of the random draws.
    pub seed: u64,
    /// System call faults with their probabilities and intervals.
    #[serde(default)]
    pub faults: Vec<ScheduledFault>,
    /// Steps of the wall clock. Their sizes add up.
    #[serde(default)]
    pub clock_steps: Vec<ClockStep>,
}

impl FaultPlan {
    /// Creates a plan with one fault that is active throughout the life of the process.
    pub fn single(kind: SystemCallFault, probability: f64) -> FaultPlan {
        FaultPlan {
            seed: 1,
            faults: vec![ScheduledFault::always(kind, probability)],
            clock_steps: Vec::new(),
        }
    }

    /// Returns the plan as JSON, the value of [`PLAN_VARIABLE`].
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the value of [`PLAN_VARIABLE`].
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a plan in JSON.
    pub fn from_json(json: &str) -> serde_json::Result<FaultPlan> {
        serde_json::from_str(json)
    }

    /// Returns the probability of a fault `elapsed_ms` after the start of the process. The probabilities of
    /// overlapping faults of the same kind add up.
    pub fn probability(&self, kind: SystemCallFault, elapsed_ms: u64) -> f64 {
        let active = self.faults.iter().filter(|fault| fault.kind == kind && fault.is_active(elapsed_ms));
        active.map(|fault| fault.probability).sum()
    }

    /// Returns the offset of the wall clock `elapsed_ms` after the start of the process, in milliseconds.
    pub fn clock_offset_ms(&self, elapsed_ms: u64) -> i64 {
        self.clock_steps.iter().filter(|step| step.at_ms <= elapsed_ms).map(|step| step.by_ms).sum()
    }
}

#[cfg(test)]
mod tests;
