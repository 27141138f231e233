//! Tests of [`super`].

use super::shutdown::{Phase, ACCEPTING_CHECK_INTERVAL, MAX_DRAINING_TIME, MIN_ACCEPTING_TIME};
use super::timer_queue::Timer;
use super::*;
use crate::config::tests::CONFIG;
use crate::config::Config;
use crate::error_chain::ErrorChain;
use crate::resp;
use std::io::{Read, Write};

/// An ingress in this process, whose turns the test takes.
fn ingress(name: &str) -> (EventLoop, std::net::TcpStream) {
    ingress_of(name, CONFIG)
}

fn ingress_of(name: &str, config: &str) -> (EventLoop, std::net::TcpStream) {
    let file = std::env::temp_dir().join(format!("ingress-{name}-{}.json", std::process::id()));
    std::fs::write(&file, config).unwrap();
    let path = file.to_str().unwrap().to_string();
    let probe = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = probe.local_addr().unwrap();
    drop(probe);
    let var = |name: &str| (name == "LB_LISTEN").then(|| at.to_string());
    let config = Config::read(&path, var).unwrap();
    let ingress = EventLoop::start(config, Reload::new(path), register_signals().unwrap()).unwrap();
    std::fs::remove_file(&file).unwrap();
    let client = std::net::TcpStream::connect(at).unwrap();
    client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    (ingress, client)
}

/// Guards against an end with something unread: what came behind the last look at a connection was taken, and with
/// the connection it would be reset.
#[test]
fn what_was_said_just_before_the_end_is_answered_first() {
    let (mut ingress, mut client) = ingress("end");
    while ingress.clients.len() == 0 {
        ingress.accept();
    }
    // Told to stop long ago, and all is answered; half a command of this one has come.
    client.write_all(b"*1\r\n$4\r\nPI").unwrap();
    while ingress.clients.idle_count() > 0 {
        ingress.clients.read_all(ingress.now);
    }
    let since = ingress.now - MAX_DRAINING_TIME - 1;
    ingress.shutdown.phase = Phase::Draining { reply_deadline: Micros::MAX, since };
    client.write_all(b"NG\r\n").unwrap();
    ingress.can_exit();
    let mut answer = [0; 7];
    client.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    client.read_exact(&mut answer).expect("an answer before the end");
    assert_eq!(&answer, b"+PONG\r\n");
}

/// Guards against a port that is closed with clients in its line, who have asked and were taken by the kernel: with
/// the port they are reset. More wait than are accepted in a turn.
#[test]
fn those_in_the_line_when_the_port_closes_are_answered() {
    let (mut ingress, first) = ingress("line");
    let at = first.peer_addr().unwrap();
    let mut clients: Vec<_> = (0..100).map(|_| std::net::TcpStream::connect(at).unwrap()).collect();
    clients.iter_mut().for_each(|c| c.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap());
    // Told to stop; the time of accepting has run out by the next turn.
    ingress.shutdown.phase = Phase::Accepting { reply_deadline: ingress.now + MIN_ACCEPTING_TIME };
    ingress.timers.schedule(ingress.now, Timer::StopAccepting);
    while !ingress.shutdown.is_draining() {
        ingress.now += ACCEPTING_CHECK_INTERVAL;
        ingress.process_ready(&mut []);
    }
    ingress.clients.read_all(ingress.now);
    ingress.clients.flush(ingress.now);
    for (n, client) in clients.iter_mut().enumerate() {
        let mut answer = [0; 7];
        client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        client.read_exact(&mut answer).unwrap_or_else(|e| panic!("client {n}: {e}"));
        assert_eq!(&answer, b"+PONG\r\n");
    }
}

/// Guards against a request that is taken up when its time until the end is over already.
#[test]
fn what_comes_when_no_time_is_left_is_refused_at_once() {
    let (mut ingress, mut client) = ingress("late");
    while ingress.clients.len() == 0 {
        ingress.accept();
    }
    ingress.shutdown.phase = Phase::Draining { reply_deadline: ingress.now, since: ingress.now };
    let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
    let mut call = Vec::new();
    resp::write_array_header(&mut call, 4);
    for word in ["CALL.GET", "0000000000000001", "q1", options] {
        resp::write_bulk_string(&mut call, &[word.as_bytes()]);
    }
    client.write_all(&call).unwrap();
    ingress.can_exit();
    let mut answer = [0; 7];
    client.read_exact(&mut answer).unwrap();
    assert_eq!((&answer, ingress.requests.len()), (b"-BUSY\r\n", 0));
}

// ---- Clients that have gone ----

