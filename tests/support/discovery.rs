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

#[derive(Default)]
struct PublishedEndpoints {
    /// The entries in the order of their publication; each one's index is its place here plus 2.
    changes: Vec<String>,
    /// The index that the latest poll asked for changes since.
    polled_since: u64,
}

/// A stand-in for discovery. It answers polls from a list that begins at index 1, unless it is silent or down.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    published: Arc<Mutex<PublishedEndpoints>>,
    silent: Arc<AtomicBool>,
    /// Closes all connections without an answer.
    down: Arc<AtomicBool>,
    pub polls: Arc<AtomicUsize>,
}

impl DiscoveryServer {
    pub fn start() -> DiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = DiscoveryServer {
            address: listener.local_addr().unwrap(),
            published: Arc::default(),
            silent: Arc::default(),
            down: Arc::default(),
            polls: Arc::default(),
        };
        let (published, silent, down, polls) =
            (server.published.clone(), server.silent.clone(), server.down.clone(), server.polls.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (published, silent, down, polls) =
                    (published.clone(), silent.clone(), down.clone(), polls.clone());
                thread::spawn(move || Self::talk(stream, &published, &silent, &down, &polls));
            }
        });
        server
    }

    fn talk(
        mut stream: TcpStream,
        published: &Mutex<PublishedEndpoints>,
        silent: &AtomicBool,
        down: &AtomicBool,
        polls: &AtomicUsize,
    ) {
        let mut head = Vec::new();
        loop {
            let mut chunk = [0; 1024];
            while !head.ends_with(b"\r\n\r\n") {
                match stream.read(&mut chunk) {
                    Ok(n) if n > 0 && !down.load(Ordering::SeqCst) => head.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
            }
            let text = String::from_utf8(std::mem::take(&mut head)).unwrap();
            let number = |name: &str| {
                let rest = text.split(name).nth(1).unwrap_or("0");
                rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().unwrap()
            };
            let is_snapshot = text.starts_with("GET /v1/endpoints ");
            assert!(is_snapshot || text.starts_with("GET /v1/endpoints?since="), "{text}");
            let (since, end) =
                (number("since="), Instant::now() + Duration::from_millis(number("timeout_ms=")));
            polls.fetch_add(1, Ordering::SeqCst);
            published.lock().unwrap().polled_since = since;
            let body = loop {
                if down.load(Ordering::SeqCst) {
                    return;
                }
                let published = published.lock().unwrap();
                let latest = published.changes.len() as u64 + 1;
                if !silent.load(Ordering::SeqCst) {
                    if is_snapshot {
                        break endpoint_list_json(latest, true, &published.changes);
                    } else if latest > since {
                        break endpoint_list_json(latest, false, &published.changes[since as usize - 1..]);
                    } else if Instant::now() > end {
                        break endpoint_list_json(since, false, &[]);
                    }
                }
                drop(published);
                thread::sleep(Duration::from_millis(5));
            };
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Changes an entry, and waits until the ingress polls for what is newer.
    pub fn publish_and_wait(&self, entry: String) {
        let index = self.publish(entry);
        wait_until("the ingress polls for newer changes", || {
            self.published.lock().unwrap().polled_since == index
        });
    }

    /// Changes an entry and returns its index, whether or not the ingress polls.
    pub fn publish(&self, entry: String) -> u64 {
        let mut published = self.published.lock().unwrap();
        published.changes.push(entry);
        published.changes.len() as u64 + 1
    }

    pub fn set_silent(&self, enabled: bool) {
        self.silent.store(enabled, Ordering::SeqCst);
    }

    pub fn set_down(&self, enabled: bool) {
        self.down.store(enabled, Ordering::SeqCst);
    }
}
