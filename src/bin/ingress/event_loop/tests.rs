//! Tests of [`super`].

use super::shutdown::{Phase, ACCEPTING_CHECK_INTERVAL, MAX_DRAINING_TIME, MIN_ACCEPTING_TIME};
use super::timer_queue::Timer;
use super::*;
use crate::clients::{AcceptOutcome, ClientEvent, LINGER_TIMEOUT};
use crate::config::tests::CONFIG;
use crate::config::Config;
use crate::discovery::{EndpointEntry, EndpointList};
use crate::error_chain::ErrorChain;
use crate::readiness::Readiness;
use crate::resp;
use crate::start_retry::StartRetry;
use ingress::{BackendId, Endpoint, EndpointUpdate, UnixTime};
use std::io::{Read, Write};
use std::net::{Shutdown as Direction, SocketAddr, TcpListener, TcpStream, UdpSocket};

/// A command that is answered by the ingress itself.
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// Starts an event loop with a configuration, which a reload reads again from the file at `path`.
fn started_with(config: Config, path: String) -> Result<EventLoop, EventLoopError> {
    let retry = StartRetry::new();
    EventLoop::start(config, Reload::new(path), register_signals(retry).unwrap(), retry)
}

/// Starts an event loop whose iterations the test runs, and connects a client to it.
fn start(name: &str, config: &str) -> (EventLoop, TcpStream) {
    let file = std::env::temp_dir().join(format!("ingress-{name}-{}.json", std::process::id()));
    std::fs::write(&file, config).unwrap();
    let path = file.to_str().unwrap().to_string();
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let variable = |name: &str| (name == "LB_LISTEN").then(|| address.to_string());
    let config = Config::read(&path, variable).unwrap();
    let event_loop = started_with(config, path).unwrap();
    std::fs::remove_file(&file).unwrap();
    let client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
    (event_loop, client)
}

/// The rest of a command arrives between the last read and the exit of the process. The kernel has accepted
/// these bytes: without another read, the exit would reset the connection and lose the command.
#[test]
fn commands_received_just_before_the_exit_are_answered() {
    let (mut event_loop, mut client) = start("end", CONFIG);
    while event_loop.clients.len() == 0 {
        event_loop.accept();
    }
    // The shutdown began long ago and all requests are answered; half a command of this client has arrived.
    client.write_all(b"*1\r\n$4\r\nPI").unwrap();
    while event_loop.clients.idle_count() > 0 {
        event_loop.clients.read_all(event_loop.now);
    }
    let since = event_loop.now - MAX_DRAINING_TIME - Duration::MICROSECOND;
    event_loop.shutdown.phase = Phase::Draining { reply_deadline: Instant::FAR_FUTURE, since };
    client.write_all(b"NG\r\n").unwrap();
    event_loop.drain_and_check_finished();
    let mut reply = [0; 7];
    client.set_read_timeout(Some(std::time::Duration::from_millis(200))).unwrap();
    client.read_exact(&mut reply).expect("a reply before the exit");
    assert_eq!(&reply, b"+PONG\r\n");
}

/// The last reply is written just before the exit, and its client has sent a part of a further command. If the
/// process exited at once, the rest of that command would reset the connection, and the reply could be lost. The
/// exit waits until the client had time to read, and no longer.
#[test]
fn the_exit_waits_until_the_last_reply_can_have_arrived() {
    let (mut event_loop, mut client) = start("transit", CONFIG);
    while event_loop.clients.len() == 0 {
        event_loop.accept();
    }
    client.write_all(&[PING, &PING[..5]].concat()).unwrap();
    while event_loop.clients.busy_count() == 0 {
        event_loop.clients.read_all(event_loop.now);
    }
    event_loop.clients.flush(event_loop.now);
    let since = event_loop.now - MAX_DRAINING_TIME - Duration::MICROSECOND;
    event_loop.shutdown.phase = Phase::Draining { reply_deadline: event_loop.now, since };
    assert!(!event_loop.drain_and_check_finished(), "the reply is in transit");
    client.write_all(&PING[5..]).unwrap();
    assert!(!event_loop.drain_and_check_finished(), "the rest of the command is not read");
    let mut reply = Vec::new();
    client.read_to_end(&mut reply).expect("the end of the connection, without a reset");
    assert_eq!(reply, b"+PONG\r\n");
    event_loop.now += LINGER_TIMEOUT;
    assert!(event_loop.drain_and_check_finished(), "the client had its time");
}

