//! Tests of [`super`].

use super::pool::REST;
use super::*;
use crate::discovery::{EndpointEntry, EndpointList};
use ingress::{BackendId, Endpoint, Micros, Outcome, RequestId};
use mio::{Poll, Token};
use std::io::Write;
use std::net::TcpListener;

const ID: BackendId = BackendId(7);
const T: Micros = 1_000_000_000;

/// Connections to one backend, which the test plays; its clock is the test's as well.
struct Rig {
    backends: Backends,
    poll: Poll,
    listener: TcpListener,
}

impl Rig {
    fn new(keepalive: Micros) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut backends = Backends::new(keepalive, Token);
        let endpoint = Endpoint { backend: ID, ..Endpoint::default() };
        let entries = vec![EndpointEntry { endpoint, address: listener.local_addr().ok() }];
        backends.update_endpoints(&EndpointList { index: 1, is_snapshot: true, entries });
        Rig { backends, poll: Poll::new().unwrap(), listener }
    }

    /// Begins an attempt, which is written at once.
    fn assign(&mut self, id: u64, now: Micros) -> ConnectionId {
        let (registry, assignment) =
            (self.poll.registry(), Assignment::Attempt { id: RequestId(id), attempt: 0 });
        let fill = |out: &mut Vec<u8>| out.extend_from_slice(b"*1\r\n$4\r\nCALL\r\n");
        let link = self.backends.assign(registry, ID, assignment, now, fill).unwrap().connection;
        while self.backends.is_unsent(link) {
            self.backends.on_ready(link.key, now, Readiness { writable: true, closed: false });
        }
        link
    }

    /// Reads from a connection until something has ended; gives the work and the value.
    fn done(&mut self, link: ConnectionId, now: Micros) -> (Assignment, String) {
        for _ in 0..1_000_000 {
            if let Some(done) = self.backends.completions.pop() {
                return (done.assignment, String::from_utf8(done.value).unwrap());
            }
            self.backends.on_ready(link.key, now, Readiness { writable: false, closed: false });
        }
        panic!("nothing has ended");
    }

    fn serve(&mut self, peer: &mut impl Write, link: ConnectionId, now: Micros) {
        peer.write_all(b"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n").unwrap();
        self.done(link, now);
    }
}

/// Guards against serving a request with the answer before it: a backend may send it twice, up to some milliseconds
/// apart (4 ms at the most of 201 on join+brink), and an answer does not say whose it is.
#[test]
fn a_second_answer_some_milliseconds_late_serves_nobody() {
    for late in [2_500, 5_000, 10_000] {
        let mut rig = Rig::new(30_000_000);
        let first = rig.assign(1, T);
        let mut peer = rig.listener.accept().unwrap().0;
        rig.serve(&mut peer, first, T);
        let second = rig.assign(2, T + late);
        peer.write_all(b"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n").unwrap();
        assert_ne!(first, second, "{late} us behind an answer");
        let mut other = rig.listener.accept().unwrap().0;
        other.write_all(b"*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n").unwrap();
        let (work, value) = rig.done(second, T + late);
        assert_eq!(
            (work, &value[..]),
            (Assignment::Attempt { id: RequestId(2), attempt: 0 }, "$3\r\ntwo\r\n")
        );
    }
}

#[test]
fn a_connection_that_has_rested_is_used_again() {
    let mut rig = Rig::new(30_000_000);
    let first = rig.assign(1, T);
    let mut peer = rig.listener.accept().unwrap().0;
    rig.serve(&mut peer, first, T);
    assert_eq!(rig.assign(2, T + REST), first);
}

/// Guards against a command that a backend takes in later than the module counts on: the connection is up, but nobody
/// reads from it.
#[test]
fn a_command_that_is_not_taken_in_time_has_not_begun() {
    let mut rig = Rig::new(30_000_000);
    let (registry, assignment) = (rig.poll.registry(), Assignment::Attempt { id: RequestId(1), attempt: 0 });
    let fill = |out: &mut Vec<u8>| out.resize(64 << 20, b'x');
    let assigned = rig.backends.assign(registry, ID, assignment, T, fill).unwrap();
    let (link, unsent) = (assigned.connection, assigned.command == CommandState::Unsent);
    let peer = rig.listener.accept().unwrap().0;
    rig.backends.on_ready(link.key, T, Readiness { writable: true, closed: false });
    assert!(unsent && rig.backends.conns[link.key].connected && rig.backends.is_unsent(link));
    rig.backends.on_connect_timeout(link);
    let done = rig.backends.completions.pop().expect("it has ended");
    assert_eq!((done.assignment, done.outcome, rig.backends.len()), (assignment, Outcome::ConnectFailed, 0));
    drop(peer);
}

/// Guards against a request on a connection that the backend is about to close: where connections are kept for a
/// short time only, the sweep comes too seldom to close them first.
#[test]
fn a_connection_that_the_backend_may_close_any_moment_is_not_used() {
    let mut rig = Rig::new(400_000);
    let first = rig.assign(1, T);
    let mut peer = rig.listener.accept().unwrap().0;
    rig.serve(&mut peer, first, T);
    assert_ne!(rig.assign(2, T + 390_000), first);
}
