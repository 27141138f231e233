//! What the cases of the second review share: stand-ins for backends, discovery and clients, the start of the
//! project's ingress with the command of the deploy file, and the record of a run. Standard library only.
#![allow(dead_code)]

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Time after which a run is given up, below the 120 s that a script may take.
const WATCHDOG: Duration = Duration::from_secs(112);

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Milliseconds since the start of the run.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until_ms(at: u64) {
    sleep_ms(at.saturating_sub(now_ms()));
}

/// Writes a line to the record, with the time.
pub fn record(line: impl AsRef<str>) {
    let at = now_ms();
    if let Some(file) = lock(&RECORD).as_mut() {
        let _ = writeln!(file, "{at:>7} {}", line.as_ref());
    }
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn root() -> PathBuf {
    let root = std::env::current_dir().unwrap_or_default();
    if !root.join("deploy/balancer.toml").exists() {
        eprintln!("not started from the root of the repository");
        std::process::exit(COULD_NOT_RUN);
    }
    root
}

/// Ends all processes that the case started.
pub fn end_children() {
    for child in lock(&CHILDREN).drain(..) {
        let mut child = lock(&child);
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends the run.
pub fn finish(code: i32, verdict: &str) -> ! {
    end_children();
    clean_up();
    record(format!("verdict: {verdict} (exit {code})"));
    println!("{verdict}");
    std::process::exit(code);
}

/// Opens the record of the case in `review/NUMBER/` and starts the watchdog.
pub fn begin(number: u32) {
    START.get_or_init(Instant::now);
    let path = root().join(format!("review/{number}/record.txt"));
    match File::create(&path) {
        Ok(file) => *lock(&RECORD) = Some(file),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            std::process::exit(COULD_NOT_RUN);
        }
    }
    record(format!("case {number}, disruption {}", if trouble() { "on" } else { "off" }));
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        record(format!("panic: {info}"));
        // A thread of a stand-in may end with its connection; only the main thread ends the run.
        if thread::current().name() == Some("main") {
            finish(COULD_NOT_RUN, "the case could not run");
        }
    }));
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        finish(COULD_NOT_RUN, "the case took too long");
    });
}

/// An address of 127.0.0.1 with a port that is free.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// ---------------------------------------------------------------------------------------------- RESP2

/// Encodes a command, an array of bulk strings.
pub fn command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        out.extend(format!("${}\r\n", argument.len()).bytes());
        out.extend_from_slice(argument);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// A stream with the bytes that were read but not used.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Time that 16 KiB take on the way, as on a network; none on loopback.
    pub pace: Option<Duration>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new(), pace: None }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                if let Some(pace) = self.pace {
                    thread::sleep(pace * count as u32 / chunk.len() as u32);
                }
                Ok(())
            }
        }
    }

    pub fn read_line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.buffer[..end].to_vec();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    pub fn read_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a command, an array of bulk strings.
    pub fn read_command(&mut self) -> io::Result<Vec<Vec<u8>>> {
        let count = length(&self.read_line()?, b'*')?;
        (0..count).map(|_| self.read_bulk()).collect()
    }

    fn read_bulk(&mut self) -> io::Result<Vec<u8>> {
        let count = length(&self.read_line()?, b'$')?;
        let mut body = self.read_bytes(count + 2)?;
        body.truncate(count);
        Ok(body)
    }

    /// Reads an answer of the ingress: a bulk string or a line.
    pub fn read_answer(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_line()?;
        match line.first() {
            Some(b'$') if line != b"$-1" => {
                let count = length(&line, b'$')?;
                let mut body = self.read_bytes(count + 2)?;
                body.truncate(count);
                Ok([b"$".to_vec(), body].concat())
            }
            _ => Ok(line),
        }
    }
}

fn length(line: &[u8], marker: u8) -> io::Result<usize> {
    let text = line.strip_prefix(&[marker]).and_then(|digits| std::str::from_utf8(digits).ok());
    text.and_then(|text| text.parse().ok()).ok_or_else(|| ErrorKind::InvalidData.into())
}

// ---------------------------------------------------------------------------------------------- requests

/// A request of a usual client.
#[derive(Clone)]
pub struct Request {
    pub class: &'static str,
    pub tariff: &'static str,
    pub customer: u64,
    pub id: String,
    /// How long the client will wait.
    pub wait_ms: u64,
    /// The body of a class that is not safe to repeat.
    pub body: Option<Vec<u8>>,
    /// The number of ingresses of the customer, and the first of them.
    pub spread: u32,
    pub first: u32,
}

