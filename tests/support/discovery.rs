//! A stand-in for discovery, and the endpoint list as it sends that.

use super::wait::wait_until;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the endpoint list.
pub fn endpoint_json(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"hall-a","type":"std-3c","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// An endpoint list: a snapshot, or the entries that changed.
pub fn endpoint_list_json(index: u64, is_snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// The endpoint list, and how discovery answers polls.
#[derive(Default)]
struct DiscoveryState {
    published: Mutex<PublishedEndpoints>,
    /// Answers no poll.
    silent: AtomicBool,
    /// Closes all connections without an answer.
    down: AtomicBool,
    polls: AtomicUsize,
}

#[derive(Default)]
struct PublishedEndpoints {
    /// The entries in the order of their publication; each one's index is its place here plus 2.
    changes: Vec<String>,
    /// The index that the latest poll asked for changes since.
    polled_since: u64,
}

/// A call for the endpoint list.
struct Poll {
    /// Asks for the whole list, not for changes.
    is_snapshot: bool,
    since: u64,
    ends_at: Instant,
}

impl Poll {
    fn parse(head: &str) -> Poll {
        let number = |name: &str| {
            let rest = head.split(name).nth(1).unwrap_or("0");
            rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().unwrap()
        };
        let is_snapshot = head.starts_with("GET /v1/endpoints ");
        assert!(is_snapshot || head.starts_with("GET /v1/endpoints?since="), "{head}");
        let ends_at = Instant::now() + Duration::from_millis(number("timeout_ms="));
        Poll { is_snapshot, since: number("since="), ends_at }
    }
}

impl DiscoveryState {
    /// Answers polls until either side closes the connection.
    fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = self.read_head(&mut stream) {
            let poll = Poll::parse(&head);
            self.polls.fetch_add(1, Ordering::SeqCst);
            self.published.lock().unwrap().polled_since = poll.since;
            let Some(body) = self.wait_for_answer(&poll) else { return };
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The head of the next request; none where the connection ends, or discovery is down.
    fn read_head(&self, stream: &mut TcpStream) -> Option<String> {
        let mut head = Vec::new();
        let mut chunk = [0; 1024];
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut chunk) {
                Ok(length) if length > 0 && !self.down.load(Ordering::SeqCst) => {
                    head.extend_from_slice(&chunk[..length]);
                }
                _ => return None,
            }
        }
        Some(String::from_utf8(head).unwrap())
    }

    /// Waits until there is an answer to a poll, as in long polling; none once discovery is down.
    fn wait_for_answer(&self, poll: &Poll) -> Option<String> {
        while !self.down.load(Ordering::SeqCst) {
            let answer = self.answer(poll);
            if answer.is_some() {
                return answer;
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    fn answer(&self, poll: &Poll) -> Option<String> {
        let published = self.published.lock().unwrap();
        let latest = published.changes.len() as u64 + 1;
        if self.silent.load(Ordering::SeqCst) {
            None
        } else if poll.is_snapshot {
            Some(endpoint_list_json(latest, true, &published.changes))
        } else if latest > poll.since {
            Some(endpoint_list_json(latest, false, &published.changes[poll.since as usize - 1..]))
        } else if Instant::now() > poll.ends_at {
            Some(endpoint_list_json(poll.since, false, &[]))
        } else {
            None
        }
    }
}

/// A stand-in for discovery. It answers polls from a list that begins at index 1, unless it is silent or down.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    state: Arc<DiscoveryState>,
}

impl DiscoveryServer {
    /// Starts with an empty endpoint list.
    pub fn start() -> DiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(DiscoveryState::default());
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || state.serve(stream));
            }
        });
        DiscoveryServer { address, state }
    }

    /// How many polls came so far.
    pub fn poll_count(&self) -> usize {
        self.state.polls.load(Ordering::SeqCst)
    }

    /// Changes an entry, and waits until the ingress polls for what is newer.
    pub fn publish_and_wait(&self, entry: String) {
        let index = self.publish(entry);
        wait_until("the ingress polls for newer changes", || {
            self.state.published.lock().unwrap().polled_since == index
        });
    }

    /// Changes an entry and returns its index, whether or not the ingress polls.
    pub fn publish(&self, entry: String) -> u64 {
        let mut published = self.state.published.lock().unwrap();
        published.changes.push(entry);
        published.changes.len() as u64 + 1
    }

    /// From now on answers no poll, or answers again.
    pub fn set_silent(&self, enabled: bool) {
        self.state.silent.store(enabled, Ordering::SeqCst);
    }

    /// From now on closes all connections without an answer, or serves again.
    pub fn set_down(&self, enabled: bool) {
        self.state.down.store(enabled, Ordering::SeqCst);
    }
}
