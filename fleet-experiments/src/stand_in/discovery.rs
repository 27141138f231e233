//! Discovery service that answers long polls with published versions of the endpoint list, and records the
//! arrival times of polls. It may be crowded and let each poll wait in a queue first.

pub use stand_ins::endpoint::{list_json, EndpointStatus, ListKind};

use crate::simulation::ZONES;
use stand_ins::endpoint::EndpointEntry;
use stand_ins::http::{read_head, response_head, Poll};
use stand_ins::server::{is_timeout, listen, serve};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Returns the JSON of an entry of the endpoint list, in the zone derived from its number.
pub fn endpoint_json(number: u64, address: SocketAddr, status: EndpointStatus) -> String {
    let cell = number % ZONES;
    let name = format!("s-{number:08x}");
    let zone = format!("z{cell}");
    let entry = EndpointEntry {
        name: &name,
        address,
        zone: &zone,
        machine_type: "m",
        cell,
        status,
        started_at_ms: 0,
    };
    entry.to_json()
}

/// Version of the endpoint list: a snapshot if it is the first one, otherwise the changes since the previous
/// one.
struct Version {
    /// Version number, which increases with each version.
    number: u64,
    /// Response body.
    body: String,
}

/// Published versions and received polls.
#[derive(Default)]
struct State {
    /// Published versions, oldest first.
    versions: Vec<Version>,
    /// Arrival times of polls by the version stated in them; `None` for polls of the snapshot.
    polls: HashMap<Option<u64>, Vec<Instant>>,
    /// Versions in the answers that were sent on open connections, with the times of the answers.
    answers: Vec<(Instant, u64)>,
    /// Number of polls whose connections the ingress had closed before they were answered.
    given_up: usize,
}

/// State that all connections to the service share.
#[derive(Default)]
struct SharedState {
    state: Mutex<State>,
    /// Signals a new version or poll.
    changed: Condvar,
    /// Time that each poll waits before it is looked at.
    queue_time: Duration,
}

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Waits for a version or poll until `end`; returns `None` if `end` has passed.
    fn wait_for_change<'a>(
        &self,
        state: MutexGuard<'a, State>,
        end: Instant,
    ) -> Option<MutexGuard<'a, State>> {
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return None;
        }
        Some(self.changed.wait_timeout(state, remaining).expect("no thread panics while it holds the lock").0)
    }

    /// Records a poll, waits for a newer version, and returns the version and the response body.
    fn answer(&self, poll: Poll) -> (u64, String) {
        self.lock().polls.entry(poll.since).or_default().push(Instant::now());
        self.changed.notify_all();
        thread::sleep(self.queue_time);
        let end = poll.deadline();
        let mut state = self.lock();
        loop {
            let newer = |version: &&Version| poll.since.is_none_or(|since| version.number > since);
            if let Some(version) = state.versions.iter().find(newer) {
                return (version.number, version.body.clone());
            }
            match self.wait_for_change(state, end) {
                Some(changed) => state = changed,
                None => return (poll.since.unwrap_or(1), unchanged_list(poll)),
            }
        }
    }

    /// Records an answer that is about to be sent on a connection.
    fn record_answer(&self, version: u64, stream: &TcpStream) {
        let mut state = self.lock();
        if is_closed(stream) {
            state.given_up += 1;
        } else {
            state.answers.push((Instant::now(), version));
        }
        self.changed.notify_all();
    }
}

/// Returns the response body for a poll that timed out: a list without entries, of the version stated in the
/// poll.
fn unchanged_list(poll: Poll) -> String {
    let kind = if poll.since.is_none() { ListKind::Snapshot } else { ListKind::Delta };
    list_json(poll.since.unwrap_or(1), kind, &[])
}

/// Returns whether the peer has closed a connection on which it has sent nothing else.
fn is_closed(stream: &TcpStream) -> bool {
    let is_ended = || {
        stream.set_nonblocking(true)?;
        let received = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        match received {
            Err(error) if is_timeout(&error) => Ok(false),
            received => received.map(|count| count == 0),
        }
    };
    is_ended().unwrap_or(true)
}

/// Handle of a running discovery service.
pub struct Discovery {
    /// Address that the service listens at.
    pub address: SocketAddr,
    shared: Arc<SharedState>,
}

impl Discovery {
    /// Starts a service at a free port. Polls of the snapshot get an empty list of version 1 until a version
    /// is published.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start() -> anyhow::Result<Discovery> {
        Discovery::start_crowded(Duration::ZERO)
    }

    /// As [`start`](Self::start), with a queue in which each poll waits for `queue_time`.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start_crowded(queue_time: Duration) -> anyhow::Result<Discovery> {
        let shared = Arc::new(SharedState { queue_time, ..SharedState::default() });
        let state = shared.clone();
        let address = serve(listen()?, move |stream| {
            let state = state.clone();
            move || _ = answer_polls(stream, &state)
        })?;
        Ok(Discovery { address, shared })
    }

    /// Publishes a version of the list, with a body encoded by [`list_json`].
    pub fn publish(&self, version: u64, body: String) {
        self.shared.lock().versions.push(Version { number: version, body });
        self.shared.changed.notify_all();
    }

    /// Returns the arrival times of polls for versions newer than `since`, or of polls of the snapshot if
    /// `since` is `None`.
    pub fn polls(&self, since: Option<u64>) -> Vec<Instant> {
        self.shared.lock().polls.get(&since).cloned().unwrap_or_default()
    }

    /// Returns the number of polls received so far.
    pub fn poll_count(&self) -> usize {
        self.shared.lock().polls.values().map(Vec::len).sum()
    }

    /// Returns the number of polls that were given up before they were answered.
    pub fn given_up_count(&self) -> usize {
        self.shared.lock().given_up
    }

    /// Returns when a version, or a later one, was first sent to an ingress that still waited for it.
    pub fn delivered_at(&self, version: u64) -> Option<Instant> {
        let state = self.shared.lock();
        state.answers.iter().find(|(_, answered)| *answered >= version).map(|(at, _)| *at)
    }

    /// Waits until a version, or a later one, is delivered, at most for `timeout`.
    pub fn wait_for_delivery(&self, version: u64, timeout: Duration) {
        let end = Instant::now() + timeout;
        let mut state = self.shared.lock();
        while !state.answers.iter().any(|(_, answered)| *answered >= version) {
            match self.shared.wait_for_change(state, end) {
                Some(changed) => state = changed,
                None => return,
            }
        }
    }

    /// Waits until `count` polls have arrived, selected by `since` as in [`polls`](Self::polls). Returns
    /// `false` after the timeout.
    pub fn wait_for_polls(&self, since: Option<u64>, count: usize, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        let mut state = self.shared.lock();
        while state.polls.get(&since).map_or(0, Vec::len) < count {
            match self.shared.wait_for_change(state, end) {
                Some(changed) => state = changed,
                None => return false,
            }
        }
        true
    }
}

/// Answers the polls of a connection until it is closed. Head and body are written separately to avoid
/// another copy of the body, which may have many megabytes.
fn answer_polls(mut stream: TcpStream, state: &SharedState) -> std::io::Result<()> {
    while let Some(head) = read_head(&mut stream, || true) {
        let Ok(poll) = Poll::parse(&head) else { break };
        let (version, body) = state.answer(poll);
        state.record_answer(version, &stream);
        stream.write_all(response_head(body.len()).as_bytes())?;
        stream.write_all(body.as_bytes())?;
    }
    Ok(())
}
