//! Stand-ins for clients, backends and discovery, and the start of real ingresses, for the cases of the review.
//! Standard library only. Every address is on 127.0.0.1.

#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{FromRawFd, RawFd};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Time after which a case ends as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The record of a case: what was sent, answered and run, with the time since the start in milliseconds.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();
/// The processes that the case started. They are ended by their handles, which never reach another process that got
/// the id of one that has ended.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Writes a line to the record.
pub fn record(line: &str) {
    let Some(record) = RECORD.get() else { return };
    let at = record.started_at.elapsed().as_secs_f64() * 1000.0;
    let _ = writeln!(record.file.lock().unwrap(), "{at:10.1} ms  {line}");
}

/// Returns whether the disruption is to be played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case: `folder` of the case is the first argument, and the working directory is the root of the
/// project. Exits with the code that the case returns, or 2 if it fails.
pub fn run_case(case: fn() -> Result<i32, String>) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_string()));
    match File::create(folder.join("record.txt")) {
        Ok(file) => {
            let _ = RECORD.set(Record { started_at: Instant::now(), file: Mutex::new(file) });
        }
        Err(error) => {
            eprintln!("no record: {error}");
            std::process::exit(COULD_NOT_RUN);
        }
    }
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        record("time limit reached");
        finish(COULD_NOT_RUN);
    });
    record(if trouble() { "with the disruption" } else { "without the disruption" });
    let code = match std::panic::catch_unwind(case) {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            record(&format!("could not run: {error}"));
            COULD_NOT_RUN
        }
        Err(_) => {
            record("could not run: a stand-in failed");
            COULD_NOT_RUN
        }
    };
    finish(code)
}

/// Returns the folder for the configuration and the log of the ingress.
fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// Ends the processes that the case started, and exits.
fn finish(code: i32) -> ! {
    let result = match code {
        HELD => "the rule held",
        BROKEN => "THE RULE WAS BROKEN",
        _ => "the case could not run",
    };
    record(&format!("result: {result}"));
    println!("{result}");
    let mut children = CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_dir_all(temporary_folder());
    std::process::exit(code)
}

/// An IPv4 address as the system's calls take it.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    unused: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> RawFd;
    fn setsockopt(socket: RawFd, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: RawFd, address: *const SocketAddress, length: u32) -> i32;
}

/// Opens a connection that takes in a limited number of bytes at once, as over a path whose window is that small.
/// The limit has to be set before the connection is opened.
pub fn connect_with_window(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    let to = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        unused: [0; 8],
    };
    // SAFETY: the descriptor is checked and then owned by the stream, and the pointers are valid for the calls.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, 4) < 0 || connect(descriptor, &to, 16) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Encodes a command as an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Encodes a request of the class `quote`, which is safe to repeat.
pub fn quote(customer: u64, id: &str, timeout_ms: u64) -> Vec<u8> {
    let options = format!("c=quote,t=starter,d={timeout_ms},units=1,spread=1,first=0");
    command(&[b"CALL.GET", format!("{customer:016x}").as_bytes(), id.as_bytes(), options.as_bytes()])
}

/// Encodes a request of the class `quote`, of the keyed class `save` with a key of its own, or of the class `refer`.
pub fn request(class: &str, customer: u64, id: &str, timeout_ms: u64) -> Vec<u8> {
    if class == "quote" {
        return quote(customer, id, timeout_ms);
    }
    let key = if class == "save" { format!(",k={id}") } else { String::new() };
    let options = format!("c={class},t=starter,d={timeout_ms}{key},units=1,spread=1,first=0");
    let customer = format!("{customer:016x}");
    command(&[b"CALL.POST", customer.as_bytes(), id.as_bytes(), options.as_bytes(), b"BODY"])
}

/// A reply as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    Line(String),
}

/// Takes the reply at the start of a buffer, if it is complete.
pub fn take_answer(buffer: &mut Vec<u8>) -> Option<Answer> {
    let end = buffer.windows(2).position(|pair| pair == b"\r\n")?;
    let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let length = line.strip_prefix('$').and_then(|digits| digits.parse::<usize>().ok());
    let Some(length) = length else {
        buffer.drain(..end + 2);
        return Some(Answer::Line(line));
    };
    let body = end + 2;
    if buffer.len() < body + length + 2 {
        return None;
    }
    let value = buffer[body..body + length].to_vec();
    buffer.drain(..body + length + 2);
    Some(Answer::Value(value))
}

fn read_line(stream: &mut impl Read) -> Option<String> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        line.push(byte[0]);
    }
    line.truncate(line.len() - 2);
    Some(String::from_utf8_lossy(&line).into_owned())
}

/// Reads one command; `None` at the end of the connection.
pub fn read_command(stream: &mut impl Read) -> Option<Vec<Vec<u8>>> {
    let count: usize = read_line(stream)?.strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length: usize = read_line(stream)?.strip_prefix('$')?.parse().ok()?;
        let mut word = vec![0; length + 2];
        stream.read_exact(&mut word).ok()?;
        word.truncate(length);
        words.push(word);
    }
    Some(words)
}

