//! Tests of clients that disconnect while their requests are in progress.

use super::*;

/// The longest deadline in the settings.
const LONGEST_DEADLINE: Duration = Duration::from_secs(1);

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

/// A client disconnects while its request is executed, and sends it again on another connection 1.5 s later. The
/// request must not be forwarded again, since the backend could execute it twice. After the longest timeout of a
/// request nobody waits for the first one, and its id is forgotten, so that ids do not use memory without end.
#[test]
fn a_request_sent_again_after_its_client_left_is_not_forwarded_again() {
    let mut harness = Harness::new("disconnect-again", Cancellation::Allowed);
    let ClientInFlight { client, commands: first } = harness.client_in_flight();
    let mut ready = harness.disconnect(vec![client], Disconnect::Full);
    harness.event_loop.process_ready(&mut ready);
    let commands_of_repetition = |harness: &mut Harness, later: Duration| {
        harness.event_loop.now += later;
        let waited = harness.take_commands_after(1); // The sweep removes expired ids.
        harness.event_loop.clients.set_arrival_time(harness.event_loop.now);
        let mut again = harness.client();
        again.write_all(&request_command(1)).unwrap();
        waited + harness.take_commands_after(100)
    };
    let soon = commands_of_repetition(&mut harness, Duration::from_millis(1500));
    assert_eq!((first, soon), (1, 0), "the request is executed once");
    let late = commands_of_repetition(&mut harness, LONGEST_DEADLINE + Duration::from_secs(1));
    assert!(late > 0, "the id is forgotten");
}

/// A request is rejected without an attempt. Nothing can be executed twice, so its client may send it again at
/// once; ids of rejected requests that are kept would use up the memory.
#[test]
fn the_id_of_a_request_without_an_attempt_is_not_kept() {
    let (mut event_loop, mut client) = start("rejected-id", CONFIG);
    for _ in 0..2 {
        client.write_all(&request_command(1)).unwrap();
        client.set_nonblocking(true).unwrap();
        let mut reply = Vec::new();
        for _ in 0..10_000 {
            let mut events = Events::with_capacity(16);
            event_loop.poll.poll(&mut events, Some(std::time::Duration::from_millis(1))).unwrap();
            event_loop.now += event_loop.tick;
            let mut ready: Vec<ReadySocket> = events.iter().map(ReadySocket::from).collect();
            event_loop.process_ready(&mut ready);
            let _ = client.read_to_end(&mut reply);
            if reply.ends_with(b"\r\n") {
                break;
            }
        }
        client.set_nonblocking(false).unwrap();
        assert!(reply.starts_with(b"-BUSY"), "{}", String::from_utf8_lossy(&reply));
    }
    assert_eq!(event_loop.requests.memory(), 0);
}

/// A client sends more than the kernel holds, while its first requests are not answered, and disconnects. The
/// kernel reports the disconnect behind the last input, so that reading must not stop at the backlog of replies.
/// Otherwise attempts of a disconnected client would begin until the first reply fails.
#[test]
fn a_disconnect_behind_unread_requests_is_detected() {
    const REQUESTS: usize = 6000;
    let mut harness = Harness::new("disconnect-unread", Cancellation::Allowed);
    let mut client = harness.client();
    socket2::SockRef::from(&client).set_send_buffer_size(1 << 20).unwrap();
    let commands: Vec<u8> = (0..REQUESTS).flat_map(request_command).collect();
    client.set_nonblocking(true).unwrap();
    let mut sent = 0;
    harness.iterate_until("all requests are sent", |_| {
        sent += client.write(&commands[sent..]).unwrap_or(0);
        sent == commands.len()
    });
    harness.iterate_until("the first requests are read", |harness| harness.event_loop.requests.len() >= 22);
    drop(client);
    harness.iterate_until("the disconnect is detected", |harness| harness.event_loop.clients.len() <= 1);
    harness.take_commands();
    assert_eq!(harness.take_commands_after(100), 0);
}