impl Request {
    pub fn quote(number: u64, wait_ms: u64) -> Request {
        Request {
            class: "rate-quote",
            tariff: "osnovni",
            // Each customer asks seldom, so that the quotas refuse nothing.
            customer: 0x0100_0000 + number,
            id: format!("{:016x}", 0x9b1f_0000_0000_0000 + number),
            wait_ms,
            body: None,
            spread: 1,
            first: 0,
        }
    }

    pub fn order(number: u64, wait_ms: u64, body: Vec<u8>) -> Request {
        Request { class: "payout-order", body: Some(body), ..Request::quote(number, wait_ms) }
    }

    pub fn encode(&self) -> Vec<u8> {
        let customer = format!("{:016x}", self.customer);
        let key = if self.body.is_some() { format!("k=k{},", self.id) } else { String::new() };
        let list = format!(
            "c={},t={},d={},{key}units=1,spread={},first={}",
            self.class, self.tariff, self.wait_ms, self.spread, self.first
        );
        let verb: &[u8] = if self.body.is_some() { b"CALL.POST" } else { b"CALL.GET" };
        let mut arguments = vec![verb, customer.as_bytes(), self.id.as_bytes(), list.as_bytes()];
        if let Some(body) = &self.body {
            arguments.push(body);
        }
        command(&arguments)
    }
}

/// Reads a value of the list of names and values of a command.
pub fn field(list: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(list).into_owned();
    text.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
}

// ---------------------------------------------------------------------------------------------- backends

/// A command that came whole to a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub id: String,
    pub list: String,
}

/// What a backend does with a command.
pub struct Work {
    pub after_ms: u64,
    pub value: Vec<u8>,
}

/// A stand-in for a backend: serves each connection in order, by the protocol page.
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// The open connections; `None` once the process has ended.
    streams: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

type Handler = dyn Fn(&Arrival) -> Work + Send + Sync;

impl Backend {
    pub fn start(name: &str, handler: impl Fn(&Arrival) -> Work + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let handler: Arc<Handler> = Arc::new(handler);
        let streams = Arc::new(Mutex::new(Some(Vec::new())));
        let (list, label, open) = (Arc::clone(&arrivals), name.to_string(), Arc::clone(&streams));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                match (lock(&open).as_mut(), stream.try_clone()) {
                    (Some(streams), Ok(clone)) => streams.push(clone),
                    _ => return,
                }
                let (list, handler, label) = (Arc::clone(&list), Arc::clone(&handler), label.clone());
                let serve = move || drop(serve_backend(stream, &label, &list, &*handler));
                let _ = thread::Builder::new().stack_size(128 * 1024).spawn(serve);
            }
        });
        Backend { name: name.to_string(), address, arrivals, streams }
    }

    /// Ends the process: its connections end, and new ones are refused.
    pub fn stop(&self) {
        for stream in lock(&self.streams).take().into_iter().flatten() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts, which then closes the listener.
        drop(TcpStream::connect(self.address));
        record(format!("ended  {}", self.name));
    }

    /// The backend's entry in the list of discovery.
    pub fn entry(&self, status: &str, since_ms: u64) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"sr-kapucinski","type":"std-2c","group":0,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#,
            self.name, self.address
        )
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }
}

fn serve_backend(
    stream: TcpStream,
    name: &str,
    arrivals: &Mutex<Vec<Arrival>>,
    handler: &Handler,
) -> io::Result<()> {
    let mut wire = Wire::new(stream);
    loop {
        let arguments = wire.read_command()?;
        if arguments.len() < 4 {
            wire.stream.write_all(b"-SYNTAX\r\n")?;
            continue;
        }
        let arrival = Arrival {
            at: now_ms(),
            id: String::from_utf8_lossy(&arguments[2]).into_owned(),
            list: String::from_utf8_lossy(&arguments[3]).into_owned(),
        };
        record(format!("ran    {name} {} {}", arrival.id, arrival.list));
        lock(arrivals).push(arrival.clone());
        let work = handler(&arrival);
        sleep_ms(work.after_ms);
        let mut answer = format!("*3\r\n${}\r\n", work.value.len()).into_bytes();
        answer.extend_from_slice(&work.value);
        answer.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
        wire.stream.write_all(&answer)?;
    }
}

// ---------------------------------------------------------------------------------------------- discovery

struct Listed {
    name: String,
    json: String,
    version: u64,
}

struct List {
    version: u64,
    entries: Vec<Listed>,
    /// Time for which a call waits in the line of discovery before it is looked at.
    line_ms: u64,
}

