//! Discovery: the list of backends, and the watch that keeps it fresh over HTTP/1.1. While discovery is silent or
//! broken the list stays as it was, and the watch is begun anew with growing pauses.

use ingress::backoff::{Backoff, FailedPoll, NextPoll, PollSchedule};
use ingress::{Availability, BackendId, Endpoint, Micros};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use serde::de::{self, DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use std::borrow::Cow;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// How a watch begins: its backoff, the most bytes of an answer's body, the seed of its jitter, and the time.
pub struct WatchOptions {
    pub backoff: Backoff,
    pub max_body_bytes: usize,
    pub seed: u64,
    pub now: Micros,
}

/// How much longer than its wait a call may stay unanswered. What it missed counts as told 2 s after the wait is over:
/// by then the watch has to be open again, and to have answered.
const PAST_WAIT: Micros = 750_000;
/// The pause after an answer with no news that came at once: a watch goes on if called within 200 ms.
const NO_NEWS: Micros = 50_000;
/// An answer that came faster than this did not wait.
const AT_ONCE: Micros = 20_000;
/// The most bytes of an answer's head.
const MOST_HEAD: usize = 16 * 1024;
/// The most bytes of an answer's body, as a part of the memory, and in any case: with the room that its buffer grows into
/// and with what is made from it a list takes several times as much.
const BODY_SHARE: usize = 8;
const LEAST_MOST_BODY: usize = 4 << 20;
/// From this size on a body in chunks is only put together once its end may have come, not at each read.
const LONG_BODY: usize = 64 * 1024;
/// The most headers of an answer.
const MOST_HEADERS: usize = 64;

/// The most bytes that a list may have at an ingress with so much memory.
pub fn max_body_bytes(memory: usize) -> usize {
    (memory / BODY_SHARE).max(LEAST_MOST_BODY)
}

/// The names that places and machines have in the settings.
pub struct LocationNames {
    pub zones: Vec<String>,
    pub machine_types: Vec<String>,
}

/// A line of the list, with the address that the backend has for this ingress.
pub struct EndpointEntry {
    pub endpoint: Endpoint,
    pub address: Option<SocketAddr>,
}

/// A list as discovery tells it.
pub struct EndpointList {
    pub index: u64,
    /// The whole list, not only what changed.
    pub is_snapshot: bool,
    pub entries: Vec<EndpointEntry>,
}

/// A backend's name as an id that is the same at every ingress: peers speak of backends by it (FNV-1a).
fn backend_id(name: &str) -> BackendId {
    BackendId(
        name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)),
    )
}

impl EndpointList {
    /// Reads a list in discovery's form.
    pub fn from_json(json: &Value, location_names: &LocationNames) -> Result<EndpointList, String> {
        let index = json.get("index").and_then(Value::as_u64).ok_or("index is missing or no whole number")?;
        let is_snapshot =
            json.get("snapshot").and_then(Value::as_bool).ok_or("snapshot is missing or no flag")?;
        let list =
            json.get("endpoints").and_then(Value::as_array).ok_or("endpoints is missing or no list")?;
        let entries =
            list.iter().map(|e| EndpointEntry::from_json(e, location_names)).collect::<Result<_, _>>()?;
        Ok(EndpointList { index, is_snapshot, entries })
    }
}

/// Reads a list as it stands in an answer, an entry at a time: a tree of the whole of it would take many times its bytes.
struct ListReader<'a>(&'a LocationNames);

impl<'de> Visitor<'de> for ListReader<'_> {
    type Value = EndpointList;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of backends")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<EndpointList, A::Error> {
        let (mut index, mut is_snapshot, mut entries) = (None, None, None);
        while let Some(key) = map.next_key::<Cow<str>>()? {
            match &*key {
                "index" => index = map.next_value::<Value>()?.as_u64(),
                "snapshot" => is_snapshot = map.next_value::<Value>()?.as_bool(),
                "endpoints" => entries = Some(map.next_value_seed(EntriesReader(self.0))?),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        let missing = |what| de::Error::custom(what);
        Ok(EndpointList {
            index: index.ok_or_else(|| missing("index is missing or no whole number"))?,
            is_snapshot: is_snapshot.ok_or_else(|| missing("snapshot is missing or no flag"))?,
            entries: entries.ok_or_else(|| missing("endpoints is missing or no list"))?,
        })
    }
}