/// During a shutdown, 100 clients are waiting to be accepted, more than one batch. Their connections are
/// established and their commands sent, and closing the listener would reset them: they have to be accepted
/// and answered first.
#[test]
fn clients_queued_when_the_listener_closes_are_answered() {
    let (mut event_loop, first) = start("line", CONFIG);
    let address = first.peer_addr().unwrap();
    let mut clients: Vec<_> = (0..100).map(|_| TcpStream::connect(address).unwrap()).collect();
    for client in &mut clients {
        client.write_all(PING).unwrap();
    }
    // The shutdown has begun; the time for accepting is over at the next iteration.
    event_loop.shutdown.phase = Phase::Accepting { reply_deadline: event_loop.now + MIN_ACCEPTING_TIME };
    event_loop.timers.schedule(event_loop.now, Timer::CheckAccepting);
    while !event_loop.shutdown.is_draining() {
        event_loop.now += ACCEPTING_CHECK_INTERVAL;
        event_loop.process_ready(&mut []);
    }
    event_loop.clients.read_all(event_loop.now);
    event_loop.clients.flush(event_loop.now);
    for (index, client) in clients.iter_mut().enumerate() {
        let mut reply = [0; 7];
        client.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
        client.read_exact(&mut reply).unwrap_or_else(|error| panic!("client {index}: {error}"));
        assert_eq!(&reply, b"+PONG\r\n");
    }
}

/// A request arrives after the reply deadline of the shutdown. It is rejected at once, so that the client can
/// try another ingress; an opened request would be lost when the process exits.
#[test]
fn requests_after_the_reply_deadline_are_rejected_at_once() {
    let (mut event_loop, mut client) = start("late", CONFIG);
    while event_loop.clients.len() == 0 {
        event_loop.accept();
    }
    event_loop.shutdown.phase = Phase::Draining { reply_deadline: event_loop.now, since: event_loop.now };
    client.write_all(&request_command(1)).unwrap();
    event_loop.drain_and_check_finished();
    let mut reply = [0; 7];
    client.read_exact(&mut reply).unwrap();
    assert_eq!((&reply, event_loop.requests.len()), (b"-BUSY\r\n", 0));
}

/// Returns an encoded request of the customer with this number, with a unique id.
fn request_command(number: usize) -> Vec<u8> {
    let (customer, id) = (format!("{number:016x}"), format!("q{number}"));
    let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
    let mut command = Vec::new();
    resp::write_array_header(&mut command, 4);
    for word in ["CALL.GET", &customer, &id, options] {
        resp::write_bulk_string(&mut command, &[word.as_bytes()]);
    }
    command
}

/// Whether the settings let the gateway cancel attempts.
#[derive(Clone, Copy, Debug)]
enum Cancellation {
    Allowed,
    Forbidden,
}

/// The way in which clients disconnect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disconnect {
    /// The client closes the connection.
    Full,
    /// The client closes only its sending direction.
    Half,
}

/// A client whose request is in flight.
struct ClientInFlight {
    client: TcpStream,
    /// The number of commands that backends received for the request.
    commands: usize,
}

/// An event loop between clients and two backends, which the test implements.
struct Harness {
    event_loop: EventLoop,
    backends: [TcpListener; 2],
    /// The connections accepted by each backend.
    connections: [Vec<TcpStream>; 2],
    address: SocketAddr,
}

impl Harness {
    fn new(name: &str, cancellation: Cancellation) -> Harness {
        let backend = || {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            listener.set_nonblocking(true).unwrap();
            listener
        };
        let backends = [backend(), backend()];
        let entry = |index: usize| {
            let address = backends[index].local_addr().unwrap();
            format!(
                r#"{{"name":"s-{index}","address":"{address}","zone":"a","type":"m","group":0,"status":"up","weight":1,"since_ms":0}}"#
            )
        };
        let cancelling = matches!(cancellation, Cancellation::Allowed);
        let config = CONFIG
            .replace("\"endpoints\":[]", &format!("\"endpoints\":[{},{}]", entry(0), entry(1)))
            .replace("\"cancelling\":true", &format!("\"cancelling\":{cancelling}"))
            .replace("\"quota_rate\":1.5,\"burst\":7.0", "\"quota_rate\":1000.0,\"burst\":1000.0");
        let (event_loop, client) = start(name, &config);
        let connections = [Vec::new(), Vec::new()];
        Harness { event_loop, backends, connections, address: client.peer_addr().unwrap() }
    }

