//! Tests of [`super`].

use super::pool::MIN_IDLE_TIME;
use super::*;
use crate::discovery::{EndpointEntry, EndpointList};
use crate::readiness::Readiness;
use ingress::{Availability, BackendId, Duration, Endpoint, Instant, Outcome, RequestId, UnixTime};
use mio::{Poll, Token};
use std::io::Write;
use std::net::TcpListener;

const BACKEND: BackendId = BackendId(7);
const START: Instant = Instant::from_micros(1_000_000_000);
/// A reply with the value `one` and without a load report.
const REPLY_ONE: &[u8] = b"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n";

/// Returns the id of the first attempt of a request.
fn attempt(request: u64) -> AttemptId {
    AttemptId { request: RequestId(request), number: 0 }
}

fn zero_timeout(stated_at: Instant) -> StatedTimeout {
    StatedTimeout { stated_at, timeout: Duration::ZERO }
}

/// Connections to one backend whose listener and clock the test controls.
struct Harness {
    connections: BackendConnections,
    poll: Poll,
    listener: TcpListener,
}

impl Harness {
    fn new(keepalive_timeout: Duration) -> Harness {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut connections = BackendConnections::new(keepalive_timeout, Token);
        let endpoint = Endpoint { backend: BACKEND, ..Endpoint::default() };
        let (started_at, address) = (UnixTime::default(), listener.local_addr().ok());
        let entries = vec![EndpointEntry { endpoint, started_at, address }];
        connections.update_endpoints(&EndpointList { index: 1, is_snapshot: true, entries });
        Harness { connections, poll: Poll::new().unwrap(), listener }
    }

    /// Starts an attempt and waits until its command is written.
    fn assign(&mut self, request: u64, now: Instant) -> ConnectionId {
        let encode = |command: &mut Vec<u8>| command.extend_from_slice(b"*1\r\n$4\r\nCALL\r\n");
        let registry = self.poll.registry();
        let assigned =
            self.connections.assign(registry, BACKEND, attempt(request), zero_timeout(now), encode).unwrap();
        while self.connections.has_incomplete_command(assigned.connection) {
            self.connections.on_ready(assigned.connection.key, now, Readiness::Writable);
        }
        assigned.connection
    }

    /// Reads from a connection until an exchange completes.
    fn completion(&mut self, connection: ConnectionId, now: Instant) -> ExchangeCompletion {
        for _ in 0..1_000_000 {
            if let Some(completion) = self.connections.completions.pop() {
                return completion;
            }
            self.connections.on_ready(connection.key, now, Readiness::Readable);
        }
        panic!("no exchange completed");
    }

    /// Sends a reply on a connection and reads it.
    fn serve(&mut self, peer: &mut impl Write, connection: ConnectionId, now: Instant) {
        peer.write_all(REPLY_ONE).unwrap();
        self.completion(connection, now);
    }
}

/// A backend's process ends with its host, and a new one comes up at the same address. The connections to the old
/// one look open, and a command on them would be lost. So no connection from before the start is used, whether it
/// was idle when the list arrived or carried an attempt.
#[test]
fn connections_to_an_earlier_process_at_the_same_address_are_not_used() {
    let mut harness = Harness::new(Duration::from_secs(30));
    let idle = harness.assign(1, START);
    let mut idle_peer = harness.listener.accept().unwrap().0;
    let busy = harness.assign(2, START);
    let mut busy_peer = harness.listener.accept().unwrap().0;
    harness.serve(&mut idle_peer, idle, START);
    let endpoint = Endpoint { backend: BACKEND, ..Endpoint::default() };
    let (started_at, address) = (UnixTime::from_micros(7), harness.listener.local_addr().ok());
    let entries = vec![EndpointEntry { endpoint, started_at, address }];
    harness.connections.update_endpoints(&EndpointList { index: 2, is_snapshot: false, entries });
    harness.serve(&mut busy_peer, busy, START);
    let later = START + MIN_IDLE_TIME;
    let next = harness.assign(3, later);
    assert!(next != idle && next != busy, "{next:?}");
    let mut next_peer = harness.listener.accept().unwrap().0;
    harness.serve(&mut next_peer, next, later);
    assert_eq!(harness.assign(4, later + MIN_IDLE_TIME), next, "a connection to the new process is reused");
}

/// A backend sends a reply twice, some milliseconds apart, and replies carry no request id. If the connection
/// were reused in between, the next client would receive the value of another request.
#[test]
fn a_delayed_duplicate_reply_is_not_taken_for_the_next_reply() {
    for delay in [2_500, 5_000, 10_000].map(Duration::from_micros) {
        let mut harness = Harness::new(Duration::from_secs(30));
        let first = harness.assign(1, START);
        let mut peer = harness.listener.accept().unwrap().0;
        harness.serve(&mut peer, first, START);
        let second = harness.assign(2, START + delay);
        peer.write_all(REPLY_ONE).unwrap();
        assert_ne!(first, second, "{} us after a reply", delay.as_micros());
        let mut other = harness.listener.accept().unwrap().0;
        other.write_all(b"*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n").unwrap();
        let completion = harness.completion(second, START + delay);
        assert_eq!((completion.attempt, &completion.value[..]), (attempt(2), &b"$3\r\ntwo\r\n"[..]));
    }
}

/// A connection is reusable as soon as the minimum idle time, in which duplicate replies are detected, has
/// passed. With a longer wait the ingress would open many more connections, each of which costs the backend
/// work.
#[test]
fn a_connection_is_reused_after_the_minimum_idle_time() {
    let mut harness = Harness::new(Duration::from_secs(30));
    let first = harness.assign(1, START);
    let mut peer = harness.listener.accept().unwrap().0;
    harness.serve(&mut peer, first, START);
    assert_eq!(harness.assign(2, START + MIN_IDLE_TIME), first);
}