/// A stand-in for discovery, by the protocol page.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = List { version: 40, entries: Vec::new(), line_ms: 0 };
        let discovery = Discovery { address, shared: Arc::new((Mutex::new(list), Condvar::new())) };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        discovery
    }

    /// Sets an entry of the list.
    pub fn publish(&self, name: &str, json: String) {
        let (list, changed) = &*self.shared;
        let mut list = lock(list);
        list.version += 1;
        let version = list.version;
        record(format!("listed {version} {json}"));
        list.entries.retain(|entry| entry.name != name);
        list.entries.push(Listed { name: name.to_string(), json, version });
        changed.notify_all();
    }

    /// Sets the time for which a call waits in line.
    pub fn set_line_ms(&self, line_ms: u64) {
        lock(&self.shared.0).line_ms = line_ms;
    }

    /// The whole list, as the value of `known`.
    pub fn known(&self) -> String {
        let list = lock(&self.shared.0);
        render(list.version, true, &list.entries, 0)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut wire = Wire::new(stream);
        loop {
            let line = String::from_utf8_lossy(&wire.read_line()?).into_owned();
            while !wire.read_line()?.is_empty() {}
            record(format!("call   {line}"));
            let line_ms = lock(&self.shared.0).line_ms;
            sleep_ms(line_ms);
            let body = self.answer(&line);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let result = wire.stream.write_all((head + &body).as_bytes());
            record(format!(
                "told   {} {}",
                if result.is_ok() { "written" } else { "caller gone" },
                &body[..body.len().min(120)]
            ));
            result?;
        }
    }

    /// The body of the answer to a call, once there is one.
    fn answer(&self, line: &str) -> String {
        let number = |name: &str| {
            let rest = line.split(name).nth(1)?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let (list, changed) = &*self.shared;
        let mut list = lock(list);
        let Some(since) = number("since=") else { return render(list.version, true, &list.entries, 0) };
        let until = Instant::now() + Duration::from_millis(number("timeout_ms=").unwrap_or(0).min(60_000));
        while list.version <= since && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            list = changed.wait_timeout(list, left).unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
        render(list.version, false, &list.entries, since)
    }
}

fn render(version: u64, snapshot: bool, entries: &[Listed], since: u64) -> String {
    let entries: Vec<&str> =
        entries.iter().filter(|entry| entry.version > since).map(|entry| &*entry.json).collect();
    format!(r#"{{"index":{version},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

// ---------------------------------------------------------------------------------------------- the ingress

/// The settings of a small deployment, those of the wire page. Texts in them are replaced by the cases.
pub const SETTINGS: &str = r#"{
"clients":{"marks_retry":true},
"contracts":[
 {"beyond_costs":0.6,"burst":9.0,"ceiling_burst":0.0,"ceiling_slack":0.0,"max_out":0,"name":"osnovni",
  "never_over_rate":0.0,"over_worth":0.0,"quota_rate":2.2,"worth_factor":1.3},
 {"beyond_costs":1.0,"burst":0.0,"ceiling_burst":0.0,"ceiling_slack":0.0,"max_out":4,"name":"prosireni",
  "never_over_rate":0.0,"over_worth":0.0,"quota_rate":0.0,"worth_factor":1.4}],
"domain_type":"gate",
"family_info":{"count_wait_us":0,"counter_price":0.0,"has_counter":false,"meter_period_us":0,"most_units":1,
 "peer_in_per_s":40.0,"post_paid":false},
"grades":[
 {"effect":"repeatable","give_up_us":5000000,"group":"all","late_worth":0.0,"name":"rate-quote",
  "objective_us":1000000,"stream":false,"window_us":5000000,"worth":3.0},
 {"effect":"by_key","give_up_us":4000000,"group":"all","late_worth":0.0,"name":"payout-order",
  "objective_us":1000000,"stream":false,"window_us":4000000,"worth":2.0}],
"layers":["payout-servers"],
"limits":{"cancelling":true,"connect_timeout_us":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":616531,
 "keepalive_us":30000000,"max_open":24661,"max_retry_after_us":1000000,"max_streams":100,"may_probe":false,
 "most_tries":4,"peers":false,"retry_after":true,"second_copies":true},
"membership_mode":"push","n_instances":1,
"objective_mix":{"whole":0.65,"worst_class":0.0,"worst_tenant":0.15,"worst_window":0.2},
"reporting":{"fields":[],"how":"none"},
"rules":{"answer_slack_us":16000,"cold_from":0.23,"cold_us":15000000,"drain_grace_us":250000,
 "fall_us":3000000,"must_ask_in_us":10000000,"overload_factor":4.0},
"skus":["std-2c"],"slot_no":0,
"tariffs":{"connection":0.0,"cross_zone":0.0,"handshake":0.0,"late_fail":0.08,"membership_mode":0.0,
 "moves":0.0,"origin":0.0,"peer":0.02,"probe":0.0,"waste":0.03},
"tick_us":4000,"tier":0,"weights":"rough","zone":0,"zones":["sr-kapucinski"]}"#;

/// Replaces a text of the settings, which has to be there.
pub fn with(settings: &str, from: &str, to: &str) -> String {
    assert!(settings.contains(from), "no {from} in the settings");
    settings.replace(from, to)
}

/// What an ingress is told at its start.
pub struct Setup {
    pub name: String,
    pub memory_mb: u64,
    pub sockets: u64,
    pub settings: String,
    pub known: String,
    pub discovery: SocketAddr,
    /// The address for messages of peers, those of all ingresses, and that for all.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)>,
}

impl Setup {
    pub fn new(discovery: &Discovery) -> Setup {
        Setup {
            name: "n0".to_string(),
            memory_mb: 192,
            sockets: 1024,
            settings: SETTINGS.to_string(),
            known: discovery.known(),
            discovery: discovery.address,
            peers: None,
        }
    }

    fn config(&self, listen: SocketAddr) -> String {
        let mut peers = String::new();
        if let Some((own, all, every)) = &self.peers {
            let all: Vec<String> = all.iter().map(|peer| format!("\"{peer}\"")).collect();
            let _ = write!(
                peers,
                r#""peer_listen":"{own}","peers":[{}],"peers_all":"{every}","#,
                all.join(",")
            );
        }
        format!(
            r#"{{"name":"{}","listen":"{listen}","discovery":"{}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{peers}
"known":{},"settings":{}}}"#,
            self.name,
            self.discovery,
            unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15),
            self.memory_mb,
            self.sockets,
            self.known,
            self.settings
        )
    }
}