/// Encodes a backend's answer: the value, no figures on use, no load report.
pub fn served(value: &[u8]) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
    out
}

/// A backend that runs each command for a time and serves it; it records each command that it begins.
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
}

impl Backend {
    /// `reply` returns the time of the work and the value.
    pub fn start(
        name: &str,
        reply: impl Fn(&[Vec<u8>]) -> (Duration, Vec<u8>) + Send + Sync + 'static,
    ) -> io::Result<Backend> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let (reply, backend) = (Arc::new(reply), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                let (reply, backend) = (reply.clone(), backend.clone());
                let serve = move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(reading) = stream.try_clone() else { return };
                    let mut reading = io::BufReader::new(reading);
                    while let Some(words) = read_command(&mut reading) {
                        let id = words.get(2).map(|id| String::from_utf8_lossy(id).into_owned());
                        record(&format!("{backend} runs {}", id.unwrap_or_default()));
                        let (work, value) = reply(&words);
                        thread::sleep(work);
                        if stream.write_all(&served(&value)).is_err() {
                            return;
                        }
                    }
                };
                let _ = thread::Builder::new().stack_size(256 * 1024).spawn(serve);
            }
        });
        Ok(Backend { name: name.to_string(), address })
    }

    /// Returns the entry in the list of discovery.
    pub fn entry(&self, status: &str) -> String {
        entry(&self.name, self.address, "hall-a", status)
    }
}

/// Returns an entry in the list of discovery.
pub fn entry(name: &str, address: SocketAddr, zone: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"std-2c","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// The list of discovery: the entries by name, each with the version of its last change.
#[derive(Default)]
struct List {
    version: u64,
    entries: Vec<(String, String, u64)>,
}

/// Discovery, with long polls as on the protocol page.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    pub fn start() -> io::Result<Discovery> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let list = Arc::new((Mutex::new(List { version: 1, ..List::default() }), Condvar::new()));
        let shared = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let list = shared.clone();
                thread::spawn(move || serve_polls(stream, &list));
            }
        });
        Ok(Discovery { address, list })
    }

    /// Publishes a changed entry.
    pub fn publish(&self, name: &str, entry: String) {
        let mut list = self.list.0.lock().unwrap();
        list.version += 1;
        let version = list.version;
        list.entries.retain(|(known, _, _)| known != name);
        list.entries.push((name.to_string(), entry, version));
        self.list.1.notify_all();
    }
}

fn serve_polls(mut stream: TcpStream, list: &(Mutex<List>, Condvar)) {
    let _ = stream.set_nodelay(true);
    loop {
        let Some(request) = read_line(&mut stream) else { return };
        while read_line(&mut stream).is_some_and(|header| !header.is_empty()) {}
        let target = request.split(' ').nth(1).unwrap_or_default().to_string();
        let parameter = |name: &str| {
            let query = target.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let (since, timeout) = (parameter("since"), parameter("timeout_ms").unwrap_or(0));
        let deadline = Instant::now() + Duration::from_millis(timeout);
        let mut guard = list.0.lock().unwrap();
        while since.is_some_and(|since| guard.version <= since) && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            guard = list.1.wait_timeout(guard, left).unwrap().0;
        }
        let changed = |entry: &&(String, String, u64)| since.is_none_or(|since| entry.2 > since);
        let entries: Vec<&str> =
            guard.entries.iter().filter(changed).map(|(_, entry, _)| entry.as_str()).collect();
        let body = format!(
            r#"{{"index":{},"snapshot":{},"endpoints":[{}]}}"#,
            guard.version,
            since.is_none(),
            entries.join(",")
        );
        drop(guard);
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// The limits and the size of a deployment.
pub struct Deployment {
    pub sockets: usize,
    pub memory_mb: usize,
    pub ingresses: usize,
    /// Time for which clients wait, of the class `quote`.
    pub give_up_ms: u64,
}

/// Returns the settings of a small deployment: the class `quote` is safe to repeat, `save` is keyed, and
/// `refer` is unsafe to repeat.
fn settings(deployment: &Deployment) -> String {
    let Deployment { ingresses, give_up_ms, .. } = deployment;
    format!(
        r#"{{
 "n_instances":{ingresses},"slot_no":0,"zone":0,"tick_us":4000,"zones":["hall-a","hall-b"],"skus":["std-2c"],
 "grades":[
  {{"name":"quote","effect":"repeatable","group":"all","window_us":5000000,"objective_us":1000000,
   "give_up_us":{},"worth":2.0,"late_worth":0.0,"stream":false}},
  {{"name":"save","effect":"by_key","group":"all","window_us":4000000,"objective_us":1000000,
   "give_up_us":4000000,"worth":2.0,"late_worth":0.0,"stream":false}},
  {{"name":"refer","effect":"once","group":"all","window_us":4000000,"objective_us":1000000,
   "give_up_us":4000000,"worth":2.0,"late_worth":0.0,"stream":false}}],
 "contracts":[
  {{"name":"starter","quota_rate":1000.0,"burst":5000.0,"max_out":0,"never_over_rate":0.0,"ceiling_burst":0.0,
   "ceiling_slack":0.0,"worth_factor":1.0,"over_worth":0.0,"beyond_costs":1.0}}],
 "limits":{{"most_tries":4,"second_copies":true,"cancelling":true,"may_probe":false,"peers":false,
  "retry_after":true,"max_retry_after_us":1000000,"max_open":20000,"connect_timeout_us":250000,
  "keepalive_us":30000000,"max_streams":100}},
 "family_info":{{"peer_in_per_s":40.0,"has_counter":false,"meter_period_us":0,"post_paid":false}},
 "rules":{{"answer_slack_us":16000,"drain_grace_us":250000,"cold_from":0.23,"cold_us":15000000,
  "overload_factor":4.0,"fall_us":3000000,"must_ask_in_us":10000000}},
 "membership_mode":"push","weights":"rough","reporting":{{"how":"none","fields":[]}}}}"#,
        give_up_ms * 1000
    )
}