/// An ingress in this process before two backends that the test plays.
struct Stage {
    ingress: EventLoop,
    backends: [std::net::TcpListener; 2],
    /// Connections that backends have accepted.
    links: [Vec<std::net::TcpStream>; 2],
    at: std::net::SocketAddr,
}

impl Stage {
    fn new(name: &str, cancel: bool) -> Stage {
        let backend = || {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            listener.set_nonblocking(true).unwrap();
            listener
        };
        let backends = [backend(), backend()];
        let entry = |n: usize| {
            let at = backends[n].local_addr().unwrap();
            format!(
                r#"{{"name":"s-{n}","address":"{at}","zone":"a","type":"m","group":0,"status":"up","weight":1,"since_ms":0}}"#
            )
        };
        let config = CONFIG
            .replace("\"endpoints\":[]", &format!("\"endpoints\":[{},{}]", entry(0), entry(1)))
            .replace("\"cancelling\":true", &format!("\"cancelling\":{cancel}"))
            .replace("\"quota_rate\":1.5,\"burst\":7.0", "\"quota_rate\":1000.0,\"burst\":1000.0");
        let (ingress, client) = ingress_of(name, &config);
        Stage { ingress, backends, links: [Vec::new(), Vec::new()], at: client.peer_addr().unwrap() }
    }

    fn client(&self) -> std::net::TcpStream {
        std::net::TcpStream::connect(self.at).unwrap()
    }

    fn call(id: usize) -> Vec<u8> {
        let (customer, id) = (format!("{id:016x}"), format!("q{id}"));
        let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
        let mut call = Vec::new();
        resp::write_array_header(&mut call, 4);
        for word in ["CALL.GET", &customer, &id, options] {
            resp::write_bulk_string(&mut call, &[word.as_bytes()]);
        }
        call
    }

    /// A client whose request is with a backend, and how many commands came for it.
    fn begun(&mut self) -> (std::net::TcpStream, usize) {
        let mut client = self.client();
        client.write_all(&Stage::call(1)).unwrap();
        let mut first = 0;
        self.turns("the first attempt", |s| {
            first += s.commands();
            first > 0
        });
        (client, first)
    }

    /// What is ready at once, with no turn taken.
    fn gather(&mut self, until: impl Fn(&[ReadySocket]) -> bool) -> Vec<ReadySocket> {
        let (mut events, mut ready) = (Events::with_capacity(1024), Vec::new());
        for _ in 0..10_000 {
            self.ingress.poll.poll(&mut events, Some(Duration::from_millis(1))).unwrap();
            ready.extend(events.iter().map(ReadySocket::from));
            if until(&ready) {
                return ready;
            }
        }
        panic!("it did not come: {ready:?}");
    }

    /// Takes turns, the clock standing still, until something holds.
    fn turns(&mut self, what: &str, mut until: impl FnMut(&mut Stage) -> bool) {
        for _ in 0..10_000 {
            if until(self) {
                return;
            }
            let mut ready = self.gather(|_| true);
            self.ingress.process_ready(&mut ready);
            self.accept();
        }
        panic!("never: {what}");
    }

    fn accept(&mut self) {
        for n in 0..2 {
            while let Ok((link, _)) = self.backends[n].accept() {
                link.set_nonblocking(true).unwrap();
                self.links[n].push(link);
            }
        }
    }

    /// How many commands backends have got so far.
    fn commands(&mut self) -> usize {
        self.accept();
        let (mut all, mut chunk) = (0, [0; 4096]);
        for link in self.links.iter_mut().flatten() {
            while let Ok(n @ 1..) = std::io::Read::read(link, &mut chunk) {
                all += chunk[..n].windows(8).filter(|w| w == b"CALL.GET").count();
            }
        }
        all
    }

    /// Takes some more turns, each with a clock of its own, and tells how many commands came in them.
    fn goes_on(&mut self, turns: u64) -> usize {
        let mut all = self.commands();
        for _ in 0..turns {
            self.ingress.now += self.ingress.tick;
            let mut ready = self.gather(|_| true);
            self.ingress.process_ready(&mut ready);
            all += self.commands();
        }
        all
    }

    /// Lets clients end, and gathers that all of them have: told at once, in the same turn.
    fn all_left(&mut self, clients: Vec<std::net::TcpStream>, half: bool) -> Vec<ReadySocket> {
        let n = clients.len();
        if half {
            clients.iter().for_each(|c| c.shutdown(std::net::Shutdown::Write).unwrap());
            self.keep(clients);
        } else {
            drop(clients);
        }
        let gone = |socket: &&ReadySocket| socket.closed && matches!(socket.source(), Source::Client(_));
        self.gather(|ready| ready.iter().filter(gone).count() >= n)
    }

