//! Messages between ingresses: UDP datagrams, whose sender is known by its address.

use crate::config::PeerAddresses;
use ingress::GatewayId;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io;

/// The most bytes of a message.
const MAX_MESSAGE_BYTES: usize = 256;
/// The most datagrams received at once, so that a flood of them cannot keep the event loop from its other work.
const MAX_DATAGRAMS_PER_RECEIVE: usize = 64;

/// The socket for messages to and from peers.
pub struct PeerSocket {
    /// Bound to this ingress's own address.
    socket: UdpSocket,
    /// Where the others are.
    addresses: PeerAddresses,
}

/// What is left in the socket after a receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backlog {
    /// Nothing.
    Empty,
    /// There may be more datagrams.
    MayHaveMore,
}

impl PeerSocket {
    /// Binds the socket and registers it with the poll.
    pub fn bind(addresses: PeerAddresses, registry: &Registry, token: Token) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(addresses.listen_address)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        Ok(PeerSocket { socket, addresses })
    }

    /// Hands over the messages that have come from peers; datagrams from others are dropped.
    pub fn receive(&mut self, mut on_message: impl FnMut(GatewayId, Vec<u8>)) -> Backlog {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1]; // one more than allowed: a longer datagram shows as such
        for _ in 0..MAX_DATAGRAMS_PER_RECEIVE {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, sender)) => {
                    let index = self.addresses.by_gateway.iter().position(|address| *address == sender);
                    let index = index.and_then(|index| u16::try_from(index).ok());
                    if let Some(index) = index.filter(|_| length <= MAX_MESSAGE_BYTES) {
                        on_message(GatewayId(index), buffer[..length].to_vec());
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Backlog::Empty,
                // An earlier message could not be delivered (a peer is down): the next read goes on.
                Err(_) => {}
            }
        }
        Backlog::MayHaveMore
    }

    /// Sends a message to one peer or to all; one that cannot be sent is lost, as it could be on the way.
    pub fn send(&self, to: Option<GatewayId>, bytes: &[u8]) {
        let address = match to {
            Some(gateway) => self.addresses.by_gateway.get(usize::from(gateway.0)),
            None => self.addresses.broadcast.as_ref(),
        };
        if let Some(address) = address.filter(|_| bytes.len() <= MAX_MESSAGE_BYTES) {
            let _ = self.socket.send_to(bytes, *address);
        }
    }
}