/// A real ingress, started by `run` of the deploy file.
pub struct Ingress {
    pub address: SocketAddr,
    pub id: u32,
    /// Position of the process in [`CHILDREN`].
    position: usize,
}

/// Returns the value of a key of the deploy file, a string.
fn deploy_command(key: &str) -> Result<String, String> {
    let text = fs::read_to_string("deploy/balancer.toml").map_err(|error| error.to_string())?;
    let line = text.lines().find(|line| line.split('=').next().is_some_and(|name| name.trim() == key));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.map(str::to_string).ok_or_else(|| format!("no {key} in the deploy file"))
}

impl Ingress {
    /// Starts an ingress that knows these backends.
    pub fn start(
        deployment: &Deployment,
        backends: &[Backend],
        discovery: SocketAddr,
    ) -> Result<Ingress, String> {
        let entries: Vec<String> = backends.iter().map(|backend| backend.entry("up")).collect();
        Ingress::start_with_list(deployment, &entries, discovery)
    }

    /// Starts an ingress that knows these entries of the list, and waits until it has answered a PING and has
    /// had time for the list of discovery.
    pub fn start_with_list(
        deployment: &Deployment,
        entries: &[String],
        discovery: SocketAddr,
    ) -> Result<Ingress, String> {
        let fail = |error: io::Error| error.to_string();
        let folder = temporary_folder();
        fs::create_dir_all(&folder).map_err(fail)?;
        let address = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr()).map_err(fail)?;
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_nanos() as u64);
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"{:016x}",
 "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
 "known":{{"index":1,"snapshot":true,"endpoints":[{}]}},"settings":{}}}"#,
            nanos >> 1,
            deployment.memory_mb,
            deployment.sockets,
            entries.join(","),
            settings(deployment)
        );
        let path = folder.join("config.json");
        fs::write(&path, config).map_err(fail)?;
        let log = File::create(folder.join("ingress.log")).map_err(fail)?;
        let run = deploy_command("run")?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("LB_CONFIG", &path)
            .env_remove("LB_LISTEN")
            .env_remove("LB_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(fail)?;
        let id = child.id();
        let position = {
            let mut children = CHILDREN.lock().unwrap();
            children.push(child);
            children.len() - 1
        };
        let ingress = Ingress { address, id, position };
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(30) {
            if ping(address).unwrap_or(false) {
                thread::sleep(Duration::from_millis(500));
                record(&format!("ingress ready, process {id}"));
                return Ok(ingress);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err("the ingress did not become ready".to_string())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(CHILDREN.lock().unwrap()[self.position].try_wait(), Ok(None))
    }

    /// Tells the process to end by SIGTERM, unless it has ended.
    pub fn terminate(&mut self) {
        // The id is the process's own: one that has ended keeps it until it is waited for.
        if !self.has_ended() {
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -TERM {}", self.id)]).status();
        }
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let child = &mut CHILDREN.lock().unwrap()[self.position];
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn ping(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(&command(&[b"PING"]))?;
    let mut reply = [0; 7];
    stream.read_exact(&mut reply)?;
    Ok(&reply == b"+PONG\r\n")
}

/// Bad clients that send the first part of a request, stop there and stay, and read what is sent to them. One
/// that is turned away comes again with the same, for `duration`.
pub fn clients_that_stop_within_a_request(address: SocketAddr, count: usize, duration: Duration) {
    let whole = quote(9, "ffffffff00000009", 1000);
    let part = whole[..whole.len() / 2].to_vec();
    let connect = move || -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(&part)?;
        stream.set_nonblocking(true)?;
        Ok(stream)
    };
    thread::spawn(move || {
        let until = Instant::now() + duration;
        let mut clients: Vec<Option<TcpStream>> = (0..count).map(|_| connect().ok()).collect();
        record(&format!("{count} bad clients have sent a part of a request and stay"));
        let mut turned_away = 0;
        while Instant::now() < until {
            for client in &mut clients {
                let mut buffer = [0; 256];
                let ended = match client {
                    None => true,
                    Some(stream) => match stream.read(&mut buffer) {
                        Ok(_) => true,
                        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
                    },
                };
                if ended {
                    turned_away += 1;
                    *client = connect().ok();
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
        record(&format!("the bad clients leave; they were turned away {turned_away} times"));
    });
}
