//! Discovery: an agent for each ingress, which has every change at once, and may be silent or broken.

use crate::context::RunContext;
use crate::record::{EndpointChange, EndpointStatus, Notification};
use crate::scenario::FaultScenario;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often a poll that waits looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// How many bytes of a response are written at once where it trickles, and the pause behind them.
const TRICKLE_PIECE: usize = 40;
/// See [`TRICKLE_PIECE`].
const TRICKLE_PAUSE: Duration = Duration::from_micros(300);

/// The entry of one backend, and the version that it came with.
#[derive(Clone)]
struct Entry {
    /// Where the backend is.
    address: SocketAddr,
    /// How it is listed.
    status: EndpointStatus,
    /// When it last started, in Unix time; 0 for long ago.
    since_ms: i64,
    /// The version that its latest change made.
    version: u64,
}

/// Discovery, as all agents have it.
pub struct Discovery {
    /// The entries of all backends.
    entries: Mutex<Vec<Entry>>,
    /// The run that it belongs to.
    context: Arc<RunContext>,
    /// How many responses were to be cut.
    cut_count: AtomicU64,
}

/// A poll.
struct Poll {
    /// The version held; none asks for the whole list.
    since: Option<u64>,
    /// When it is answered though nothing has changed.
    ends_at: Instant,
}

impl Poll {
    /// Reads the head of a request.
    fn parse(head: &str) -> Poll {
        let number = |name: &str| {
            let rest = head.split(name).nth(1)?;
            rest.split(|letter: char| !letter.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let timeout = Duration::from_millis(number("timeout_ms=").unwrap_or(0));
        Poll { since: number("since="), ends_at: Instant::now() + timeout }
    }
}

impl Discovery {
    /// Discovery with these backends, all up for long.
    pub fn new(addresses: &[SocketAddr], context: Arc<RunContext>) -> Discovery {
        let entry = |address: &SocketAddr| Entry {
            address: *address,
            status: EndpointStatus::Up,
            since_ms: 0,
            version: 1,
        };
        let entries = Mutex::new(addresses.iter().map(entry).collect());
        Discovery { entries, context, cut_count: AtomicU64::new(0) }
    }

    /// Starts an agent for an ingress, and returns its address.
    pub fn start_agent(self: &Arc<Self>, ingress: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                thread::spawn(move || discovery.serve(ingress, stream));
            }
        });
        Ok(address)
    }

    /// Publishes how a backend is listed from now on; one that has started anew is listed with the time by the clocks of
    /// the plan.
    pub fn publish(&self, backend: usize, status: EndpointStatus, restarted: bool) {
        let mut entries = self.entries();
        let version = entries.iter().map(|entry| entry.version).max().unwrap_or(1) + 1;
        let at = self.context.recorder.now();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64;
        let entry = &mut entries[backend];
        (entry.status, entry.version) = (status, version);
        if restarted {
            entry.since_ms = unix_time + self.context.plan.clock_offset_ms(at / 1000);
        }
        let change = EndpointChange { version, backend, status, restarted, at };
        self.context.recorder.observations().changes.push(change);
    }

    /// A snapshot of the list, as JSON.
    pub fn snapshot_json(&self) -> String {
        self.answer(None).map(|(_, json)| json).unwrap_or_default()
    }

    /// The entries, for whoever holds them.
    fn entries(&self) -> std::sync::MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is newer than a version, with the version of the list; none if nothing is.
    fn answer(&self, since: Option<u64>) -> Option<(u64, String)> {
        let entries = self.entries();
        let latest = entries.iter().map(|entry| entry.version).max().unwrap_or(1);
        if since.is_some_and(|since| latest <= since) {
            return None;
        }
        let newer = entries.iter().enumerate().filter(|(_, entry)| entry.version > since.unwrap_or(0));
        let texts: Vec<String> = newer.map(|(number, entry)| entry_json(number, entry)).collect();
        let snapshot = since.is_none();
        Some((
            latest,
            format!(r#"{{"index":{latest},"snapshot":{snapshot},"endpoints":[{}]}}"#, texts.join(",")),
        ))
    }

    /// Whether a scenario of discovery is active now.
    fn is_active(&self, kind: FaultScenario) -> bool {
        self.context.is_active(kind)
    }

    /// Answers polls until the connection ends.
    fn serve(&self, ingress: usize, mut stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        while let Some(head) = self.read_head(&mut stream) {
            let poll = Poll::parse(&head);
            let Some((version, body)) = self.wait_for_answer(&poll) else { return };
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if self.write(&mut stream, response.as_bytes(), version).is_err() {
                return;
            }
            let at = self.context.recorder.now();
            self.context.recorder.observations().notifications.push(Notification { ingress, version, at });
        }
    }

    /// Writes a response, or a part of it before the connection is closed.
    fn write(&self, stream: &mut TcpStream, response: &[u8], version: u64) -> std::io::Result<()> {
        if !self.is_active(FaultScenario::TruncatingDiscovery) {
            return stream.write_all(response);
        }
        let is_cut = self.cut_count.fetch_add(1, Ordering::SeqCst) % 2 == 0;
        let length = if is_cut { response.len() / 2 } else { response.len() };
        for piece in response[..length].chunks(TRICKLE_PIECE) {
            stream.write_all(piece)?;
            thread::sleep(TRICKLE_PAUSE);
        }
        if is_cut {
            tracing::debug!(version, "a response is cut");
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// The head of the next request; none where the connection ends.
    fn read_head(&self, stream: &mut TcpStream) -> Option<String> {
        let (mut head, mut chunk) = (Vec::new(), [0; 1024]);
        while !head.ends_with(b"\r\n\r\n") {
            if self.context.has_run_ended() || self.is_active(FaultScenario::UnavailableDiscovery) {
                return None;
            }
            match stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(length) => head.extend_from_slice(&chunk[..length]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
        Some(String::from_utf8_lossy(&head).into_owned())
    }

    /// Waits until a poll has an answer; none once discovery is broken or the run over.
    fn wait_for_answer(&self, poll: &Poll) -> Option<(u64, String)> {
        loop {
            if self.context.has_run_ended() || self.is_active(FaultScenario::UnavailableDiscovery) {
                return None;
            }
            if !self.is_active(FaultScenario::UnresponsiveDiscovery) {
                if let Some(answer) = self.answer(poll.since) {
                    return Some(answer);
                }
                if Instant::now() >= poll.ends_at {
                    let version = poll.since.unwrap_or(0);
                    return Some((
                        version,
                        format!(r#"{{"index":{version},"snapshot":false,"endpoints":[]}}"#),
                    ));
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// An entry, as JSON.
fn entry_json(number: usize, entry: &Entry) -> String {
    let status = match entry.status {
        EndpointStatus::Up => "up",
        EndpointStatus::Draining => "draining",
    };
    format!(
        r#"{{"name":"s-{number}","address":"{}","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":{}}}"#,
        entry.address, entry.since_ms
    )
}
