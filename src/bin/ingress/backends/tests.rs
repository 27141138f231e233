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
/// A reply whose value is `one`, with no load report.
const REPLY_ONE: &[u8] = b"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n";

/// The first attempt of a request.
fn attempt(request: u64) -> AttemptId {
    AttemptId { request: RequestId(request), number: 0 }
}

/// The timeout of a command that is encoded at a time: none is left.
fn no_time(stated_at: Instant) -> StatedTimeout {
    StatedTimeout { stated_at, timeout: Duration::ZERO }
}

/// Connections to one backend, which the test plays; its clock is the test's as well.
struct Rig {
    connections: BackendConnections,
    poll: Poll,
    listener: TcpListener,
}

impl Rig {
    fn new(keepalive_timeout: Duration) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut connections = BackendConnections::new(keepalive_timeout, Token);
        let endpoint = Endpoint { backend: BACKEND, ..Endpoint::default() };
        let (started_at, address) = (UnixTime::default(), listener.local_addr().ok());
        let entries = vec![EndpointEntry { endpoint, started_at, address }];
        connections.update_endpoints(&EndpointList { index: 1, is_snapshot: true, entries });
        Rig { connections, poll: Poll::new().unwrap(), listener }
    }

    /// Begins an attempt and waits until its command is written.
    fn assign(&mut self, request: u64, now: Instant) -> ConnectionId {
        let encode = |command: &mut Vec<u8>| command.extend_from_slice(b"*1\r\n$4\r\nCALL\r\n");
        let registry = self.poll.registry();
        let assigned =
            self.connections.assign(registry, BACKEND, attempt(request), no_time(now), encode).unwrap();
        while self.connections.is_incomplete(assigned.connection) {
            self.connections.on_ready(assigned.connection.key, now, Readiness::Writable);
        }
        assigned.connection
    }

    /// Reads from a connection until an exchange has ended.
    fn completion(&mut self, connection: ConnectionId, now: Instant) -> ExchangeCompletion {
        for _ in 0..1_000_000 {
            if let Some(completion) = self.connections.completions.pop() {
                return completion;
            }
            self.connections.on_ready(connection.key, now, Readiness::Readable);
        }
        panic!("nothing has ended");
    }

    /// Sends a reply on a connection and reads it.
    fn serve(&mut self, peer: &mut impl Write, connection: ConnectionId, now: Instant) {
        peer.write_all(REPLY_ONE).unwrap();
        self.completion(connection, now);
    }
}

/// A backend sends a reply twice, some milliseconds apart, and a reply does not say which request it answers. If
/// the next request used the connection in between, its client would get the value of another request; so it gets a
/// connection of its own.
#[test]
fn a_duplicate_reply_some_milliseconds_late_serves_nobody() {
    for delay in [2_500, 5_000, 10_000].map(Duration::from_micros) {
        let mut rig = Rig::new(Duration::from_secs(30));
        let first = rig.assign(1, START);
        let mut peer = rig.listener.accept().unwrap().0;
        rig.serve(&mut peer, first, START);
        let second = rig.assign(2, START + delay);
        peer.write_all(REPLY_ONE).unwrap();
        assert_ne!(first, second, "{} us after a reply", delay.as_micros());
        let mut other = rig.listener.accept().unwrap().0;
        other.write_all(b"*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n").unwrap();
        let completion = rig.completion(second, START + delay);
        assert_eq!((completion.attempt, &completion.value[..]), (attempt(2), &b"$3\r\ntwo\r\n"[..]));
    }
}

/// A connection rests for the time in which a duplicate reply may arrive, and then carries the next request. If it
/// rested for longer, the ingress would open many more connections, each of which costs the backend work.
#[test]
fn a_connection_that_has_been_idle_long_enough_is_used_again() {
    let mut rig = Rig::new(Duration::from_secs(30));
    let first = rig.assign(1, START);
    let mut peer = rig.listener.accept().unwrap().0;
    rig.serve(&mut peer, first, START);
    assert_eq!(rig.assign(2, START + MIN_IDLE_TIME), first);
}

