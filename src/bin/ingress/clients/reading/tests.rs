//! Tests of [`super`].

use super::*;
use crate::clients::connection::{COMMAND_TIMEOUT, LINGER_TIMEOUT};
use crate::clients::memory::MemoryBudget;
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

    /// Reduces the memory limit below the use of the only connection.
    fn use_up_memory(&mut self, key: usize) {
        self.clients.memory = MemoryBudget::new(0);
        self.clients.connections[key].accounted_memory = 0;
        self.clients.enforce_memory_limit(key);
    }

    /// Reads until the only connection holds a part of a command.
    fn read_until_incomplete(&mut self) {
        for _ in 0..1_000_000 {
            self.clients.read_all(NOW);
            self.clients.flush(NOW);
            if self.clients.connections.iter().all(|(_, connection)| !connection.input.is_empty()) {
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
/// it is closed for lack of memory. Without a reply, the requests that are not parsed would be lost.
#[test]
fn requests_behind_a_backlog_are_rejected_for_lack_of_memory() {
    const PARSED: usize = 256;
    const UNPARSED: usize = 2;
    let commands = [&request_command().repeat(PARSED + UNPARSED)[..], &request_command()[..20]].concat();
    let mut harness = Harness::new(1 << 20);
    let mut client = harness.client(Capacity::Available);
    client.write_all(&commands).unwrap();
    let mut handles = Vec::new();
    while handles.len() < PARSED {
        harness.clients.read_all(NOW);
        while let Some(ClientEvent::Command { reply_to, .. }) = harness.clients.next_event() {
            handles.push(reply_to);
        }
    }
    harness.use_up_memory(handles[0].key);
    for reply_to in handles {
        harness.clients.reply(reply_to, b"+served\r\n");
    }
    harness.run_until_shut_down();
    expect_reply(&mut client, &b"+served\r\n".repeat(PARSED));
    expect_reply(&mut client, &BUSY_REPLY.repeat(UNPARSED));
    expect_reply(&mut client, b"-ERR no memory for the rest of a command\r\n");
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
