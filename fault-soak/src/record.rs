//! What clients, backends, discovery and the supervisor of the ingresses saw, with the times at which they saw it.

use serde::Serialize;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// Microseconds since the run began.
pub type Micros = u64;

/// The class of a request, which says whether it may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Class {
    /// At will.
    Idempotent,
    /// Within the window of its key.
    Keyed,
    /// Never.
    NonIdempotent,
}

/// How a request came to its end, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Ending {
    /// Served with the value that belongs to it.
    Served,
    /// Served with something else.
    WrongValue,
    /// `-BUSY`.
    Rejected,
    /// Any other error.
    Failed,
    /// The connection was closed with no answer.
    Closed,
    /// No answer came in time.
    Unanswered,
    /// The client left.
    Left,
}

/// A request, as its client saw it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// The ingress that it was sent to.
    pub ingress: usize,
    /// When its last byte was written.
    pub sent_at: Micros,
    /// How long the client waits, in microseconds.
    pub timeout: Micros,
    /// How it ended.
    pub ending: Ending,
    /// When.
    pub ended_at: Micros,
    /// It is on a connection on which a request was answered before, and may cross its close.
    pub may_cross_close: bool,
    /// Requests that the client had out on this connection before it.
    pub pipelined_behind: usize,
    /// Its customer, if that has a quota.
    pub metered_customer: Option<u64>,
}

/// A command that came whole to a backend.
#[derive(Clone, Debug, Serialize)]
pub struct ArrivalRecord {
    /// The id of the request.
    pub id: String,
    /// The backend's number.
    pub backend: usize,
    /// When its last byte was read.
    pub at: Micros,
    /// The time that it was told to have, in microseconds.
    pub time_told: Micros,
    /// The backend rejected it, so that it never ran.
    pub rejected: bool,
    /// When its reply was written, or its connection ended.
    pub ended_at: Option<Micros>,
}

/// How a backend is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Listing {
    /// As up, with a start of long ago or of a moment ago.
    Up,
    /// As draining.
    Draining,
}

/// A change of the list.
#[derive(Clone, Debug, Serialize)]
pub struct ListChange {
    /// The version that it makes.
    pub version: u64,
    /// The backend's number.
    pub backend: usize,
    /// How it is listed from then on.
    pub listing: Listing,
    /// The backend has started anew.
    pub restarted: bool,
    /// When it was published.
    pub at: Micros,
}

/// A version of the list was written to an ingress.
#[derive(Clone, Debug, Serialize)]
pub struct Notification {
    /// The ingress's number.
    pub ingress: usize,
    /// The version.
    pub version: u64,
    /// When its last byte was written.
    pub at: Micros,
}

/// What happened to the process of an ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It answered its first PING.
    Ready,
    /// It was told to end.
    Terminated,
    /// It has ended by itself after that.
    Exited,
    /// It was killed, as the plan says.
    Killed,
    /// It was killed since it had not ended in time.
    Overdue,
    /// It ended though nobody told it to.
    Crashed,
    /// It was not ready in time.
    NotReady,
    /// It stood still from here on, for up to 0.15 s.
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

/// A client that stopped in the middle of a command, or sent none.
#[derive(Clone, Debug, Serialize)]
pub struct BadClientRecord {
    /// The ingress's number.
    pub ingress: usize,
    /// When its last byte was written.
    pub at: Micros,
    /// When it got an error or a close; none if it never did.
    pub told_at: Option<Micros>,
}

/// What an ingress that ran all the time has counted, by its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CounterRecord {
    /// The ingress's number.
    pub ingress: usize,
    /// Requests that were opened.
    pub requests: u64,
    /// Final answers.
    pub answers: u64,
    /// Of these, rejections and failures.
    pub not_served: u64,
    /// Attempts whose first byte was written.
    pub attempts_begun: u64,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Seen {
    /// By clients.
    pub requests: Vec<RequestRecord>,
    /// By backends.
    pub arrivals: Vec<ArrivalRecord>,
    /// Changes that discovery published.
    pub changes: Vec<ListChange>,
    /// What it told whom.
    pub notifications: Vec<Notification>,
    /// By the supervisor.
    pub processes: Vec<ProcessRecord>,
    /// By clients that misbehave.
    pub bad_clients: Vec<BadClientRecord>,
    /// Bytes that came to clients behind an answer: the ids of the requests before them.
    pub stray_bytes: Vec<String>,
    /// What the ingresses have counted themselves.
    pub counters: Vec<CounterRecord>,
    /// The longest time for which this machine let a thread of the soak wait for its turn: by so much its other threads
    /// may have been late to see something.
    pub longest_stall: Micros,
}

/// Collects what is seen, from all threads.
pub struct Recorder {
    /// When the run began.
    started: Instant,
    /// What was seen so far.
    seen: Mutex<Seen>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { started: Instant::now(), seen: Mutex::new(Seen::default()) }
    }
}

impl Recorder {
    /// The time since the run began.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// The time since the run began, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now() / 1000
    }

    /// What was seen so far.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
