//! The sockets that are registered with the poll, and their tokens.

use crate::readiness::Readiness;
use mio::event::Event;
use mio::Token;

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const DISCOVERY: Token = Token(2);
const PEERS: Token = Token(3);
/// The first token of a connection of a client or to a backend. From here on, even tokens belong to clients
/// and odd ones to backends.
const FIRST_CONNECTION: usize = 4;

/// A socket that is registered with the poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The listening socket for clients.
    Listener,
    /// The signals that the process receives.
    Signals,
    /// The connection to discovery.
    Discovery,
    /// The UDP socket for messages of peers.
    Peers,
    /// The connection of a client, by its key in `Clients`.
    Client(usize),
    /// A connection to a backend, by its key in `BackendConnections`.
    Backend(usize),
}

impl From<Source> for Token {
    fn from(source: Source) -> Token {
        match source {
            Source::Listener => LISTENER,
            Source::Signals => SIGNALS,
            Source::Discovery => DISCOVERY,
            Source::Peers => PEERS,
            Source::Client(key) => Token(FIRST_CONNECTION + 2 * key),
            Source::Backend(key) => Token(FIRST_CONNECTION + 2 * key + 1),
        }
    }
}

impl From<Token> for Source {
    fn from(token: Token) -> Source {
        match token {
            LISTENER => Source::Listener,
            SIGNALS => Source::Signals,
            DISCOVERY => Source::Discovery,
            PEERS => Source::Peers,
            Token(number) => {
                let connection = number - FIRST_CONNECTION;
                let key = connection / 2;
                if connection % 2 == 0 {
                    Source::Client(key)
                } else {
                    Source::Backend(key)
                }
            }
        }
    }
}

/// A readiness event of a socket.
#[derive(Clone, Copy, Debug)]
pub struct ReadySocket {
    /// The token that the poll reported.
    token: Token,
    pub readiness: Readiness,
    /// Whether the other side has closed its end, or the connection has failed.
    pub closed: bool,
}

impl ReadySocket {
    pub fn source(&self) -> Source {
        self.token.into()
    }

    /// Returns the socket's rank in the order of processing: changes of the endpoint list before attempts are
    /// sent, replies of backends before new commands of clients.
    fn processing_order(&self) -> u8 {
        match self.source() {
            Source::Discovery => 0,
            Source::Backend(_) => 1,
            Source::Peers => 2,
            Source::Listener | Source::Signals | Source::Client(_) => 3,
        }
    }
}

/// Sorts sockets into the order of processing. Sockets of the same rank stay in the order in which they
/// became ready.
pub fn sort_for_processing(ready: &mut [ReadySocket]) {
    ready.sort_by_key(ReadySocket::processing_order);
}

impl From<&Event> for ReadySocket {
    fn from(event: &Event) -> ReadySocket {
        ReadySocket {
            token: event.token(),
            readiness: if event.is_writable() { Readiness::Writable } else { Readiness::Readable },
            closed: event.is_read_closed() || event.is_error(),
        }
    }
}

#[cfg(test)]
mod tests;