/// A connection is established, but the backend does not read, so the command is not completely written in
/// time. It cannot have been executed, so the attempt ends as a failed connect, after which even a
/// non-idempotent request may be retried.
#[test]
fn a_command_not_written_in_time_ends_as_a_failed_connect() {
    let mut harness = Harness::new(Duration::from_secs(30));
    let encode = |command: &mut Vec<u8>| command.resize(64 << 20, b'x');
    let registry = harness.poll.registry();
    let assigned =
        harness.connections.assign(registry, BACKEND, attempt(1), zero_timeout(START), encode).unwrap();
    let connection = assigned.connection;
    let peer = harness.listener.accept().unwrap().0;
    harness.connections.on_ready(connection.key, START, Readiness::Writable);
    assert_eq!(assigned.command, CommandState::Incomplete);
    assert!(harness.connections.connections[connection.key].is_connected);
    assert!(harness.connections.has_incomplete_command(connection));
    harness.connections.on_connect_timeout(connection, attempt(1));
    let completion = harness.connections.completions.pop().expect("the attempt completes");
    assert_eq!((completion.attempt, completion.outcome), (attempt(1), Outcome::ConnectFailed));
    assert_eq!(harness.connections.len(), 0);
    drop(peer);
}

/// A connection has nearly reached the backend's short keep-alive timeout. If the backend closed it while a
/// command is in transit, the execution of the command would be unknown. The periodic sweep is too infrequent
/// to close the connection first, so the idle time is checked before reuse.
#[test]
fn a_connection_close_to_the_keepalive_timeout_is_not_reused() {
    let mut harness = Harness::new(Duration::from_millis(400));
    let first = harness.assign(1, START);
    let mut peer = harness.listener.accept().unwrap().0;
    harness.serve(&mut peer, first, START);
    assert_ne!(harness.assign(2, START + Duration::from_millis(390)), first);
}

/// An attempt opens a connection, starts its connect timer, and completes. When the timer expires, the
/// connection carries a partly written command of the next attempt, which the timer must not end.
#[test]
fn the_connect_timeout_of_an_attempt_does_not_end_a_later_attempt() {
    let mut harness = Harness::new(Duration::from_secs(15));
    let first = harness.assign(1, START);
    let (mut peer, _) = harness.listener.accept().unwrap();
    peer.write_all(REPLY_ONE).unwrap();
    assert_eq!(harness.completion(first, START).outcome, Outcome::Ok);
    // More than the socket accepts at once.
    let long = |command: &mut Vec<u8>| command.resize(64 << 20, b'x');
    let now = START + MIN_IDLE_TIME;
    let second = harness
        .connections
        .assign(harness.poll.registry(), BACKEND, attempt(2), zero_timeout(now), long)
        .unwrap();
    assert_eq!((second.connection, second.command), (first, CommandState::Incomplete));
    harness.connections.on_connect_timeout(first, attempt(1));
    assert!(harness.connections.has_incomplete_command(first), "the later attempt continues");
    harness.connections.on_connect_timeout(first, attempt(2));
    assert!(!harness.connections.has_incomplete_command(first));
}

/// A backend is draining or removed when an attempt is assigned to it. The attempt has to end as not sent, so
/// that the request can be sent to another backend.
#[test]
fn a_draining_or_removed_backend_receives_no_command() {
    let mut harness = Harness::new(Duration::from_secs(15));
    let address = harness.listener.local_addr().ok();
    for availability in [Availability::Draining, Availability::Gone] {
        let endpoint = Endpoint { backend: BACKEND, availability, ..Endpoint::default() };
        let entries = vec![EndpointEntry { endpoint, started_at: UnixTime::default(), address }];
        harness.connections.update_endpoints(&EndpointList { index: 2, is_snapshot: false, entries });
        let encode = |command: &mut Vec<u8>| command.extend_from_slice(b"*1\r\n$4\r\nCALL\r\n");
        let assigned = harness.connections.assign(
            harness.poll.registry(),
            BACKEND,
            attempt(1),
            zero_timeout(START),
            encode,
        );
        assert_eq!(assigned, None, "{availability:?}");
        assert_eq!(
            harness.connections.completions.pop().unwrap().outcome,
            Outcome::NotSent,
            "{availability:?}"
        );
        assert_eq!(harness.connections.len(), 0, "{availability:?}");
    }
}

/// An exchange with a long command and a long reply ends, and its connection becomes idle. If idle connections
/// kept these buffers, hundreds of them would exceed the memory limit of the process.
#[test]
fn an_idle_connection_keeps_no_long_command_or_reply() {
    let mut harness = Harness::new(Duration::from_secs(30));
    let long_command = |command: &mut Vec<u8>| command.resize(60_000, b'x');
    let registry = harness.poll.registry();
    let assigned =
        harness.connections.assign(registry, BACKEND, attempt(1), zero_timeout(START), long_command).unwrap();
    let (mut peer, _) = harness.listener.accept().unwrap();
    while harness.connections.has_incomplete_command(assigned.connection) {
        harness.connections.on_ready(assigned.connection.key, START, Readiness::Writable);
    }
    assert!(harness.connections.memory_used() >= 60_000, "the command is accounted for");
    let value = vec![b'v'; 60_000];
    let reply = [&b"*3\r\n$60000\r\n"[..], &value, b"\r\n$-1\r\n$-1\r\n"].concat();
    peer.write_all(&reply).unwrap();
    let completion = harness.completion(assigned.connection, START);
    assert_eq!(completion.value.len(), value.len() + "$60000\r\n\r\n".len());
    assert_eq!(harness.connections.len(), 1, "the connection is idle");
    let used = harness.connections.memory_used();
    assert!(used <= 1024, "{used} bytes");
}
