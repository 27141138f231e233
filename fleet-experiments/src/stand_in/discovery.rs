//! A stand-in discovery by its published protocol: long polls over HTTP, answered from the versions that it
//! was given.

use crate::simulation::ZONES;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// What ends the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The status of an endpoint.
#[derive(Clone, Copy, Debug)]
pub enum EndpointStatus {
    /// It takes requests.
    Up,
    /// It takes no more of them.
    Draining,
}

impl EndpointStatus {
    /// Its name in a list.
    fn name(self) -> &'static str {
        match self {
            EndpointStatus::Up => "up",
            EndpointStatus::Draining => "draining",
        }
    }
}

/// What a list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// All endpoints.
    Snapshot,
    /// Those that changed since the version before.
    Delta,
}

/// The JSON of one endpoint in a list.
pub fn endpoint_json(number: u64, address: SocketAddr, status: EndpointStatus) -> String {
    let (zone, status) = (number % ZONES, status.name());
    format!(
        r#"{{"name":"s-{number:08x}","address":"{address}","zone":"z{zone}","type":"m","group":{zone},"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// The JSON of a list in its version.
pub fn list_json(version: u64, kind: ListKind, endpoints: &[String]) -> String {
    let is_snapshot = kind == ListKind::Snapshot;
    format!(r#"{{"index":{version},"snapshot":{is_snapshot},"endpoints":[{}]}}"#, endpoints.join(","))
}

/// A version of the list: the snapshot for the first, what changed for each next one.
struct Version {
    /// Its number; later versions have larger ones.
    number: u64,
    /// The body of the answer that has it.
    body: String,
}

/// What a discovery has, and what it was asked for.
#[derive(Default)]
struct State {
    /// All versions, the oldest first.
    versions: Vec<Version>,
    /// When polls came, by the version that they had; `None` stands for polls of the snapshot.
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

    /// Notes a poll, and waits for its answer.
    fn answer(&self, poll: Poll) -> String {
        let end = Instant::now() + poll.timeout;
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
                None => return poll.unchanged(),
            }
        }
    }
}

/// A poll for what is newer than a version.
struct Poll {
    /// The version; none to get the snapshot.
    since: Option<u64>,
    /// How long the poll may wait for something newer.
    timeout: Duration,
}

impl Poll {
    /// Reads the head of a request.
    fn parse(head: &str) -> Poll {
        let number = |name: &str| -> Option<u64> {
            let value = head.split(name).nth(1)?;
            value.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
        };
        let timeout = Duration::from_millis(number("timeout_ms=").unwrap_or(0));
        Poll { since: number("since="), timeout }
    }

    /// The answer that nothing is newer; an empty snapshot if there is none yet.
    fn unchanged(&self) -> String {
        let kind = if self.since.is_none() { ListKind::Snapshot } else { ListKind::Delta };
        list_json(self.since.unwrap_or(1), kind, &[])
    }
}

/// A discovery that answers all polls from what was published, and notes when which poll came.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// What its connections share.
    shared: Arc<SharedState>,
}

impl Discovery {
    /// Listens at a port of its own, with the version 1 of an empty list.
    pub fn start() -> anyhow::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, shared) = (listener.local_addr()?, Arc::new(SharedState::default()));
        let state = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Ok(Discovery { address, shared })
    }

    /// Adds a version of the list; its body is from [`list_json`].
    pub fn publish(&self, version: u64, body: String) {
        self.shared.lock().versions.push(Version { number: version, body });
        self.shared.changed.notify_all();
    }

    /// When polls for what is newer than `since` came, or for the snapshot.
    pub fn polls(&self, since: Option<u64>) -> Vec<Instant> {
        self.shared.lock().polls.get(&since).cloned().unwrap_or_default()
    }

    /// Waits until `count` polls for what is newer than `since` have come; false if they did not in time.
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

/// Answers the polls of a connection until its end.
fn serve(mut stream: TcpStream, state: &SharedState) -> std::io::Result<()> {
    while let Some(head) = read_head(&mut stream)? {
        let body = state.answer(Poll::parse(&head));
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len())?;
        stream.write_all(body.as_bytes())?;
    }
    Ok(())
}

/// The head of the next request; none at the end of the connection.
fn read_head(stream: &mut TcpStream) -> std::io::Result<Option<String>> {
    let (mut head, mut chunk) = (Vec::new(), [0; 1024]);
    while !head.ends_with(HEAD_END) {
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            size => head.extend_from_slice(&chunk[..size]),
        }
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}