    fn client(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }

    /// Connects a client and runs iterations until its request is in flight.
    fn client_in_flight(&mut self) -> ClientInFlight {
        let mut client = self.client();
        client.write_all(&request_command(1)).unwrap();
        let mut commands = 0;
        self.iterate_until("the first attempt is sent", |harness| {
            commands += harness.take_commands();
            commands > 0
        });
        ClientInFlight { client, commands }
    }

    /// Polls, without running an iteration, until the ready sockets satisfy a condition.
    fn poll_until(&mut self, condition: impl Fn(&[ReadySocket]) -> bool) -> Vec<ReadySocket> {
        let (mut events, mut ready) = (Events::with_capacity(1024), Vec::new());
        for _ in 0..10_000 {
            self.event_loop.poll.poll(&mut events, Some(std::time::Duration::from_millis(1))).unwrap();
            ready.extend(events.iter().map(ReadySocket::from));
            if condition(&ready) {
                return ready;
            }
        }
        panic!("the expected sockets did not become ready: {ready:?}");
    }

    /// Runs iterations, without advancing the clock, until a condition is satisfied.
    fn iterate_until(&mut self, what: &str, mut condition: impl FnMut(&mut Harness) -> bool) {
        for _ in 0..10_000 {
            if condition(self) {
                return;
            }
            let mut ready = self.poll_until(|_| true);
            self.event_loop.process_ready(&mut ready);
            self.accept();
        }
        panic!("condition not fulfilled: {what}");
    }

    fn accept(&mut self) {
        for (backend, connections) in self.backends.iter().zip(&mut self.connections) {
            while let Ok((connection, _)) = backend.accept() {
                connection.set_nonblocking(true).unwrap();
                connections.push(connection);
            }
        }
    }

    /// Returns the number of commands that backends have received since the last call.
    fn take_commands(&mut self) -> usize {
        self.accept();
        let (mut commands, mut chunk) = (0, [0; 4096]);
        for connection in self.connections.iter_mut().flatten() {
            while let Ok(length @ 1..) = connection.read(&mut chunk) {
                commands += chunk[..length].windows(8).filter(|bytes| bytes == b"CALL.GET").count();
            }
        }
        commands
    }

    /// Runs iterations, one per tick, and returns the number of commands that backends received.
    fn take_commands_after(&mut self, iterations: u64) -> usize {
        let mut commands = self.take_commands();
        for _ in 0..iterations {
            self.event_loop.now += self.event_loop.tick;
            let mut ready = self.poll_until(|_| true);
            self.event_loop.process_ready(&mut ready);
            commands += self.take_commands();
        }
        commands
    }

    /// Disconnects clients and polls until all disconnects are reported, so that one iteration handles them
    /// all.
    fn disconnect(&mut self, clients: Vec<TcpStream>, disconnect: Disconnect) -> Vec<ReadySocket> {
        let count = clients.len();
        match disconnect {
            Disconnect::Full => drop(clients),
            Disconnect::Half => {
                for client in &clients {
                    client.shutdown(Direction::Write).unwrap();
                }
                clients.into_iter().for_each(std::mem::forget); // half open until the test ends
            }
        }
        let is_disconnected =
            |socket: &&ReadySocket| socket.closed && matches!(socket.source(), Source::Client(_));
        self.poll_until(|ready| ready.iter().filter(is_disconnected).count() >= count)
    }
}

/// A backend rejects an attempt in the iteration in which the client disconnects. If the reply were handled
/// before the disconnect, a retry would be sent to another backend for a disconnected client.
#[test]
fn a_rejected_attempt_is_not_retried_for_a_disconnected_client() {
    for (cancellation, kind) in [
        (Cancellation::Allowed, Disconnect::Full),
        (Cancellation::Forbidden, Disconnect::Full),
        (Cancellation::Allowed, Disconnect::Half),
        (Cancellation::Forbidden, Disconnect::Half),
    ] {
        let mut harness = Harness::new("disconnect-retry", cancellation);
        let ClientInFlight { client, commands: first } = harness.client_in_flight();
        for connection in harness.connections.iter_mut().flatten() {
            connection.write_all(b"-BUSY\r\n").unwrap();
        }
        let replied = |socket: &ReadySocket| matches!(socket.source(), Source::Backend(_));
        let mut ready = harness.poll_until(|ready| ready.iter().any(replied));
        ready.extend(harness.disconnect(vec![client], kind));
        harness.event_loop.process_ready(&mut ready);
        assert_eq!((first, harness.take_commands_after(200)), (1, 0), "{cancellation:?}, {kind:?}");
    }
}

