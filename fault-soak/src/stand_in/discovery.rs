//! Discovery: an agent for each ingress, which has every change at once, and may be unresponsive, unavailable
//! or truncate its responses.

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

/// How often a poll that waits looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// How often a connection without a poll looks whether it is to be closed.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How many bytes of a response are written at once where it trickles.
const TRICKLE_SIZE: usize = 40;
/// The pause between two pieces of a response that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_micros(300);
/// The version of the list that a run begins with.
const FIRST_VERSION: u64 = 1;
/// One in so many responses is truncated where discovery does that.
const TRUNCATION_INTERVAL: u64 = 2;

/// A backend as it is listed.
struct ListedBackend {
    /// Where it listens.
    address: SocketAddr,
    /// Its status.
    status: EndpointStatus,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    started_at_ms: i64,
    /// The version that its latest change made.
    version: u64,
}

impl ListedBackend {
    /// Its entry in the endpoint list, as JSON.
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

/// The answer to a poll.
struct Answer {
    /// The version of the list that it brings.
    version: u64,
    /// The list, as JSON.
    body: String,
}

impl Answer {
    /// The answer to a poll that nothing is newer for.
    fn unchanged(poll: &Poll) -> Answer {
        let version = poll.since.unwrap_or(0);
        Answer { version, body: list_json(version, ListKind::Delta, &[]) }
    }
}

/// Discovery, as all agents have it.
pub struct Discovery {
    /// The backends by their numbers.
    backends: Mutex<Vec<ListedBackend>>,
    /// The run that it belongs to.
    context: Arc<RunContext>,
    /// How many responses were sent while it truncated them.
    truncation_count: AtomicU64,
}

impl Discovery {
    /// Discovery with these backends, all of which have been up for long.
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

    /// Starts an agent for an ingress, and returns its address.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start_agent(self: &Arc<Self>, ingress: usize) -> std::io::Result<SocketAddr> {
        let discovery = self.clone();
        serve(listen()?, move |stream| {
            let discovery = discovery.clone();
            move || discovery.serve(ingress, stream)
        })
    }

    /// Publishes the status of a backend. One that was restarted is listed with the time by the clocks of the
    /// plan.
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

    /// A snapshot of the list, as JSON.
    pub fn snapshot_json(&self) -> String {
        self.newer_than(None).map(|answer| answer.body).unwrap_or_default()
    }

    /// The backends, for one thread at a time.
    fn backends(&self) -> MutexGuard<'_, Vec<ListedBackend>> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The changes since a version, or a snapshot; none if nothing is newer.
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

    /// Whether connections are kept open: the run goes on, and discovery is available.
    fn is_available(&self) -> bool {
        !self.context.has_run_ended() && !self.context.is_active(FaultScenario::UnavailableDiscovery)
    }

    /// Answers polls until the connection ends.
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

    /// The next poll; none where the connection ends, or is to be closed.
    fn read_poll(&self, stream: &mut TcpStream) -> Option<Poll> {
        if !self.is_available() {
            return None;
        }
        let head = read_head(stream, || self.is_available())?;
        Poll::parse(&head).ok()
    }

    /// Waits until a poll has an answer; none where the connection is to be closed.
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

    /// Writes a response, or a part of it before the connection is closed.
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

/// Writes bytes a few at a time.
fn trickle(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for piece in bytes.chunks(TRICKLE_SIZE) {
        stream.write_all(piece)?;
        thread::sleep(TRICKLE_PAUSE);
    }
    Ok(())
}

/// The version of the list.
fn latest_version(backends: &[ListedBackend]) -> u64 {
    backends.iter().map(|backend| backend.version).max().unwrap_or(FIRST_VERSION)
}

/// The time of this machine's wall clock, in milliseconds of Unix time.
fn unix_time_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}
