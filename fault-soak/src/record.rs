//! Timed observations of clients, backends, discovery and the supervisor of the ingresses.

pub use stand_ins::endpoint::EndpointStatus;
pub use stand_ins::request::RequestClass;

use serde::Serialize;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// A time since the start of the run, or a duration, in microseconds.
pub type Micros = u64;

/// Conversion factor from milliseconds to microseconds.
pub const MICROS_PER_MILLI: Micros = 1000;

/// Converts a time or a duration to whole milliseconds.
pub fn to_millis(micros: Micros) -> u64 {
    micros / MICROS_PER_MILLI
}

/// The outcome of a request, as observed by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// The client received the expected value.
    Served,
    /// The client received an unexpected value.
    WrongValue,
    /// The client received `-BUSY`.
    Rejected,
    /// The client received another error.
    Failed,
    /// The connection was closed without an answer.
    Closed,
    /// The client received no answer in time.
    Unanswered,
    /// The client disconnected before an answer.
    Disconnected,
}

/// A request, as observed by its client.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    /// Id of the request, which contains the numbers of the ingress and the client.
    pub id: String,
    /// Idempotency class of the request.
    pub class: RequestClass,
    /// Number of the ingress that the request was sent to.
    pub ingress: usize,
    /// Time at which the last byte was written.
    pub sent_at: Micros,
    /// Timeout of the client, in microseconds.
    pub timeout: Micros,
    /// Result that the client observed.
    pub outcome: Outcome,
    /// Time of the outcome.
    pub ended_at: Micros,
    /// Whether the connection may have carried earlier requests. The ingress may close such a connection
    /// while this request is in transit.
    pub may_cross_close: bool,
    /// Number of requests in flight on the connection ahead of this one.
    pub pipelined_behind: usize,
    /// Number of the customer, if it has the metered plan.
    pub metered_customer: Option<u64>,
}

/// A complete command that a backend received, which is an attempt of an ingress.
#[derive(Clone, Debug, Serialize)]
pub struct ArrivalRecord {
    /// Id of the request.
    pub id: String,
    /// Number of the backend in the testbed.
    pub backend: usize,
    /// Time at which the last byte was read.
    pub at: Micros,
    /// Timeout that the ingress stated in the command, in microseconds.
    pub time_budget: Micros,
    /// Whether the backend rejected the command without executing it.
    pub rejected: bool,
    /// Time at which the reply was written or the connection ended.
    pub ended_at: Option<Micros>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointChange {
    /// Version of the list after the change.
    pub version: u64,
    /// Number of the backend in the testbed.
    pub backend: usize,
    /// New status of the backend.
    pub status: EndpointStatus,
    /// Whether the backend was restarted.
    pub restarted: bool,
    /// Time of publication.
    pub at: Micros,
}

/// A notification of an ingress about a version of the endpoint list.
#[derive(Clone, Debug, Serialize)]
pub struct Notification {
    /// Number of the ingress in the fleet.
    pub ingress: usize,
    /// Version of the list.
    pub version: u64,
    /// Time at which the last byte of the response was written.
    pub at: Micros,
}

/// An event of an ingress process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProcessEvent {
    /// The process was spawned.
    Started,
    /// The process answered its first PING.
    Ready,
    /// SIGTERM was sent to the process.
    Terminated,
    /// The process exited after SIGTERM.
    Exited,
    /// The process was killed by the plan.
    Killed,
    /// The process did not exit in time after SIGTERM and was killed.
    Overdue,
    /// The process exited without a signal from the soak.
    Crashed,
    /// The process exited before it was ready, or did not become ready in time.
    NotReady,
    /// The process was stopped for a short pause and continued.
    Paused,
}

/// An event of an ingress process with its time.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessRecord {
    /// Number of the ingress in the fleet.
    pub ingress: usize,
    /// Kind of the event.
    pub event: ProcessEvent,
    /// Time of the event.
    pub at: Micros,
}

/// An incomplete or malformed command from a client that stays connected.
#[derive(Clone, Debug, Serialize)]
pub struct InvalidInputRecord {
    /// Number of the ingress in the fleet.
    pub ingress: usize,
    /// Time at which the last byte was written.
    pub at: Micros,
    /// Time at which the client observed an error or a close, if any.
    pub responded_at: Option<Micros>,
}

/// The logged counters of an ingress that ran without a restart throughout the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CounterRecord {
    /// Number of the ingress in the fleet.
    pub ingress: usize,
    /// Number of requests received.
    pub requests: u64,
    /// Number of final answers.
    pub answers: u64,
    /// Number of rejections and failures among the answers.
    pub not_served: u64,
    /// Number of attempts whose first byte was written.
    pub attempts_begun: u64,
}

/// All observations of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Observations {
    /// Requests, as observed by clients.
    pub requests: Vec<RequestRecord>,
    /// Attempts, as observed by backends.
    pub arrivals: Vec<ArrivalRecord>,
    /// Changes of the endpoint list that discovery published.
    pub changes: Vec<EndpointChange>,
    /// Notifications that discovery sent.
    pub notifications: Vec<Notification>,
    /// Events of the ingress processes.
    pub processes: Vec<ProcessRecord>,
    /// Incomplete and malformed commands that clients sent.
    pub invalid_inputs: Vec<InvalidInputRecord>,
    /// Bytes that clients received after final answers.
    pub stray_bytes: Vec<String>,
    /// Counters that the ingresses logged.
    pub counters: Vec<CounterRecord>,
    /// Longest time for which a thread of the soak was not scheduled. Observations of other threads may have
    /// been delayed by as much.
    pub longest_stall: Micros,
}

/// Collects the observations of all threads.
pub struct Recorder {
    /// Start of the run.
    started: Instant,
    observations: Mutex<Observations>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { started: Instant::now(), observations: Mutex::new(Observations::default()) }
    }
}

impl Recorder {
    /// Returns the time since the start of the run.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        to_millis(self.now())
    }

    /// Locks the observations so far.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
