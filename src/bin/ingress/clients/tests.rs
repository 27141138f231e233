//! Tests of [`super`].

use super::connection::{COMMAND_TIMEOUT, FIRST_COMMAND_TIME};
use super::limits::LINGER_TIMEOUT;
use super::output::WRITE_TIMEOUT;
use super::*;
use crate::command::ClassSchema;
use crate::resp;
use ingress::{Duration, Idempotency};
use mio::Poll;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use test_support::client::Client;

/// The time at which connections are accepted and requests are read.
pub(super) const NOW: Instant = Instant::from_micros(1_000_000_000);
/// Time for which a client waits for input.
const READ_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Receive buffer of a client with a small window, in bytes.
const SMALL_WINDOW_BYTES: usize = 2 * 1024;

/// Client connections on a separate listener.
pub(super) struct Harness {
    pub(super) clients: Clients,
    poll: Poll,
    address: SocketAddr,
}

impl Harness {
    pub(super) fn new(memory_limit: usize) -> Harness {
        let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let classes = vec![ClassSchema { name: "quote".into(), idempotency: Idempotency::Idempotent }];
        let plans = vec!["starter".into()];
        let schema = CommandSchema { classes, plans, max_units: 1.0, gateway_count: 1 };
        let limits = ClientMemoryLimits { total: memory_limit, input: memory_limit };
        let clients = Clients::new(listener, schema, limits, Token);
        Harness { clients, poll: Poll::new().unwrap(), address }
    }

    /// Connects a client and accepts its connection.
    pub(super) fn client(&mut self, capacity: Capacity) -> TcpStream {
        let client = TcpStream::connect(self.address).unwrap();
        self.accept(client, capacity, NOW)
    }

    /// Connects a client and accepts its connection at a given time.
    pub(super) fn client_accepted_at(&mut self, now: Instant) -> TcpStream {
        let client = TcpStream::connect(self.address).unwrap();
        self.accept(client, Capacity::Available, now)
    }

    /// Connects a client whose kernel holds only a few KiB of unread input, and accepts its connection.
    pub(super) fn client_with_small_window(&mut self) -> TcpStream {
        let client = Client::connect_with_window(self.address, SMALL_WINDOW_BYTES);
        self.accept(client.stream, Capacity::Available, NOW)
    }

    /// Accepts the connection of a client.
    fn accept(&mut self, client: TcpStream, capacity: Capacity, now: Instant) -> TcpStream {
        client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let before = self.clients.len();
        while self.clients.len() == before {
            self.clients.accept(self.poll.registry(), now, |_| capacity);
        }
        client
    }

    /// Sends a request from a client, and returns the handle for its reply.
    pub(super) fn request(&mut self, client: &mut TcpStream) -> ReplyHandle {
        client.write_all(&request_command()).unwrap();
        for _ in 0..1_000_000 {
            self.clients.read_all(NOW);
            if let Some(ClientEvent::Command { reply_to, .. }) = self.clients.next_event() {
                return reply_to;
            }
        }
        panic!("the request did not arrive");
    }

    /// Reads until the next request is complete, and returns its arrival time.
    fn next_arrival(&mut self, now: Instant) -> Instant {
        for _ in 0..1_000_000 {
            self.clients.read_all(now);
            if let Some(ClientEvent::Command { arrived_at, .. }) = self.clients.next_event() {
                return arrived_at;
            }
        }
        panic!("the request did not arrive");
    }
}

/// Returns an encoded valid request.
pub(super) fn request_command() -> Vec<u8> {
    let mut out = Vec::new();
    resp::write_array_header(&mut out, 4);
    for word in ["CALL.GET", "0000000000000001", "q1", "c=quote,t=starter,d=900,units=1,spread=1,first=0"] {
        resp::write_bulk_string(&mut out, &[word.as_bytes()]);
    }
    out
}

/// Reads as many bytes as expected, and compares them.
pub(super) fn expect_reply(client: &mut TcpStream, expected: &[u8]) {
    let mut received = vec![0; expected.len()];
    client.read_exact(&mut received).expect("the whole reply");
    assert!(received == expected, "{:?}", String::from_utf8_lossy(&received[..received.len().min(40)]));
}

/// A backend takes longer for a request than a client may take to read a reply. If the time to read counted
/// from the request, the connection would be closed before the reply is written.
#[test]
fn a_late_reply_is_not_treated_as_unread() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::Available);
    let reply_to = harness.request(&mut client);
    harness.clients.reply(reply_to, b"+late\r\n");
    harness.clients.close_expired(NOW + WRITE_TIMEOUT + Duration::from_secs(1));
    harness.clients.flush(NOW + WRITE_TIMEOUT + Duration::from_secs(1));
    expect_reply(&mut client, b"+late\r\n");
}