/// 40 clients whose requests exceed the concurrency limit disconnect at once. If the first request ended
/// before the other disconnects were handled, its place would go to a queued request of a disconnected
/// client.
#[test]
fn no_queued_request_of_a_disconnected_client_is_sent() {
    for (cancellation, kind) in [
        (Cancellation::Allowed, Disconnect::Full),
        (Cancellation::Forbidden, Disconnect::Full),
        (Cancellation::Allowed, Disconnect::Half),
    ] {
        let mut harness = Harness::new("disconnect-burst", cancellation);
        let mut clients: Vec<_> = (0..40).map(|_| harness.client()).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            client.write_all(&request_command(number)).unwrap();
        }
        let mut sent = 0;
        harness.iterate_until("some requests are queued", |harness| {
            sent += harness.take_commands();
            harness.event_loop.requests.len() >= 22
        });
        sent += harness.take_commands_after(1);
        assert!((1..22).contains(&sent), "{sent} sent");
        let mut ready = harness.disconnect(clients, kind);
        harness.event_loop.process_ready(&mut ready);
        assert_eq!(harness.take_commands_after(200), 0, "{cancellation:?}, {kind:?}");
    }
}

/// A client sends a request and disconnects, and both are handled in the same iteration. The request must not
/// be forwarded, since no client waits for the result.
#[test]
fn requests_sent_just_before_a_disconnect_are_not_forwarded() {
    for kind in [Disconnect::Full, Disconnect::Half] {
        let mut harness = Harness::new("disconnect-after-send", Cancellation::Allowed);
        let mut client = harness.client();
        let before = harness.event_loop.clients.len();
        harness.iterate_until("the client is accepted", |harness| harness.event_loop.clients.len() > before);
        client.write_all(&request_command(1)).unwrap();
        let mut ready = harness.disconnect(vec![client], kind);
        harness.event_loop.process_ready(&mut ready);
        assert_eq!(harness.take_commands_after(50), 0, "{kind:?}");
    }
}

/// A client disconnects in the iteration in which its request is due to be hedged or retried after a timeout.
/// The disconnect is handled first; otherwise a second backend would receive a request that no client waits
/// for.
#[test]
fn due_timers_begin_no_attempt_for_a_disconnected_client() {
    for cancellation in [Cancellation::Allowed, Cancellation::Forbidden] {
        let mut harness = Harness::new("disconnect-hedge", cancellation);
        let ClientInFlight { client, commands: first } = harness.client_in_flight();
        let mut ready = harness.disconnect(vec![client], Disconnect::Full);
        harness.event_loop.now += Duration::from_millis(300); // past the hedging delay
        harness.event_loop.process_ready(&mut ready);
        assert_eq!((first, harness.take_commands_after(100)), (1, 0), "{cancellation:?}");
    }
}

/// A client's connection is closed for lack of memory while the commands of an iteration are handled, after
/// the iteration's disconnects were reported. Unless this disconnect is reported separately, the gateway
/// continues to retry the request of a disconnected client.
#[test]
fn a_disconnect_between_two_commands_closes_the_request() {
    let mut harness = Harness::new("disconnect-between", Cancellation::Allowed);
    let ClientInFlight { client: _client, commands: first } = harness.client_in_flight();
    let id = harness.event_loop.requests.ids()[0];
    harness.event_loop.process_client_event(ClientEvent::Disconnected(id));
    harness.event_loop.run_gateway();
    assert_eq!(
        (first, harness.event_loop.requests.len()),
        (1, 0),
        "its attempt is cancelled, and the request is closed"
    );
    assert_eq!(harness.take_commands_after(200), 0);
}

