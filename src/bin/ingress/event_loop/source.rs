//! The sockets that the poll watches, and their tokens.

use crate::readiness::Readiness;
use mio::event::Event;
use mio::Token;

/// The token of the listener.
const LISTENER: Token = Token(0);
/// The token of the signals.
const SIGNALS: Token = Token(1);
/// The token of the connection to discovery.
const DISCOVERY: Token = Token(2);
/// The token of the socket for gossip.
const PEERS: Token = Token(3);
/// The first token of a connection; from here on, even tokens are clients and odd ones backends.
const FIRST_CONNECTION: usize = 4;

/// The socket behind a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The listener for clients.
    Listener,
    /// The signals to the process.
    Signals,
    /// The connection to discovery.
    Discovery,
    /// The socket for messages of peers.
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

/// A socket that is ready.
#[derive(Clone, Copy, Debug)]
pub struct ReadySocket {
    /// As the poll reported it.
    token: Token,
    /// Whether it can be written to.
    pub readiness: Readiness,
    /// The other side has closed its end, or the connection has failed.
    pub closed: bool,
}

impl ReadySocket {
    /// The socket.
    pub fn source(&self) -> Source {
        self.token.into()
    }

    /// Its place in the order of processing: changes of the endpoint list come before attempts are sent,
    /// replies of backends before new commands of clients.
    fn processing_order(&self) -> u8 {
        match self.source() {
            Source::Discovery => 0,
            Source::Backend(_) => 1,
            Source::Peers => 2,
            Source::Listener | Source::Signals | Source::Client(_) => 3,
        }
    }
}

/// Sorts sockets into the order of processing; those of one kind stay in the order in which they became
/// ready.
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
