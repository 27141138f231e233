//! A stand-in for discovery, and the entries of its endpoint list.

use super::wait::wait_until;
use stand_ins::endpoint::{list_json, EndpointEntry, ListKind};
use stand_ins::http::{read_head, response, Poll};
use stand_ins::server::{listen, serve};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a waiting poll checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Version of the list before the first change.
const FIRST_VERSION: u64 = 1;

/// Returns an entry of the endpoint list as JSON. `status` is the name of a status.
///
/// # Panics
///
/// Panics if there is no status with this name.
pub fn endpoint_json(name: &str, address: SocketAddr, status: &str) -> String {
    let status = status.parse().unwrap();
    let entry = EndpointEntry {
        name,
        address,
        zone: "hall-a",
        machine_type: "std-3c",
        cell: 1,
        status,
        started_at_ms: 0,
    };
    entry.to_json()
}

/// State that the connections of discovery share.
#[derive(Default)]
struct DiscoveryState {
    published: Mutex<PublishedEndpoints>,
    /// Whether polls remain unanswered.
    unresponsive: AtomicBool,
    /// Whether all connections are closed without an answer.
    unavailable: AtomicBool,
    /// Number of polls received so far.
    polls: AtomicUsize,
}

/// The endpoint list and the version stated in the latest poll.
#[derive(Default)]
struct PublishedEndpoints {
    /// Entries in the order of their publication.
    changes: Vec<String>,
    /// Version stated in the latest poll; 0 for a poll of a snapshot.
    polled_since: u64,
}

impl PublishedEndpoints {
    /// Returns the version of the list after all changes.
    fn latest_version(&self) -> u64 {
        FIRST_VERSION + self.changes.len() as u64
    }

    /// Returns the entries that changed since a version.
    fn changes_since(&self, version: u64) -> &[String] {
        &self.changes[(version - FIRST_VERSION) as usize..]
    }
}

impl DiscoveryState {
    /// Answers polls until either side closes the connection.
    fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream, || !self.is_unavailable()) {
            let poll = Poll::parse(&head).unwrap();
            let received_at = Instant::now();
            self.polls.fetch_add(1, Ordering::SeqCst);
            self.published.lock().unwrap().polled_since = poll.since.unwrap_or(0);
            let Some(body) = self.wait_for_answer(&poll, received_at + poll.timeout) else { return };
            if stream.write_all(response(&body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns whether all connections are closed without an answer.
    fn is_unavailable(&self) -> bool {
        self.unavailable.load(Ordering::SeqCst)
    }

    /// Waits for the answer to a long poll. Returns `None` if discovery becomes unavailable.
    fn wait_for_answer(&self, poll: &Poll, deadline: Instant) -> Option<String> {
        while !self.is_unavailable() {
            let answer = self.answer(poll, deadline);
            if answer.is_some() {
                return answer;
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Returns the answer to a poll if one is due.
    fn answer(&self, poll: &Poll, deadline: Instant) -> Option<String> {
        let published = self.published.lock().unwrap();
        let latest = published.latest_version();
        if self.unresponsive.load(Ordering::SeqCst) {
            return None;
        }
        let Some(since) = poll.since else {
            return Some(list_json(latest, ListKind::Snapshot, &published.changes));
        };
        if latest > since {
            return Some(list_json(latest, ListKind::Delta, published.changes_since(since)));
        }
        (Instant::now() > deadline).then(|| list_json(since, ListKind::Delta, &[]))
    }
}

/// A stand-in for discovery that answers polls of an endpoint list, whose first version is 1, unless it is
/// set unresponsive or unavailable.
pub struct DiscoveryServer {
    /// Listening address.
    pub address: SocketAddr,
    state: Arc<DiscoveryState>,
}

impl DiscoveryServer {
    /// Starts discovery with an empty endpoint list.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start() -> DiscoveryServer {
        let state = Arc::new(DiscoveryState::default());
        let shared = state.clone();
        let accept = move |stream| {
            let state = shared.clone();
            move || state.serve(stream)
        };
        let address = serve(listen().unwrap(), accept).unwrap();
        DiscoveryServer { address, state }
    }

    /// Returns the number of polls received so far.
    pub fn poll_count(&self) -> usize {
        self.state.polls.load(Ordering::SeqCst)
    }

    /// Publishes an entry, and waits until the ingress polls for changes after it.
    ///
    /// # Panics
    ///
    /// Panics if the ingress does not poll within [`WAIT_LIMIT`](super::wait::WAIT_LIMIT), or a connection
    /// panicked while it answered a poll.
    pub fn publish_and_wait(&self, entry: String) {
        let version = self.publish(entry);
        wait_until("the ingress polls for newer changes", || {
            self.state.published.lock().unwrap().polled_since == version
        });
    }

    /// Publishes an entry and returns the new version of the list without waiting for a poll.
    ///
    /// # Panics
    ///
    /// Panics if a connection panicked while it answered a poll.
    pub fn publish(&self, entry: String) -> u64 {
        let mut published = self.state.published.lock().unwrap();
        published.changes.push(entry);
        published.latest_version()
    }

    /// Sets whether polls remain unanswered.
    pub fn set_unresponsive(&self, enabled: bool) {
        self.state.unresponsive.store(enabled, Ordering::SeqCst);
    }

    /// Sets whether all connections are closed without an answer.
    pub fn set_unavailable(&self, enabled: bool) {
        self.state.unavailable.store(enabled, Ordering::SeqCst);
    }
}