/// The event loop stalls while a connection is established, until the time for beginning the attempt has
/// passed. The connected socket is handled before the timers, so the command could be sent although the
/// backend may have expired the idempotency key. The retry must not begin either: by the loop's time there is
/// time left, but by the exact time the client's timeout has passed.
#[test]
fn an_attempt_does_not_begin_on_a_connection_established_too_late() {
    // The accept queue is full: no connection is established until the queue is emptied.
    let backend = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    backend.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    backend.listen(0).unwrap();
    let address = backend.local_addr().unwrap().as_socket().unwrap();
    let fillers: Vec<_> = (0..4)
        .map(|_| {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        })
        .collect();
    let mut harness = Harness::new("late-connection", Cancellation::Allowed);
    let backend_id = BackendId(7);
    let endpoint = Endpoint { backend: backend_id, ..Endpoint::default() };
    let entries = vec![EndpointEntry { endpoint, started_at: UnixTime::default(), address: Some(address) }];
    let list = EndpointList { index: 2, is_snapshot: true, entries };
    harness.event_loop.apply_endpoints(&list, EndpointUpdate::Snapshot);
    harness.event_loop.run_gateway();
    let mut client = harness.client();
    client.write_all(&request_command(1)).unwrap();
    harness.iterate_until("the connection is started", |harness| {
        harness.event_loop.backend_connections.len() == 1
    });
    drop(fillers);
    let listener: TcpListener = backend.into();
    listener.set_nonblocking(true).unwrap();
    let mut accepted = Vec::new();
    let mut accept_all = || accepted.extend(std::iter::from_fn(|| listener.accept().ok()));
    let mut ready = Vec::new();
    let is_up = |socket: &ReadySocket| {
        matches!(socket.source(), Source::Backend(_)) && socket.readiness == Readiness::Writable
    };
    while !ready.iter().any(is_up) {
        accept_all();
        ready.extend(harness.poll_until(|_| true));
    }
    // The queue is empty, so a retry after the client's timeout would connect at once.
    accept_all();
    // The loop has stalled since connecting began: the timer is due, and nothing was handled in between.
    harness.event_loop.now += harness.event_loop.connect_timeout;
    harness.event_loop.process_ready(&mut ready);
    accept_all();
    for (mut connection, _) in accepted {
        connection.set_read_timeout(Some(std::time::Duration::from_millis(100))).unwrap();
        let received = connection.read(&mut [0; 4096]);
        assert!(!matches!(received, Ok(1..)), "the backend received a command: {received:?}");
    }
}

/// All descriptors are in use, and accepting fails for one client after another. If each failure set a timer
/// that sets the next one, every new client would add a retry every 10 ms while descriptors are short. One
/// timer is set, however often accepting fails.
#[test]
fn repeated_accept_failures_schedule_one_retry() {
    // 8 connections beyond the reserved descriptors, 6 of them for clients.
    let config = CONFIG.replacen("\"sockets\":256", "\"sockets\":36", 1);
    let (mut event_loop, first) = start("accept-retry", &config);
    let address = first.peer_addr().unwrap();
    // Clients with an incomplete command are not closed to free descriptors for others.
    let mut clients = vec![first];
    clients.extend((0..20).map(|_| TcpStream::connect(address).unwrap()));
    for client in &mut clients {
        client.write_all(&PING[..6]).unwrap();
    }
    while event_loop.accept() != AcceptOutcome::RetryLater {
        event_loop.clients.read_all(event_loop.now);
    }
    (0..5).for_each(|_| assert_eq!(event_loop.accept(), AcceptOutcome::RetryLater));
    let due = event_loop.timers.take_due(Instant::FAR_FUTURE);
    assert_eq!(due.iter().filter(|timer| **timer == Timer::RetryAccept).count(), 1);
}

/// Startup fails because a limit is too low or an address is in use. The error names the setting, by which
/// operators find the cause.
#[test]
fn each_startup_failure_names_its_setting() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let datagrams = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (address, peer) = (taken.local_addr().unwrap(), datagrams.local_addr().unwrap());
    let in_use = "Address already in use (os error 98)";
    let own_peers = format!("{{\"peer_listen\":\"{peer}\",\"peers\":[\"{peer}\"],");
    for (config, text) in [
        (
            CONFIG.replacen("\"sockets\":256", "\"sockets\":3", 1),
            "limits.sockets or the system's limit is too low: 3 file descriptors".into(),
        ),
        (
            CONFIG.replacen("127.0.0.1:0", &address.to_string(), 1),
            format!("listen: cannot listen on {address}: {in_use}"),
        ),
        (
            CONFIG.replacen("\"peers\":false", "\"peers\":true", 1).replacen('{', &own_peers, 1),
            format!("peer_listen: cannot bind {peer}: {in_use}"),
        ),
    ] {
        let config = Config::parse(&config, |_| None).ok().unwrap();
        let started = started_with(config, String::new());
        assert_eq!(ErrorChain(&started.err().unwrap()).to_string(), text);
    }
}