struct EntriesReader<'a>(&'a LocationNames);

impl<'de> DeserializeSeed<'de> for EntriesReader<'_> {
    type Value = Vec<EndpointEntry>;

    fn deserialize<D: de::Deserializer<'de>>(self, json: D) -> Result<Vec<EndpointEntry>, D::Error> {
        json.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntriesReader<'_> {
    type Value = Vec<EndpointEntry>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("endpoints as a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<EndpointEntry>, A::Error> {
        let mut entries = Vec::new();
        while let Some(json) = seq.next_element::<Value>()? {
            entries.push(EndpointEntry::from_json(&json, self.0).map_err(de::Error::custom)?);
        }
        Ok(entries)
    }
}

impl EndpointList {
    /// Reads a list from the bytes of an answer.
    fn parse(body: &[u8], location_names: &LocationNames) -> Result<EndpointList, String> {
        let mut json = serde_json::Deserializer::from_slice(body);
        let list = de::Deserializer::deserialize_map(&mut json, ListReader(location_names));
        let list = list.and_then(|list| json.end().map(|()| list));
        list.map_err(|e| format!("an answer is no list: {e}"))
    }
}

impl EndpointEntry {
    fn from_json(json: &Value, location_names: &LocationNames) -> Result<EndpointEntry, String> {
        let text = |key: &str| json.get(key).and_then(Value::as_str);
        let name = text("name").ok_or("endpoints has an entry without a name")?;
        let bad = |key: &str| format!("endpoints: {key} of {name} is missing or bad");
        let availability = match text("status").ok_or_else(|| bad("status"))? {
            "up" => Availability::Ready,
            "removed" => Availability::Gone,
            _ => Availability::Draining, // a word of the future can hardly mean that it wants work
        };
        let address = match text("address").map(str::parse) {
            Some(Ok(address)) => Some(address),
            None if availability == Availability::Gone => None,
            _ => return Err(bad("address")),
        };
        let place = |list: &[String], key: &str| {
            text(key).and_then(|t| list.iter().position(|n| n == t)).unwrap_or(usize::MAX)
        };
        let since = json.get("since_ms").map_or(Some(0), Value::as_u64).ok_or_else(|| bad("since_ms"))?;
        let group = json.get("group").and_then(Value::as_u64).unwrap_or(0);
        let endpoint = Endpoint {
            backend: backend_id(name),
            zone: u8::try_from(place(&location_names.zones, "zone")).unwrap_or(u8::MAX),
            cell: u16::try_from(group).map_err(|_| bad("group"))?,
            machine_type: u16::try_from(place(&location_names.machine_types, "type")).unwrap_or(u16::MAX),
            availability,
            size: json.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            // The host's clock counts from the same moment as Unix time: only the unit is another.
            started_at: since.saturating_mul(1000),
        };
        Ok(EndpointEntry { endpoint, address })
    }
}

/// What a connection to discovery came to.
enum Answer {
    /// Not whole yet.
    Partial,
    /// A list, and whether the connection can be used again.
    Whole(EndpointList, bool),
    /// Not to be used.
    Bad(String),
}

/// The watch.
pub struct Watch {
    address: SocketAddr,
    location_names: LocationNames,
    token: Token,
    stream: Option<TcpStream>,
    /// The version of the list held; none asks for the whole list.
    index: Option<u64>,
    /// What is still to be written of a call, and when it was made; none while no call is out.
    out: Vec<u8>,
    called: Option<Micros>,
    /// When the call that is out counts as unanswered.
    due: Micros,
    buf: Vec<u8>,
    schedule: PollSchedule,
    max_body_bytes: usize,
    /// When [`Watch::on_timer`] has something to do.
    pub next_timer_at: Micros,
    /// The last call stayed unanswered: the next one does not wait for news, so that what was missed comes at once,
    /// and a second silence shows soon.
    unanswered: bool,
}

