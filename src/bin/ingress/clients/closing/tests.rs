//! Tests of [`super`].

use super::*;
use crate::clients::connection::FIRST_COMMAND_TIME;
use crate::clients::limits::LINGER_TIMEOUT;
use crate::clients::tests::{expect_reply, request_command, Harness, NOW};
use crate::clients::{Capacity, BUSY_REPLY, MAX_CLIENTS_BEYOND_BUDGET};
use crate::resp;
use ingress::Duration;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Size of a value that the kernel accepts at once, but does not transmit before the client reads.
const LONG_VALUE_BYTES: usize = 64 * 1024;

/// Encodes a value of [`LONG_VALUE_BYTES`].
fn long_reply() -> Vec<u8> {
    let mut reply = Vec::new();
    resp::write_bulk_string(&mut reply, &[&vec![b'x'; LONG_VALUE_BYTES]]);
    reply
}

impl Harness {
    /// Hands a client's long reply to the kernel, which cannot transmit all of it before the client reads.
    fn put_reply_in_transit(&mut self, client: &mut TcpStream) {
        let reply_to = self.request(client);
        self.clients.reply(reply_to, long_reply());
        self.clients.flush(NOW);
        assert_eq!(self.clients.busy_count(), 0, "the kernel has accepted the reply");
    }
}

/// Asserts that a long reply arrives whole although the client sends a further request, and that the
/// connection then ends and the further request was not read.
fn assert_reply_survives(harness: &mut Harness, client: &mut TcpStream) {
    client.write_all(&request_command()).unwrap();
    harness.clients.read_all(NOW);
    assert!(harness.clients.next_event().is_none(), "the client may send an unread request again");
    expect_reply(client, &long_reply());
    assert_eq!(client.read(&mut [0; 1]).unwrap(), 0, "the connection ends after the reply");
}

/// A connection becomes idle during a shutdown while its reply is in transit, and the client sends a further
/// request. A close at once would reset the connection, and the rest of the reply would be lost.
#[test]
fn a_reply_in_transit_survives_a_shutdown() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client_with_small_window();
    let reply_to = harness.request(&mut client);
    harness.clients.close_when_idle(NOW, Accepting::Stop);
    harness.clients.reply(reply_to, long_reply());
    harness.clients.flush(NOW);
    assert_reply_survives(&mut harness, &mut client);
}

/// An idle connection is closed for its descriptor while its reply is in transit, and the client sends a
/// further request. A close at once would reset the connection, and the rest of the reply would be lost.
#[test]
fn a_reply_in_transit_survives_the_need_of_a_descriptor() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client_with_small_window();
    harness.put_reply_in_transit(&mut client);
    assert!(harness.clients.close_longest_idle(NOW));
    assert_reply_survives(&mut harness, &mut client);
}

/// Clients whose replies are in transit never read them. Each keeps its descriptor for a limited time, and only
/// a few are closed for their descriptors at once, so that the descriptors of the process suffice.
#[test]
fn clients_that_never_read_delay_the_close_of_few_connections_for_a_limited_time() {
    let mut harness = Harness::new(1 << 20);
    let mut clients: Vec<_> =
        (0..=MAX_CLIENTS_BEYOND_BUDGET).map(|_| harness.client_with_small_window()).collect();
    for client in &mut clients {
        harness.put_reply_in_transit(client);
    }
    for closed in 1..=MAX_CLIENTS_BEYOND_BUDGET {
        assert!(harness.clients.close_longest_idle(NOW), "{closed}");
        assert_eq!(harness.clients.budgeted_count(), clients.len() - closed);
    }
    assert!(!harness.clients.close_longest_idle(NOW), "no further descriptor is promised");
    assert_eq!((harness.clients.len(), harness.clients.budgeted_count()), (clients.len(), 1));
    harness.clients.close_lingered(NOW + LINGER_TIMEOUT - Duration::MICROSECOND);
    assert_eq!(harness.clients.len(), clients.len(), "the clients still have time");
    harness.clients.close_lingered(NOW + LINGER_TIMEOUT);
    assert_eq!((harness.clients.len(), harness.clients.budgeted_count()), (1, 1));
    assert!(harness.clients.close_longest_idle(NOW + LINGER_TIMEOUT));
    assert_eq!(harness.clients.len(), 0, "the last one had its time while it was idle");
    let counts: Vec<_> = harness.clients.close_counts().collect();
    let lingered = MAX_CLIENTS_BEYOND_BUDGET as u64;
    assert_eq!(
        counts,
        [(ClientCloseReason::DescriptorNeeded, 1), (ClientCloseReason::LingerTimeout, lingered)]
    );
}

