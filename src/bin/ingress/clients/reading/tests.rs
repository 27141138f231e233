//! Tests of [`super`].

use super::*;
use crate::clients::connection::COMMAND_TIMEOUT;
use crate::clients::limits::{LINGER_TIMEOUT, MAX_UNRESERVED_INPUT_BYTES};
use crate::clients::memory::{ClientMemoryLimits, ConnectionMemory, MemoryBudget};
use crate::clients::tests::{expect_reply, request_command, Harness, NOW};
use crate::clients::Capacity;
use ingress::Duration;
use std::io::Write;
use std::net::TcpStream;

const INVALID_COMMAND: &[u8] = b"*1\r\n$3\r\nGET\r\n";
const INVALID_COMMAND_REPLY: &[u8] = b"-ERR unknown command\r\n";
/// Number of consecutive invalid commands that close a connection.
const CLOSING_ERRORS: usize = 8;

impl Harness {
    /// Reads and writes until the only connection is shut down.
    fn run_until_shut_down(&mut self) {
        for _ in 0..1_000_000 {
            self.clients.read_all(NOW);
            self.clients.flush(NOW);
            if self.clients.connections.iter().all(|(_, connection)| connection.is_shut_down()) {
                return;
            }
        }
        panic!("the connection was not shut down");
    }

    /// Reduces the memory limits to nothing.
    fn use_up_memory(&mut self) {
        let mut memory = MemoryBudget::new(ClientMemoryLimits { total: 0, input: 0 });
        for (_, connection) in &mut self.clients.connections {
            connection.accounted_memory = ConnectionMemory::default();
            connection.account_memory(&mut memory);
        }
        self.clients.memory = memory;
    }

    /// Reads and writes until this number of requests has arrived, and returns the handles for their replies.
    fn take_requests(&mut self, count: usize) -> Vec<ReplyHandle> {
        let mut handles = Vec::new();
        for _ in 0..1_000_000 {
            self.clients.read_all(NOW);
            self.clients.flush(NOW);
            while let Some(ClientEvent::Command { reply_to, .. }) = self.clients.next_event() {
                handles.push(reply_to);
            }
            if handles.len() >= count {
                return handles;
            }
        }
        panic!("{} of {count} requests arrived", handles.len());
    }

    /// Reads until the only connection holds a part of a command.
    fn read_until_incomplete(&mut self) {
        for _ in 0..1_000_000 {
            self.clients.read_all(NOW);
            self.clients.flush(NOW);
            if self.clients.connections.iter().all(|(_, connection)| connection.has_incomplete_command()) {
                return;
            }
        }
        panic!("no part of a command arrived");
    }
}

/// Asserts that the connection ends without further replies.
fn expect_end(client: &mut TcpStream) {
    assert_eq!(client.read(&mut [0; 1]).unwrap(), 0, "the connection ends");
}

/// A client over the limit sends several requests in one write. If only the first were rejected, the others
/// would be read and lost.
#[test]
fn each_request_that_is_read_over_the_limit_is_rejected() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::OverLimit);
    client.write_all(&request_command().repeat(4)).unwrap();
    harness.run_until_shut_down();
    expect_reply(&mut client, &BUSY_REPLY.repeat(4));
    expect_end(&mut client);
}

/// A client over the limit has sent a request and a part of the next one. If the connection were shut down after
/// the first rejection, the second request would be read in part and lost.
#[test]
fn a_request_that_arrives_in_parts_over_the_limit_is_rejected() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::OverLimit);
    let (part, rest) = (&request_command()[..20], &request_command()[20..]);
    client.write_all(&[&request_command(), part].concat()).unwrap();
    harness.read_until_incomplete();
    expect_reply(&mut client, BUSY_REPLY);
    client.write_all(rest).unwrap();
    harness.run_until_shut_down();
    expect_reply(&mut client, BUSY_REPLY);
    expect_end(&mut client);
}

/// A client over the limit sends one request after another and never pauses. It is shut down once its time is
/// over, so that it does not keep a descriptor beyond the budget.
#[test]
fn a_client_that_keeps_sending_over_the_limit_is_shut_down_in_time() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::OverLimit);
    client.write_all(&[&request_command()[..], b"*1\r\n"].concat()).unwrap();
    harness.read_until_incomplete();
    client.write_all(&[b"$4\r\nPING\r\n", &request_command()[..], b"*1\r\n"].concat()).unwrap();
    harness.clients.close_expired(NOW + LINGER_TIMEOUT);
    harness.clients.flush(NOW + LINGER_TIMEOUT);
    expect_reply(&mut client, b"-BUSY\r\n+PONG\r\n-BUSY\r\n");
    expect_end(&mut client);
    harness.clients.close_expired(NOW + LINGER_TIMEOUT * 2);
    assert_eq!(harness.clients.len(), 0, "closed");
}

