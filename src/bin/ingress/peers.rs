//! The transport of gossip: UDP datagrams between ingresses, which are identified by their addresses.

use crate::config::PeerAddresses;
use ingress::{GatewayId, MAX_MESSAGE_BYTES};
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io;
use std::net::SocketAddr;

/// The most datagrams per receive, so that a flood of them does not starve the event loop's other work.
const MAX_DATAGRAMS_PER_RECEIVE: usize = 64;

/// The socket for messages to and from peers.
pub struct PeerSocket {
    /// The socket, bound to this ingress's own address.
    socket: UdpSocket,
    /// The addresses of all ingresses.
    addresses: PeerAddresses,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DropReason {
    /// It is longer than any message.
    TooLong,
    /// The address of its sender is no ingress's.
    UnknownAddress,
}

/// The datagrams that are left in the socket after a receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backlog {
    /// There are none.
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

    /// Passes the messages that have arrived to `on_message`. Datagrams that are too long or not from an
    /// ingress of the fleet are dropped.
    pub fn receive(&mut self, mut on_message: impl FnMut(GatewayId, Vec<u8>)) -> Backlog {
        // One byte more than allowed, to detect datagrams that are too long.
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_RECEIVE {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, sender)) => match self.identify(sender, length) {
                    Ok(gateway) => on_message(gateway, buffer[..length].to_vec()),
                    Err(reason) => {
                        tracing::debug!(target: "peers", %sender, ?reason, "datagram dropped");
                    }
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Backlog::Empty,
                // The system reports that an earlier message could not be delivered; the next receive
                // succeeds.
                Err(_) => {}
            }
        }
        Backlog::MayHaveMore
    }

    /// The gateway that sent a datagram.
    fn identify(&self, sender: SocketAddr, length: usize) -> Result<GatewayId, DropReason> {
        if length > MAX_MESSAGE_BYTES {
            return Err(DropReason::TooLong);
        }
        self.gateway_at(sender).ok_or(DropReason::UnknownAddress)
    }

    /// The gateway with an address; none if it is no ingress's.
    fn gateway_at(&self, address: SocketAddr) -> Option<GatewayId> {
        let index = self.addresses.by_gateway.iter().position(|known| *known == address)?;
        u16::try_from(index).ok().map(GatewayId)
    }

    /// Sends a message to one peer or to all. A message that cannot be sent is dropped: gossip tolerates
    /// losses.
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