/// A large reply exceeds the memory limit of the clients. The connection must not be closed to free that
/// memory, since the reply is about to be written within the same iteration, which frees it.
#[test]
fn an_unwritten_reply_is_not_dropped_over_the_memory_limit() {
    let mut harness = Harness::new(10_000);
    let mut client = harness.client(Capacity::Available);
    let reply_to = harness.request(&mut client);
    let reply = [&b"$60000\r\n"[..], &vec![b'x'; 60_000], b"\r\n"].concat();
    harness.clients.reply(reply_to, &reply[..]);
    harness.clients.read_all(NOW);
    harness.clients.flush(NOW);
    expect_reply(&mut client, &reply);
}

/// The ingress is busy: the rest of a command arrives in time, but is still unread when the command times
/// out. The command is read and answered, not refused as incomplete.
#[test]
fn the_rest_of_a_command_is_read_before_the_command_times_out() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::Available);
    client.write_all(b"*1\r\n$4\r\nPI").unwrap();
    while harness.clients.idle_count() > 0 {
        harness.clients.read_all(NOW);
    }
    client.write_all(b"NG\r\n").unwrap();
    harness.clients.close_expired(NOW + COMMAND_TIMEOUT + Duration::MICROSECOND);
    harness.clients.flush(NOW + COMMAND_TIMEOUT + Duration::MICROSECOND);
    expect_reply(&mut client, b"+PONG\r\n");
}

/// A client connects when the limit on clients is reached, and its request arrives just before the connection
/// expires. The request is rejected before the close; without a reply the client could not exclude that it
/// was executed.
#[test]
fn a_client_over_the_limit_is_rejected_before_its_connection_expires() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::OverLimit);
    client.write_all(&request_command()).unwrap();
    harness.clients.close_expired(NOW + LINGER_TIMEOUT);
    harness.clients.flush(NOW + LINGER_TIMEOUT);
    expect_reply(&mut client, b"-BUSY\r\n");
    harness.clients.close_expired(NOW + LINGER_TIMEOUT * 3);
    assert_eq!(harness.clients.len(), 0, "rejected and closed");
    let counts: Vec<_> = harness.clients.close_counts().collect();
    assert_eq!(counts, [(ClientCloseReason::LingerTimeout, 1)]);
}

/// A client connects when the limit on clients is reached, and sends nothing. No reply was owed, so the log
/// must not state that the client took too long to read one.
#[test]
fn a_silent_client_over_the_limit_is_not_counted_as_lingering() {
    let mut harness = Harness::new(1 << 20);
    let _client = harness.client(Capacity::OverLimit);
    harness.clients.close_expired(NOW + LINGER_TIMEOUT);
    assert_eq!(harness.clients.len(), 0, "closed");
    let counts: Vec<_> = harness.clients.close_counts().collect();
    assert_eq!(counts, [(ClientCloseReason::OverLimitTimeout, 1)]);
}

/// Reads from a client are interrupted or fail for lack of memory, so its connection is queued for reading in
/// the next iteration. Until then it must not be closed as the longest idle one: a command may be waiting
/// and would be lost.
#[test]
fn a_connection_queued_for_reading_is_not_closed_as_idle() {
    let mut harness = Harness::new(1 << 20);
    let _client = harness.client(Capacity::Available);
    let key = harness.clients.connections.iter().next().unwrap().0;
    harness.clients.queue_for_read(key);
    let now = NOW + FIRST_COMMAND_TIME;
    assert!(!harness.clients.close_longest_idle(now), "a command may be waiting");
    for key in harness.clients.take_read_queue() {
        harness.clients.resume_read(key, now);
    }
    assert!(harness.clients.close_longest_idle(now), "no command was waiting");
}

/// A client connects and sends its request while no descriptor is available, and is accepted 0.9 s later. The
/// request's timeout counts from the time at which the connection began to wait; counted from the accept, a
/// backend would get more time than the client has left. Later requests on the connection have not waited.
#[test]
fn the_timeout_includes_the_wait_to_be_accepted() {
    const WAIT: Duration = Duration::from_millis(900);
    let mut harness = Harness::new(1 << 20);
    let mut client = TcpStream::connect(harness.address).unwrap();
    client.write_all(&request_command()).unwrap();
    harness.clients.set_arrival_time(NOW);
    let outcome = harness.clients.accept(harness.poll.registry(), NOW, |_| Capacity::Exhausted);
    assert_eq!(outcome, AcceptOutcome::RetryLater);
    let accepted_at = NOW + WAIT;
    harness.clients.set_arrival_time(accepted_at);
    while harness.clients.len() == 0 {
        harness.clients.accept(harness.poll.registry(), accepted_at, |_| Capacity::Available);
    }
    assert_eq!(harness.next_arrival(accepted_at), NOW, "the connection was waiting since then");
    // A later request has not waited.
    let later = accepted_at + WAIT;
    harness.clients.set_arrival_time(later);
    harness.clients.read_all(later);
    client.write_all(&request_command()).unwrap();
    assert_eq!(harness.next_arrival(later), later);
    let second = TcpStream::connect(harness.address).unwrap();
    while harness.clients.len() < 2 {
        harness.clients.accept(harness.poll.registry(), later, |_| Capacity::Available);
    }
    (&second).write_all(&request_command()).unwrap();
    assert_eq!(harness.next_arrival(later), later, "no connection was waiting before it");
}
