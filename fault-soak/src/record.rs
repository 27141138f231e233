//! What clients, backends, discovery and the supervisor of the ingresses observe, with the times of it.

pub use stand_ins::endpoint::EndpointStatus;
pub use stand_ins::request::RequestClass;

use serde::Serialize;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// A time since the run began, or a span, in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MICROS_PER_MILLI: Micros = 1000;

/// A time or a span in whole milliseconds.
pub fn to_millis(micros: Micros) -> u64 {
    micros / MICROS_PER_MILLI
}

/// How a request ended, as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// It got its value.
    Served,
    /// It got another value.
    WrongValue,
    /// It got `-BUSY`.
    Rejected,
    /// It got another error.
    Failed,
    /// The connection was closed without an answer.
    Closed,
    /// The client got no answer in time.
    Unanswered,
    /// The client disconnected first.
    Disconnected,
}

/// A request, as its client observed it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: RequestClass,
    /// The ingress that it was sent to.
    pub ingress: usize,
    /// When its last byte was written.
    pub sent_at: Micros,
    /// How long the client waits for the answer, in microseconds.
    pub timeout: Micros,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended_at: Micros,
    /// The connection had answered a request before, so that its close may cross this one.
    pub may_cross_close: bool,
    /// Requests that were in flight on the connection before it.
    pub pipelined_behind: usize,
    /// Its customer, if that has a quota within reach.
    pub metered_customer: Option<u64>,
}

/// A complete command that a backend received: an attempt of an ingress.
#[derive(Clone, Debug, Serialize)]
pub struct ArrivalRecord {
    /// The id of the request.
    pub id: String,
    /// The backend's number.
    pub backend: usize,
    /// When its last byte was read.
    pub at: Micros,
    /// The timeout that the ingress stated for it, in microseconds.
    pub time_budget: Micros,
    /// The backend rejected it, and did not execute it.
    pub rejected: bool,
    /// When its reply was written, or its connection ended.
    pub ended_at: Option<Micros>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointChange {
    /// The version of the list that it makes.
    pub version: u64,
    /// The backend's number.
    pub backend: usize,
    /// Its status from then on.
    pub status: EndpointStatus,
    /// The backend was restarted.
    pub restarted: bool,
    /// When it was published.
    pub at: Micros,
}

/// An ingress was notified of a version of the endpoint list.
#[derive(Clone, Debug, Serialize)]
pub struct Notification {
    /// The ingress's number.
    pub ingress: usize,
    /// The version.
    pub version: u64,
    /// When the last byte of the response was written.
    pub at: Micros,
}

/// What happened to the process of an ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It answered its first PING.
    Ready,
    /// It was sent SIGTERM.
    Terminated,
    /// It exited after SIGTERM.
    Exited,
    /// It was killed by the plan.
    Killed,
    /// It was killed since it had not exited in time after SIGTERM.
    Overdue,
    /// It exited by itself.
    Crashed,
    /// It was not ready in time.
    NotReady,
    /// It was stopped for a short pause, and continued.
    Paused,
}

/// What happened to a process, and when.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessRecord {
    /// The ingress's number.
    pub ingress: usize,
    /// What happened.
    pub event: ProcessEvent,
    /// When.
    pub at: Micros,
}

/// An incomplete or malformed command of a client that stays connected.
#[derive(Clone, Debug, Serialize)]
pub struct InvalidInputRecord {
    /// The ingress's number.
    pub ingress: usize,
    /// When its last byte was written.
    pub at: Micros,
    /// When the client got an error or a close; none if it got neither.
    pub responded_at: Option<Micros>,
}

/// The counters of an ingress that ran from the start to the end of the load, from its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CounterRecord {
    /// The ingress's number.
    pub ingress: usize,
    /// Requests that it received.
    pub requests: u64,
    /// Final answers.
    pub answers: u64,
    /// Of these, rejections and failures.
    pub not_served: u64,
    /// Attempts whose first byte was written.
    pub attempts_begun: u64,
}

/// All that was observed in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Observations {
    /// Requests, by clients.
    pub requests: Vec<RequestRecord>,
    /// Attempts, by backends.
    pub arrivals: Vec<ArrivalRecord>,
    /// Changes of the endpoint list, by discovery.
    pub changes: Vec<EndpointChange>,
    /// Notifications, by discovery.
    pub notifications: Vec<Notification>,
    /// Processes, by the supervisor.
    pub processes: Vec<ProcessRecord>,
    /// Incomplete and malformed commands, by clients.
    pub invalid_inputs: Vec<InvalidInputRecord>,
    /// Bytes that clients received after a final answer.
    pub stray_bytes: Vec<String>,
    /// The counters of the ingresses.
    pub counters: Vec<CounterRecord>,
    /// The longest time for which a thread of the soak was not scheduled. Other threads may have been as late
    /// to observe something.
    pub longest_stall: Micros,
}

/// Collects the observations of all threads.
pub struct Recorder {
    /// When the run began.
    started: Instant,
    /// The observations so far.
    observations: Mutex<Observations>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { started: Instant::now(), observations: Mutex::new(Observations::default()) }
    }
}

impl Recorder {
    /// The time since the run began.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// The time since the run began, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        to_millis(self.now())
    }

    /// The observations so far.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