/// A running ingress.
pub struct Ingress {
    pub name: String,
    pub address: SocketAddr,
    pub pid: u32,
    child: Arc<Mutex<Child>>,
    config: PathBuf,
}

/// The command of a key of the deploy file.
fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} = "))).expect("the key");
    line.split('"').nth(1).expect("a command").to_string()
}

fn folder() -> &'static Path {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        folder
    })
}

impl Ingress {
    /// Starts an ingress by `run` of the deploy file, and waits until it answers PING.
    pub fn start(setup: &Setup) -> Ingress {
        Ingress::start_at(setup, free_address())
    }

    pub fn start_at(setup: &Setup, address: SocketAddr) -> Ingress {
        let config = folder().join(format!("{}-{}.json", setup.name, now_ms()));
        fs::write(&config, setup.config(address)).expect("the configuration");
        let log = File::create(config.with_extension("log")).expect("the log");
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy_command("run")])
            .current_dir(root())
            .env("LB_NAME", &setup.name)
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", setup.discovery.to_string())
            .env("LB_CONFIG", &config)
            .env("LB_LOG", std::env::var("CASE_LOG").unwrap_or_else(|_| "info".to_string()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the ingress");
        let pid = child.id();
        let child = Arc::new(Mutex::new(child));
        lock(&CHILDREN).push(Arc::clone(&child));
        record(format!("start  {} pid {pid} at {address}", setup.name));
        let ingress = Ingress { name: setup.name.clone(), address, pid, child, config };
        let until = now_ms() + 30_000;
        while !ingress.ping() {
            if now_ms() > until || !ingress.is_running() {
                finish(COULD_NOT_RUN, "the ingress is not ready");
            }
            sleep_ms(20);
        }
        record(format!("ready  {}", setup.name));
        ingress
    }

    fn ping(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut wire = Wire::new(stream);
        wire.stream.write_all(&command(&[b"PING"])).is_ok()
            && wire.read_line().is_ok_and(|line| line == b"+PONG")
    }

    pub fn is_running(&self) -> bool {
        matches!(lock(&self.child).try_wait(), Ok(None))
    }

    /// Where standard error of the process goes.
    pub fn log(&self) -> PathBuf {
        self.config.with_extension("log")
    }

    /// Replaces the configuration file.
    pub fn write_config(&self, setup: &Setup) {
        let next = self.config.with_extension("next");
        fs::write(&next, setup.config(self.address)).expect("the configuration");
        fs::rename(next, &self.config).expect("the configuration");
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        record(format!("signal {} {signal}", self.name));
        let sent = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {}", self.pid)]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal was not sent");
    }

    /// Kills the process outright.
    pub fn kill(&self) {
        let mut child = lock(&self.child);
        let _ = child.kill();
        let _ = child.wait();
        record(format!("killed {}", self.name));
    }

    /// The resident memory, in KB.
    pub fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }
}

/// Connects a client.
pub fn connect(address: SocketAddr) -> io::Result<Wire> {
    TcpStream::connect_timeout(&address, Duration::from_secs(10)).map(Wire::new)
}

/// Removes the files of the run; `KEEP=1` keeps them.
fn clean_up() {
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(folder());
    } else {
        println!("files in {}", folder().display());
    }
}