impl Watch {
    /// A watch for what is newer than the list held.
    pub fn new(
        address: SocketAddr,
        location_names: LocationNames,
        index: u64,
        token: Token,
        options: WatchOptions,
    ) -> Self {
        let WatchOptions { backoff, max_body_bytes, seed, now } = options;
        let mut schedule = PollSchedule::new(backoff, seed);
        let first = schedule.first_poll_at(now);
        Watch {
            address,
            location_names,
            token,
            stream: None,
            index: Some(index),
            out: Vec::new(),
            called: None,
            due: 0,
            buf: Vec::new(),
            schedule,
            max_body_bytes,
            next_timer_at: first,
            unanswered: false,
        }
    }

    /// Goes on at another address: it is asked for its whole list at once, whatever the old one still owed and
    /// however long a failure was to be waited out.
    pub fn set_address(&mut self, address: SocketAddr, now: Micros) {
        self.index = None;
        self.disconnect();
        self.schedule.reset();
        (self.address, self.next_timer_at) = (address, now);
    }

    /// Asks for the whole list with the next call.
    pub fn request_snapshot(&mut self) {
        self.index = None;
    }

    /// Closes the connection, with all that is under way on it: nothing of it belongs to the next one.
    fn disconnect(&mut self) {
        (self.stream, self.called) = (None, None);
        self.buf.clear();
        self.out.clear();
    }

    /// Gives the connection up; the next one comes after a pause. True if all had been well before.
    fn fail(&mut self, now: Micros, why: &str) -> bool {
        let request_sent = self.out.is_empty();
        let pending = self.called.map(|started_at| FailedPoll { started_at, request_sent });
        let NextPoll { at, is_first_failure } = self.schedule.on_failure(now, pending);
        self.disconnect();
        self.next_timer_at = at;
        if is_first_failure {
            crate::log(&format!("discovery: {why}; serving on with the list as it is"));
        }
        is_first_failure
    }

    /// Makes the next call, or notices that the last one stays unanswered; true if discovery just failed.
    pub fn on_timer(&mut self, now: Micros, registry: &Registry) -> bool {
        if now < self.next_timer_at {
            return false;
        }
        if self.called.is_some() {
            // A watch that fell silent is opened anew at once: the clock of what it missed runs. Silences hardly
            // come in unison, since waits are drawn; a call of the new watch that stays unanswered is paused for.
            let again = !std::mem::replace(&mut self.unanswered, true);
            let failed = self.fail(now, "no answer in time");
            if !again {
                return failed;
            }
            self.next_timer_at = now;
            self.on_timer(now, registry);
            return failed;
        }
        if self.stream.is_none() {
            let connected = TcpStream::connect(self.address).and_then(|mut stream| {
                registry.register(&mut stream, self.token, Interest::READABLE | Interest::WRITABLE)?;
                Ok(stream)
            });
            match connected {
                Ok(stream) => self.stream = Some(stream),
                Err(e) => return self.fail(now, &format!("cannot connect: {e}")),
            }
        }
        let waits = self.index.is_some() && !self.unanswered;
        let wait = if waits { self.schedule.next_poll_timeout() } else { 0 };
        let since = self.index.map_or(String::new(), |i| format!("?since={i}&timeout_ms={}", wait / 1000));
        self.out =
            format!("GET /v1/endpoints{since} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address).into_bytes();
        self.called = Some(now);
        self.due = now + if waits { wait + PAST_WAIT } else { self.schedule.backoff.response_timeout };
        // Without a connection it is no watch yet, however long it may wait: the system tries ever more seldom.
        self.next_timer_at = self.due.min(now + self.schedule.backoff.response_timeout);
        self.write(now)
    }

    fn write(&mut self, now: Micros) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        while !self.out.is_empty() {
            match stream.write(&self.out) {
                Ok(n) => {
                    self.out.drain(..n);
                    if self.out.is_empty() {
                        self.next_timer_at = self.due; // now it waits for the answer
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Not connected yet, or no room: the socket will show as writable.
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break
                }
                Err(e) => return self.fail(now, &format!("cannot ask: {e}")),
            }
        }
        false
    }

    /// Takes in what the socket has. Gives lists as they come; true if discovery just failed.
    pub fn on_ready(
        &mut self,
        now: Micros,
        registry: &Registry,
        take: &mut impl FnMut(EndpointList),
    ) -> bool {
        if self.write(now) {
            return true;
        }
        let mut chunk = [0; 16 * 1024];
        // An answer that ends with its connection can only be judged with the end known.
        let ended = loop {
            let Some(stream) = &mut self.stream else { return false };
            match stream.read(&mut chunk) {
                Ok(0) => break true,
                Ok(n) => self.buf.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break false
                }
                Err(e) => return self.fail(now, &e.to_string()),
            }
            if self.buf.len() > MOST_HEAD + self.max_body_bytes {
                return self.fail(now, "an answer is too long");
            }
        };
        let Some(called) = self.called else {
            // Between two calls nothing is due but the end of the connection. What came all the same is nobody's
            // answer, and must not pass for that of the next call.
            if ended || !self.buf.is_empty() {
                self.disconnect();
                self.next_timer_at = now;
            }
            return false;
        };
        match read_answer(&self.buf, ended, &self.location_names, self.max_body_bytes) {
            Answer::Partial if ended => self.fail(now, "the connection ended"),
            Answer::Partial => false,
            Answer::Bad(why) => self.fail(now, &why),
            Answer::Whole(list, reusable) => {
                if self.schedule.on_success() {
                    crate::log("discovery: back");
                }
                (self.index, self.called) = (Some(list.index), None);
                self.unanswered = false;
                self.buf = Vec::new(); // a whole list may have been long
                if ended || !reusable {
                    self.stream = None;
                }
                // One that answers at once with nothing must not be asked without end.
                let idle = list.entries.is_empty() && now < called + AT_ONCE;
                self.next_timer_at = if idle { now + NO_NEWS } else { now };
                take(list);
                self.on_timer(now, registry)
            }
        }
    }
}