/// A client with a reply in transit has sent a part of a further command when the process is about to exit,
/// and sends the rest after that. An exit at once would reset the connection, and the rest of the reply would
/// be lost. A client that does not read delays the exit for a limited time.
#[test]
fn a_reply_in_transit_survives_the_exit_despite_an_incomplete_command() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client_with_small_window();
    harness.put_reply_in_transit(&mut client);
    let (part, rest) = (&request_command()[..20], &request_command()[20..]);
    client.write_all(part).unwrap();
    while harness.clients.idle_count() > 0 {
        harness.clients.read_all(NOW);
    }
    harness.clients.shut_down_before_exit(NOW);
    assert!(harness.clients.has_reply_in_transit(NOW));
    assert!(harness
        .clients
        .connections
        .iter()
        .all(|(_, connection)| !connection.has_incomplete_command() && connection.output.is_empty()));
    client.write_all(rest).unwrap();
    harness.clients.read_all(NOW);
    expect_reply(&mut client, &long_reply());
    assert_eq!(client.read(&mut [0; 1]).unwrap(), 0, "the connection ends after the reply");
    assert!(!harness.clients.has_reply_in_transit(NOW + LINGER_TIMEOUT), "the client had its time");
}

/// The kernel has accepted only a part of a long reply when all else is answered. The exit waits while the
/// client reads, and not for a client that reads nothing.
#[test]
fn the_exit_waits_for_a_reply_that_is_being_read() {
    let mut harness = Harness::new(1 << 26);
    let mut client = harness.client(Capacity::Available);
    let reply_to = harness.request(&mut client);
    harness.clients.reply(reply_to, vec![b'x'; 1 << 25]);
    harness.clients.flush(NOW);
    assert_eq!(harness.clients.busy_count(), 1, "the kernel has accepted only a part");
    let almost_over = NOW + LINGER_TIMEOUT - Duration::MICROSECOND;
    assert!(harness.clients.has_reply_in_transit(almost_over));
    assert!(!harness.clients.has_reply_in_transit(NOW + LINGER_TIMEOUT), "the client reads nothing");
}

/// All descriptors are in use when a client has just connected, and its first requests are in transit. If its
/// connection were closed for its descriptor, the requests would be lost. Until the client had the time to
/// send, another connection is closed, or none.
#[test]
fn a_new_connection_is_not_closed_while_its_first_command_may_be_in_transit() {
    let mut harness = Harness::new(1 << 20);
    let mut idle = harness.client(Capacity::Available);
    let reply_to = harness.request(&mut idle);
    harness.clients.reply(reply_to, BUSY_REPLY);
    harness.clients.flush(NOW);
    expect_reply(&mut idle, BUSY_REPLY);
    let later = NOW + LINGER_TIMEOUT;
    let mut new = harness.client_accepted_at(later);
    let soon = later + FIRST_COMMAND_TIME - Duration::MICROSECOND;
    assert!(harness.clients.close_longest_idle(soon));
    assert_eq!(idle.read(&mut [0; 1]).unwrap(), 0, "the other connection is closed");
    assert!(!harness.clients.close_longest_idle(soon), "the new one is not");
    assert!(harness.clients.close_longest_idle(later + FIRST_COMMAND_TIME), "it has sent nothing");
    assert_eq!(new.read(&mut [0; 1]).unwrap(), 0, "the new connection is closed");
}