/// A connection is established, but the backend does not read, and the command cannot be written completely in
/// time. Nothing can have been executed, so the attempt ends as one that never connected, and the request may go to
/// another backend even if it must not be executed twice.
#[test]
fn a_command_that_is_not_written_in_time_has_not_begun() {
    let mut rig = Rig::new(Duration::from_secs(30));
    let encode = |command: &mut Vec<u8>| command.resize(64 << 20, b'x');
    let registry = rig.poll.registry();
    let assigned = rig.connections.assign(registry, BACKEND, attempt(1), no_time(START), encode).unwrap();
    let connection = assigned.connection;
    let peer = rig.listener.accept().unwrap().0;
    rig.connections.on_ready(connection.key, START, Readiness::Writable);
    assert_eq!(assigned.command, CommandState::Incomplete);
    assert!(rig.connections.connections[connection.key].is_connected);
    assert!(rig.connections.is_incomplete(connection));
    rig.connections.on_connect_timeout(connection, attempt(1));
    let completion = rig.connections.completions.pop().expect("it has ended");
    assert_eq!((completion.attempt, completion.outcome), (attempt(1), Outcome::ConnectFailed));
    assert_eq!(rig.connections.len(), 0);
    drop(peer);
}

/// Backends close connections after a short idle time, and one has nearly reached it. A command written to it could
/// cross the close, and nobody could say whether it was executed; the periodic sweep comes too seldom to close the
/// connection first, so it is not used.
#[test]
fn a_connection_that_the_backend_may_close_any_moment_is_not_used() {
    let mut rig = Rig::new(Duration::from_millis(400));
    let first = rig.assign(1, START);
    let mut peer = rig.listener.accept().unwrap().0;
    rig.serve(&mut peer, first, START);
    assert_ne!(rig.assign(2, START + Duration::from_millis(390)), first);
}

/// An attempt begins a connection and with it a timer; the attempt ends, and the connection carries the next
/// command, partly written, when that timer is due. The timer ended the second attempt, which had time left; it
/// must concern the first one only.
#[test]
fn the_timer_of_an_earlier_attempt_does_not_end_a_later_one() {
    let mut rig = Rig::new(Duration::from_secs(15));
    let first = rig.assign(1, START);
    let (mut peer, _) = rig.listener.accept().unwrap();
    peer.write_all(REPLY_ONE).unwrap();
    assert_eq!(rig.completion(first, START).outcome, Outcome::Ok);
    // More than the socket takes at once.
    let long = |command: &mut Vec<u8>| command.resize(64 << 20, b'x');
    let now = START + MIN_IDLE_TIME;
    let second =
        rig.connections.assign(rig.poll.registry(), BACKEND, attempt(2), no_time(now), long).unwrap();
    assert_eq!((second.connection, second.command), (first, CommandState::Incomplete));
    rig.connections.on_connect_timeout(first, attempt(1));
    assert!(rig.connections.is_incomplete(first), "the later attempt goes on");
    rig.connections.on_connect_timeout(first, attempt(2));
    assert!(!rig.connections.is_incomplete(first));
}

/// A backend is draining or removed when an attempt is to be sent to it. The command is not sent, whoever asks for
/// it, and the attempt ends as one that was never sent, so that the request can go to another backend.
#[test]
fn a_backend_that_is_draining_or_removed_gets_no_command() {
    let mut rig = Rig::new(Duration::from_secs(15));
    let address = rig.listener.local_addr().ok();
    for availability in [Availability::Draining, Availability::Gone] {
        let endpoint = Endpoint { backend: BACKEND, availability, ..Endpoint::default() };
        let entries = vec![EndpointEntry { endpoint, started_at: UnixTime::default(), address }];
        rig.connections.update_endpoints(&EndpointList { index: 2, is_snapshot: false, entries });
        let encode = |command: &mut Vec<u8>| command.extend_from_slice(b"*1\r\n$4\r\nCALL\r\n");
        let assigned =
            rig.connections.assign(rig.poll.registry(), BACKEND, attempt(1), no_time(START), encode);
        assert_eq!(assigned, None, "{availability:?}");
        assert_eq!(rig.connections.completions.pop().unwrap().outcome, Outcome::NotSent, "{availability:?}");
        assert_eq!(rig.connections.len(), 0, "{availability:?}");
    }
}
