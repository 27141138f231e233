//! Stand-ins for what real ingresses talk to, on loopback: a discovery by its published protocol, and backends that answer
//! after a set time.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The line of one backend in a list.
pub fn entry(n: u64, at: SocketAddr, status: &str) -> String {
    let zone = n % crate::simulation::ZONES;
    format!(
        r#"{{"name":"s-{n:08x}","address":"{at}","zone":"z{zone}","type":"m","group":{zone},"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// A list in discovery's form.
pub fn list(index: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, entries.join(","))
}

#[derive(Default)]
struct Told {
    /// Versions, the whole list at the first; each next one holds what changed. Kept as the bodies of answers.
    versions: Vec<(u64, String)>,
    /// When each `since` was first asked for, and when the whole list was; `None` stands for the whole list.
    asked: HashMap<Option<u64>, Vec<Instant>>,
}

/// A discovery that answers all calls from what it was told, and notes when which call came.
pub struct Discovery {
    /// Where it listens.
    pub at: SocketAddr,
    told: Arc<(Mutex<Told>, Condvar)>,
}

impl Discovery {
    /// Listens at a port of its own, with the version 1 of an empty list.
    pub fn start() -> anyhow::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (at, told) = (listener.local_addr()?, Arc::new((Mutex::new(Told::default()), Condvar::new())));
        let shared = told.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let told = shared.clone();
                thread::spawn(move || drop(Self::talk(stream, &told)));
            }
        });
        Ok(Discovery { at, told })
    }

    fn talk(mut stream: TcpStream, told: &(Mutex<Told>, Condvar)) -> std::io::Result<()> {
        let (mut head, mut chunk) = (Vec::new(), [0; 1024]);
        loop {
            while !head.ends_with(b"\r\n\r\n") {
                match stream.read(&mut chunk)? {
                    0 => return Ok(()),
                    n => head.extend_from_slice(&chunk[..n]),
                }
            }
            let text = String::from_utf8_lossy(&std::mem::take(&mut head)).into_owned();
            let number = |name: &str| -> Option<u64> {
                let rest = text.split(name).nth(1)?;
                rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
            };
            let (since, wait) = (number("since="), number("timeout_ms=").unwrap_or(0));
            let until = Instant::now() + Duration::from_millis(wait);
            let (lock, changed) = told;
            let mut now = lock.lock().expect("nobody panics with the lock");
            now.asked.entry(since).or_default().push(Instant::now());
            changed.notify_all();
            let body = loop {
                let newer = now.versions.iter().find(|v| since.is_none_or(|s| v.0 > s));
                if let Some((_, body)) = newer {
                    break body.clone();
                }
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break list(since.unwrap_or(1), since.is_none(), &[]);
                }
                now = changed.wait_timeout(now, left).expect("nobody panics with the lock").0;
            };
            drop(now);
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len())?;
            stream.write_all(body.as_bytes())?;
        }
    }

    /// Has a new version from now on.
    pub fn tell(&self, index: u64, body: String) {
        self.told.0.lock().expect("nobody panics with the lock").versions.push((index, body));
        self.told.1.notify_all();
    }

    /// When calls for what is newer than `since` came, or for the whole list.
    pub fn asked(&self, since: Option<u64>) -> Vec<Instant> {
        let told = self.told.0.lock().expect("nobody panics with the lock");
        told.asked.get(&since).cloned().unwrap_or_default()
    }

    /// Waits until `n` calls for what is newer than `since` have come; false if they did not in time.
    pub fn wait_for(&self, since: Option<u64>, n: usize, most: Duration) -> bool {
        let end = Instant::now() + most;
        let mut told = self.told.0.lock().expect("nobody panics with the lock");
        while told.asked.get(&since).map_or(0, Vec::len) < n {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            told = self.told.1.wait_timeout(told, left).expect("nobody panics with the lock").0;
        }
        true
    }
}

/// The words of a command, and how many bytes it takes; none if it is not whole.
fn command(buf: &[u8]) -> Option<(Vec<String>, usize)> {
    let line = |at: usize| {
        let end = buf[at..].windows(2).position(|w| w == b"\r\n")? + at;
        Some((std::str::from_utf8(&buf[at + 1..end]).ok()?.parse::<usize>().ok()?, end + 2))
    };
    let (count, mut at) = line(0)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (size, start) = line(at)?;
        words.push(String::from_utf8_lossy(buf.get(start..start + size)?).into_owned());
        at = start + size + 2;
    }
    (at <= buf.len()).then_some((words, at))
}

/// How long a backend takes for a request.
const TAKES: Duration = Duration::from_millis(20);

/// Starts a backend that answers each request with its id, after the same time each.
pub fn backend() -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || -> std::io::Result<()> {
                stream.set_nodelay(true)?;
                let (mut buf, mut chunk) = (Vec::new(), [0; 4096]);
                loop {
                    while let Some((words, taken)) = command(&buf) {
                        buf.drain(..taken);
                        thread::sleep(TAKES);
                        let id = words.get(2).map_or("", String::as_str);
                        let answer = format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len());
                        stream.write_all(answer.as_bytes())?;
                    }
                    match stream.read(&mut chunk)? {
                        0 => return Ok(()),
                        n => buf.extend_from_slice(&chunk[..n]),
                    }
                }
            });
        }
    });
    Ok(at)
}
