//! Discovery that answers long polls from the versions that it was given, and records when which poll came.

pub use stand_ins::endpoint::{list_json, EndpointStatus, ListKind};

use crate::simulation::ZONES;
use stand_ins::endpoint::EndpointEntry;
use stand_ins::http::{read_head, response_head, Poll};
use stand_ins::server::{listen, serve};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The JSON of one endpoint in a list, in the zone that its number gives.
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

/// A version of the list: the snapshot for the first, what changed for each next one.
struct Version {
    /// Its number; later versions have larger ones.
    number: u64,
    /// The body of the answer that has it.
    body: String,
}

/// The versions that discovery has, and the polls that it got.
#[derive(Default)]
struct State {
    /// All versions, the oldest first.
    versions: Vec<Version>,
    /// When polls arrived, by the version that they had; `None` stands for polls of the snapshot.
    polls: HashMap<Option<u64>, Vec<Instant>>,
}

/// The state that a discovery's connections share.
#[derive(Default)]
struct SharedState {
    /// The state itself.
    state: Mutex<State>,
    /// A version or a poll was added.
    changed: Condvar,
}

impl SharedState {
    /// The state, for one thread at a time.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Waits for a change, at most until `end`; none if the time is over.
    fn wait_for_change<'a>(
        &self,
        state: MutexGuard<'a, State>,
        end: Instant,
    ) -> Option<MutexGuard<'a, State>> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        Some(self.changed.wait_timeout(state, left).expect("no thread panics with the lock").0)
    }

    /// Records a poll, and waits for its answer.
    fn answer(&self, poll: Poll) -> String {
        let end = poll.deadline();
        let mut state = self.lock();
        state.polls.entry(poll.since).or_default().push(Instant::now());
        self.changed.notify_all();
        loop {
            let newer = |version: &&Version| poll.since.is_none_or(|since| version.number > since);
            if let Some(version) = state.versions.iter().find(newer) {
                return version.body.clone();
            }
            match self.wait_for_change(state, end) {
                Some(changed) => state = changed,
                None => return unchanged_list(poll),
            }
        }
    }
}

/// The answer to a poll that nothing is newer for; an empty snapshot if there is none yet.
fn unchanged_list(poll: Poll) -> String {
    let kind = if poll.since.is_none() { ListKind::Snapshot } else { ListKind::Delta };
    list_json(poll.since.unwrap_or(1), kind, &[])
}

/// Discovery that answers all polls from what was published, and records when which poll came.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// What its connections share.
    shared: Arc<SharedState>,
}

impl Discovery {
    /// Listens at a port of its own, with the version 1 of an empty list.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start() -> anyhow::Result<Discovery> {
        let shared = Arc::new(SharedState::default());
        let state = shared.clone();
        let address = serve(listen()?, move |stream| {
            let state = state.clone();
            move || _ = answer_polls(stream, &state)
        })?;
        Ok(Discovery { address, shared })
    }

    /// Adds a version of the list; its body is from [`list_json`].
    pub fn publish(&self, version: u64, body: String) {
        self.shared.lock().versions.push(Version { number: version, body });
        self.shared.changed.notify_all();
    }

    /// When polls for what is newer than `since` arrived, or polls for the snapshot.
    pub fn polls(&self, since: Option<u64>) -> Vec<Instant> {
        self.shared.lock().polls.get(&since).cloned().unwrap_or_default()
    }

    /// Waits until `count` polls for what is newer than `since` have arrived; false if they did not in time.
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

/// Answers the polls of a connection until its end. A body is not copied for its response: it may have many
/// megabytes.
fn answer_polls(mut stream: TcpStream, state: &SharedState) -> std::io::Result<()> {
    while let Some(head) = read_head(&mut stream, || true) {
        let Ok(poll) = Poll::parse(&head) else { break };
        let body = state.answer(poll);
        stream.write_all(response_head(body.len()).as_bytes())?;
        stream.write_all(body.as_bytes())?;
    }
    Ok(())
}