/// A client sends too many invalid commands, and a valid request behind them in the same write. The request
/// is read, so it would be lost without a reply. Errors behind it are not answered, so that a client that
/// sends nothing else gets a limited number of replies.
#[test]
fn a_request_that_is_read_behind_too_many_invalid_commands_is_rejected() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::Available);
    let invalid = INVALID_COMMAND.repeat(CLOSING_ERRORS + 1);
    client.write_all(&[&invalid[..], &request_command(), &invalid[..]].concat()).unwrap();
    harness.run_until_shut_down();
    expect_reply(&mut client, &INVALID_COMMAND_REPLY.repeat(CLOSING_ERRORS + 1));
    expect_reply(&mut client, BUSY_REPLY);
    expect_end(&mut client);
}

/// A client has sent so many requests that the last ones are read but not parsed, and a part of another, when
/// no memory is left. Without a reply, the requests that are not parsed would be lost; if the connection were
/// closed for its memory, the replies that it is owed would be.
#[test]
fn requests_behind_a_backlog_are_answered_when_no_memory_is_left() {
    const PARSED: usize = 256;
    const UNPARSED: usize = 2;
    let (part, rest) = (&request_command()[..20], &request_command()[20..]);
    let commands = [&request_command().repeat(PARSED + UNPARSED)[..], part].concat();
    let mut harness = Harness::new(1 << 26);
    let mut client = harness.client(Capacity::Available);
    client.write_all(&commands).unwrap();
    let handles = harness.take_requests(PARSED);
    harness.use_up_memory();
    for reply_to in handles {
        harness.clients.reply(reply_to, b"+served\r\n");
    }
    client.write_all(rest).unwrap();
    for reply_to in harness.take_requests(UNPARSED + 1) {
        harness.clients.reply(reply_to, b"+late\r\n");
    }
    harness.clients.flush(NOW);
    harness.clients.close_expired(NOW);
    expect_reply(&mut client, &b"+served\r\n".repeat(PARSED));
    expect_reply(&mut client, &b"+late\r\n".repeat(UNPARSED + 1));
    assert_eq!(harness.clients.len(), 1, "the connection stays open");
}

/// Long commands arrive in parts when no memory is left for them. If they were stored, clients that stop within
/// a command could use up the memory; if their connections were closed, replies would be lost. The commands are
/// discarded, rejected at their end, and the next command is received.
#[test]
fn a_long_command_without_memory_is_rejected_at_its_end() {
    let mut long = request_command();
    long.splice(..4, *b"*5\r\n");
    resp::write_bulk_string(&mut long, &[&vec![b'x'; 60_000]]);
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::Available);
    harness.use_up_memory();
    for part in long.chunks(9_000) {
        client.write_all(part).unwrap();
        harness.clients.read_all(NOW);
        let connection = &harness.clients.connections.iter().next().unwrap().1;
        assert!(connection.input.capacity() <= MAX_READS_PER_ITERATION * MAX_UNRESERVED_INPUT_BYTES);
    }
    client.write_all(&request_command()).unwrap();
    let reply_to = harness.take_requests(1)[0];
    harness.clients.reply(reply_to, b"+served\r\n");
    harness.clients.flush(NOW);
    expect_reply(&mut client, b"-BUSY\r\n+served\r\n");
}

/// A client stops within a command that is being discarded. It gets the same error in the same time as one that
/// stops within a command that is stored.
#[test]
fn a_discarded_command_times_out() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::Available);
    harness.use_up_memory();
    client.write_all(&[&b"*2\r\n$60000\r\n"[..], &vec![b'x'; 30_000]].concat()).unwrap();
    harness.read_until_incomplete();
    let timed_out_at = NOW + COMMAND_TIMEOUT + Duration::MICROSECOND;
    harness.clients.close_expired(timed_out_at);
    harness.clients.flush(timed_out_at);
    expect_reply(&mut client, b"-ERR the rest of a command did not come in time\r\n");
    expect_end(&mut client);
}

/// The rest of a command arrives after the command has timed out, and a further request behind it. If they were
/// read, the request would be lost. They stay unread, and the reset at the close tells the client so.
#[test]
fn input_behind_a_command_that_timed_out_is_not_read() {
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::Available);
    client.write_all(&request_command()[..20]).unwrap();
    harness.read_until_incomplete();
    let timed_out_at = NOW + COMMAND_TIMEOUT + Duration::MICROSECOND;
    harness.clients.close_expired(timed_out_at);
    harness.clients.flush(timed_out_at);
    client.write_all(&[&request_command()[20..], &request_command()].concat()).unwrap();
    harness.clients.read_all(timed_out_at);
    expect_reply(&mut client, b"-ERR the rest of a command did not come in time\r\n");
    expect_end(&mut client);
    harness.clients.close_expired(timed_out_at + LINGER_TIMEOUT);
    assert_eq!(harness.clients.len(), 0, "closed");
    assert!(client.take_error().unwrap().is_some(), "the connection is reset over unread input");
}
