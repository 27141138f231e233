//! Discovery with agents for each ingress. Agents publish every change at once; faults make them unresponsive
//! or unavailable, or make them truncate responses.

use crate::context::RunContext;
use crate::record::{to_millis, EndpointChange, EndpointStatus, Notification};
use crate::scenario::FaultScenario;
use stand_ins::endpoint::{list_json, EndpointEntry, ListKind};
use stand_ins::http::{read_head, response, Poll};
use stand_ins::server::{listen, serve};
use std::io::{Error, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which a waiting poll checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Interval at which an idle connection checks whether it should close.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of bytes of a trickled response that are written at a time.
const TRICKLE_SIZE: usize = 40;
/// Pause between two pieces of a trickled response.
const TRICKLE_PAUSE: Duration = Duration::from_micros(300);
/// Version of the list at the start of a run.
const FIRST_VERSION: u64 = 1;
/// Ratio of all responses to truncated responses while the fault is active.
const TRUNCATION_INTERVAL: u64 = 2;

/// A backend in the endpoint list.
struct ListedBackend {
    address: SocketAddr,
    status: EndpointStatus,
    /// Time of the last start in milliseconds of Unix time; 0 if the backend started long ago.
    started_at_ms: i64,
    /// Version of the list after the backend's latest change.
    version: u64,
}

impl ListedBackend {
    /// Returns the entry of the backend in the endpoint list as JSON.
    fn to_json(&self, number: usize) -> String {
        let name = format!("s-{number}");
        let ListedBackend { address, status, started_at_ms, .. } = *self;
        let entry = EndpointEntry {
            name: &name,
            address,
            zone: "a",
            machine_type: "m",
            cell: 0,
            status,
            started_at_ms,
        };
        entry.to_json()
    }
}

/// The answer to a poll of the endpoint list.
struct Answer {
    /// Version of the list.
    version: u64,
    /// The endpoint list as JSON.
    body: String,
}

impl Answer {
    /// Returns an answer without changes.
    fn unchanged(poll: &Poll) -> Answer {
        let version = poll.since.unwrap_or(0);
        Answer { version, body: list_json(version, ListKind::Delta, &[]) }
    }
}

/// The state of discovery, shared by all agents.
pub struct Discovery {
    /// Backends, indexed by number.
    backends: Mutex<Vec<ListedBackend>>,
    context: Arc<RunContext>,
    /// Number of responses sent while the truncation fault was active.
    truncation_count: AtomicU64,
}

impl Discovery {
    /// Creates discovery with backends at these addresses, all of which started long ago.
    pub fn new(addresses: &[SocketAddr], context: Arc<RunContext>) -> Discovery {
        let listed = |address: &SocketAddr| ListedBackend {
            address: *address,
            status: EndpointStatus::Up,
            started_at_ms: 0,
            version: FIRST_VERSION,
        };
        let backends = Mutex::new(addresses.iter().map(listed).collect());
        Discovery { backends, context, truncation_count: AtomicU64::new(0) }
    }

    /// Starts an agent for an ingress and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start_agent(self: &Arc<Self>, ingress: usize) -> std::io::Result<SocketAddr> {
        let discovery = self.clone();
        serve(listen()?, move |stream| {
            let discovery = discovery.clone();
            move || discovery.serve(ingress, stream)
        })
    }

    /// Publishes the status of a backend. The start time of a restarted backend is the time of the wall clock
    /// including the steps of the plan.
    pub fn publish(&self, backend: usize, status: EndpointStatus, restarted: bool) {
        let mut backends = self.backends();
        let version = latest_version(&backends) + 1;
        let at = self.context.recorder.now();
        let listed = &mut backends[backend];
        listed.status = status;
        listed.version = version;
        if restarted {
            listed.started_at_ms = unix_time_ms() + self.context.plan.clock_offset_ms(to_millis(at));
        }
        let change = EndpointChange { version, backend, status, restarted, at };
        self.context.recorder.observations().changes.push(change);
    }

    /// Returns a snapshot of the endpoint list as JSON.
    pub fn snapshot_json(&self) -> String {
        self.newer_than(None).map(|answer| answer.body).unwrap_or_default()
    }

    /// Locks the backends, even if another thread panicked while it held the lock.
    fn backends(&self) -> MutexGuard<'_, Vec<ListedBackend>> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the changes since a version, or a snapshot without one; `None` if there are no changes.
    fn newer_than(&self, since: Option<u64>) -> Option<Answer> {
        let backends = self.backends();
        let version = latest_version(&backends);
        if since.is_some_and(|since| version <= since) {
            return None;
        }
        let newer = backends.iter().enumerate().filter(|(_, backend)| backend.version > since.unwrap_or(0));
        let entries: Vec<String> = newer.map(|(number, backend)| backend.to_json(number)).collect();
        let kind = if since.is_none() { ListKind::Snapshot } else { ListKind::Delta };
        Some(Answer { version, body: list_json(version, kind, &entries) })
    }

    /// Returns whether connections are kept open: the run has not ended, and no fault makes discovery
    /// unavailable.
    fn is_available(&self) -> bool {
        !self.context.has_run_ended() && !self.context.is_active(FaultScenario::UnavailableDiscovery)
    }

    /// Answers the polls of an ingress until the connection ends.
    fn serve(&self, ingress: usize, mut stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(IDLE_POLL_INTERVAL));
        while let Some(poll) = self.read_poll(&mut stream) {
            let Some(Answer { version, body }) = self.wait_for_answer(&poll) else { return };
            if self.write(&mut stream, response(&body).as_bytes(), version).is_err() {
                return;
            }
            let at = self.context.recorder.now();
            self.context.recorder.observations().notifications.push(Notification { ingress, version, at });
        }
    }

    /// Reads the next poll. Returns `None` if the connection ends or should close.
    fn read_poll(&self, stream: &mut TcpStream) -> Option<Poll> {
        if !self.is_available() {
            return None;
        }
        let head = read_head(stream, || self.is_available())?;
        Poll::parse(&head).ok()
    }

    /// Waits for the answer to a poll. Returns `None` if the connection should close.
    fn wait_for_answer(&self, poll: &Poll) -> Option<Answer> {
        let deadline = poll.deadline();
        while self.is_available() {
            if !self.context.is_active(FaultScenario::UnresponsiveDiscovery) {
                if let Some(answer) = self.newer_than(poll.since) {
                    return Some(answer);
                }
                if Instant::now() >= deadline {
                    return Some(Answer::unchanged(poll));
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Writes a response. While the truncation fault is active, writes it in pieces, and returns an error
    /// after half of every other response.
    fn write(&self, stream: &mut TcpStream, response: &[u8], version: u64) -> std::io::Result<()> {
        if !self.context.is_active(FaultScenario::TruncatingDiscovery) {
            return stream.write_all(response);
        }
        let count = self.truncation_count.fetch_add(1, Ordering::SeqCst);
        if count % TRUNCATION_INTERVAL != 0 {
            return trickle(stream, response);
        }
        trickle(stream, &response[..response.len() / 2])?;
        tracing::debug!(version, "discovery response truncated");
        Err(Error::from(ErrorKind::ConnectionAborted))
    }
}

/// Writes bytes in pieces of [`TRICKLE_SIZE`] bytes.
fn trickle(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for piece in bytes.chunks(TRICKLE_SIZE) {
        stream.write_all(piece)?;
        thread::sleep(TRICKLE_PAUSE);
    }
    Ok(())
}

/// Returns the current version of the list.
fn latest_version(backends: &[ListedBackend]) -> u64 {
    backends.iter().map(|backend| backend.version).max().unwrap_or(FIRST_VERSION)
}

/// Returns this machine's wall clock time, in milliseconds of Unix time.
fn unix_time_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}