/// The body of an answer, and whether the connection goes on.
type Body<'a> = (Cow<'a, [u8]>, bool);

/// Finds the body of an answer; none if it is not whole.
fn body(buf: &[u8], ended: bool, most: usize) -> Result<Option<Body<'_>>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(buf).map_err(|e| format!("an answer is no HTTP: {e}"))? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial if buf.len() > MOST_HEAD => {
            return Err("an answer's head is too long".into())
        }
        httparse::Status::Partial => return Ok(None),
    };
    if head.code != Some(200) {
        return Err(format!("it answers with status {}", head.code.unwrap_or(0)));
    }
    let header = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.map(|h| String::from_utf8_lossy(h.value).trim().to_ascii_lowercase())
    };
    let goes_on = head.version == Some(1) && header("connection").map_or(true, |c| c != "close");
    let rest = &buf[start..];
    if header("transfer-encoding").is_some_and(|t| t.contains("chunked")) {
        if rest.len() > LONG_BODY && !ended && !rest.ends_with(b"\r\n\r\n") {
            return Ok(None);
        }
        return Ok(chunks(rest, most)?.map(|body| (Cow::Owned(body), goes_on)));
    }
    match header("content-length") {
        Some(text) => {
            let n = text.parse::<usize>().ok().filter(|n| *n <= most);
            let n = n.ok_or_else(|| format!("an answer's length is {text}"))?;
            Ok(rest.get(..n).map(|body| (Cow::Borrowed(body), goes_on && rest.len() == n)))
        }
        None => Ok(ended.then_some((Cow::Borrowed(rest), false))),
    }
}

/// A body in chunks; none if it is not whole.
fn chunks(mut rest: &[u8], most: usize) -> Result<Option<Vec<u8>>, String> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((start, size))) => (start, size),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("an answer's chunk is no chunk".into()),
        };
        let size = usize::try_from(size).ok().filter(|n| *n <= most).ok_or("an answer is too long")?;
        let Some(chunk) = rest.get(start..start + size + 2) else { return Ok(None) };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &rest[start + size + 2..];
    }
}

fn read_answer(buf: &[u8], ended: bool, location_names: &LocationNames, max_body_bytes: usize) -> Answer {
    let (body, goes_on) = match body(buf, ended, max_body_bytes) {
        Ok(None) => return Answer::Partial,
        Ok(Some(found)) => found,
        Err(why) => return Answer::Bad(why),
    };
    match EndpointList::parse(&body, location_names) {
        Ok(list) => Answer::Whole(list, goes_on),
        Err(why) => Answer::Bad(why),
    }
}

#[cfg(test)]
mod tests;