    /// Half-closed clients stay to the end of the test.
    fn keep(&mut self, clients: Vec<std::net::TcpStream>) {
        clients.into_iter().for_each(std::mem::forget);
    }
}

/// Guards against a further attempt for a client whose end has come in the same turn as what makes the first one fail: the
/// backends' sockets were looked at first.
#[test]
fn a_backend_that_turns_away_for_a_client_that_has_gone_is_not_followed_by_another() {
    for (cancel, half) in [(true, false), (false, false), (true, true), (false, true)] {
        let mut stage = Stage::new("gone-retry", cancel);
        let (client, first) = stage.begun();
        for link in stage.links.iter_mut().flatten() {
            link.write_all(b"-BUSY\r\n").unwrap();
        }
        let replied = |socket: &ReadySocket| matches!(socket.source(), Source::Backend(_));
        let mut ready = stage.gather(|ready| ready.iter().any(replied));
        ready.extend(stage.all_left(vec![client], half));
        stage.ingress.process_ready(&mut ready);
        assert_eq!((first, stage.goes_on(200)), (1, 0), "cancel {cancel}, half {half}");
    }
}

/// Guards against a burst: the place that one leaves went to the next one, which had gone as well.
#[test]
fn of_many_clients_that_go_at_once_none_begins_in_the_place_of_another() {
    for (cancel, half) in [(true, false), (false, false), (true, true)] {
        let mut stage = Stage::new("gone-burst", cancel);
        let mut clients: Vec<_> = (0..40).map(|_| stage.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.write_all(&Stage::call(n)).unwrap();
        }
        let mut begun = 0;
        stage.turns("some wait for a place", |s| {
            begun += s.commands();
            s.ingress.requests.len() >= 22
        });
        begun += stage.goes_on(1);
        assert!((1..22).contains(&begun), "{begun} begun");
        let mut ready = stage.all_left(clients, half);
        stage.ingress.process_ready(&mut ready);
        assert_eq!(stage.goes_on(200), 0, "cancel {cancel}, half {half}");
    }
}

/// Guards against taking up what a client said before it went, when both are read in one turn.
#[test]
fn what_a_client_said_just_before_it_left_is_not_sent_on() {
    for half in [false, true] {
        let mut stage = Stage::new("gone-said", true);
        let mut client = stage.client();
        let before = stage.ingress.clients.len();
        stage.turns("the client is in", |s| s.ingress.clients.len() > before);
        client.write_all(&Stage::call(1)).unwrap();
        let mut ready = stage.all_left(vec![client], half);
        stage.ingress.process_ready(&mut ready);
        assert_eq!(stage.goes_on(50), 0, "half {half}");
    }
}

/// Guards against a second copy, or a repeat after silence, that falls due in the turn in which its client goes.
#[test]
fn what_falls_due_as_a_client_goes_begins_nothing_for_it() {
    for cancel in [true, false] {
        let mut stage = Stage::new("gone-hedge", cancel);
        let (client, first) = stage.begun();
        let mut ready = stage.all_left(vec![client], false);
        stage.ingress.now += 300_000; // past the time after which silence is answered by a second copy
        stage.ingress.process_ready(&mut ready);
        assert_eq!((first, stage.goes_on(100)), (1, 0), "cancel {cancel}");
    }
}

/// Operators look for these texts: they stay as they are, and name the key at fault.
#[test]
fn a_start_that_fails_tells_why() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let (address, peer) = (taken.local_addr().unwrap(), datagrams.local_addr().unwrap());
    let in_use = "Address already in use (os error 98)";
    let own_peers = format!("{{\"peer_listen\":\"{peer}\",\"peers\":[\"{peer}\"],");
    for (config, text) in [
        (CONFIG.replacen("\"sockets\":256", "\"sockets\":3", 1), "limits.sockets is too few: 3".into()),
        (
            CONFIG.replacen("127.0.0.1:0", &address.to_string(), 1),
            format!("listen: cannot listen at {address}: {in_use}"),
        ),
        (
            CONFIG.replacen("\"peers\":false", "\"peers\":true", 1).replacen('{', &own_peers, 1),
            format!("peer_listen: cannot bind {peer}: {in_use}"),
        ),
    ] {
        let config = Config::parse(&config, |_| None).ok().unwrap();
        let started = EventLoop::start(config, Reload::new(String::new()), register_signals().unwrap());
        assert_eq!(ErrorChain(&started.err().unwrap()).to_string(), text);
    }
}
