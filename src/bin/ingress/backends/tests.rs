//! Tests of [`super`].

use super::*;
use crate::discovery::EndpointEntry;
use ingress::Endpoint;
use mio::Poll;
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
        backends.update(&EndpointList { index: 1, whole: true, entries });
        Rig { backends, poll: Poll::new().unwrap(), listener }
    }

    /// Begins an attempt, which is written at once.
    fn begin(&mut self, id: u64, now: Micros) -> Link {
        let (registry, work) = (self.poll.registry(), Work::Attempt(RequestId(id), 0));
        let fill = |out: &mut Vec<u8>| out.extend_from_slice(b"*1\r\n$4\r\nCALL\r\n");
        let (link, _) = self.backends.begin(registry, ID, work, now, fill).unwrap();
        while self.backends.unsent(link) {
            self.backends.ready(link.key, now, true, false);
        }
        link
    }

    /// Reads from a connection until something has ended; gives the work and the value.
    fn done(&mut self, link: Link, now: Micros) -> (Work, String) {
        for _ in 0..1_000_000 {
            if let Some(done) = self.backends.done.pop() {
                return (done.work, String::from_utf8(done.value).unwrap());
            }
            self.backends.ready(link.key, now, false, false);
        }
        panic!("nothing has ended");
    }

    fn serve(&mut self, peer: &mut impl Write, link: Link, now: Micros) {
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
        let first = rig.begin(1, T);
        let mut peer = rig.listener.accept().unwrap().0;
        rig.serve(&mut peer, first, T);
        let second = rig.begin(2, T + late);
        peer.write_all(b"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n").unwrap();
        assert_ne!(first, second, "{late} us behind an answer");
        let mut other = rig.listener.accept().unwrap().0;
        other.write_all(b"*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n").unwrap();
        let (work, value) = rig.done(second, T + late);
        assert_eq!((work, &value[..]), (Work::Attempt(RequestId(2), 0), "$3\r\ntwo\r\n"));
    }
}

#[test]
fn a_connection_that_has_rested_is_used_again() {
    let mut rig = Rig::new(30_000_000);
    let first = rig.begin(1, T);
    let mut peer = rig.listener.accept().unwrap().0;
    rig.serve(&mut peer, first, T);
    assert_eq!(rig.begin(2, T + REST), first);
}

/// Guards against a command that a backend takes in later than the module counts on: the connection is up, but nobody
/// reads from it.
#[test]
fn a_command_that_is_not_taken_in_time_has_not_begun() {
    let mut rig = Rig::new(30_000_000);
    let (registry, work) = (rig.poll.registry(), Work::Attempt(RequestId(1), 0));
    let fill = |out: &mut Vec<u8>| out.resize(64 << 20, b'x');
    let (link, unsent) = rig.backends.begin(registry, ID, work, T, fill).unwrap();
    let peer = rig.listener.accept().unwrap().0;
    rig.backends.ready(link.key, T, true, false);
    assert!(unsent && rig.backends.conns[link.key].connected && rig.backends.unsent(link));
    rig.backends.connect_overdue(link);
    let done = rig.backends.done.pop().expect("it has ended");
    assert_eq!((done.work, done.outcome, rig.backends.len()), (work, Outcome::ConnectFailed, 0));
    drop(peer);
}

/// Guards against a request on a connection that the backend is about to close: where connections are kept for a
/// short time only, the sweep comes too seldom to close them first.
#[test]
fn a_connection_that_the_backend_may_close_any_moment_is_not_used() {
    let mut rig = Rig::new(400_000);
    let first = rig.begin(1, T);
    let mut peer = rig.listener.accept().unwrap().0;
    rig.serve(&mut peer, first, T);
    assert_ne!(rig.begin(2, T + 390_000), first);
}
