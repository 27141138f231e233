//! Sends and receives gossip as UDP datagrams between ingresses, which are identified by their addresses.

use crate::config::PeerAddresses;
use ingress::{GatewayId, MAX_MESSAGE_BYTES};
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io;
use std::net::SocketAddr;

/// Maximum number of datagrams per receive, so that a flood does not starve the event loop's other work.
const MAX_DATAGRAMS_PER_RECEIVE: usize = 64;

/// The UDP socket for messages to and from peers.
pub struct PeerSocket {
    socket: UdpSocket,
    addresses: PeerAddresses,
}

/// Reason for dropping a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DropReason {
    /// The datagram exceeds the maximum length of a message.
    TooLong,
    /// The sender's address belongs to no ingress of the fleet.
    UnknownAddress,
}

/// State of the socket's receive queue after a receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backlog {
    /// No datagrams are queued.
    Empty,
    /// More datagrams may be queued.
    MayHaveMore,
}

impl PeerSocket {
    /// Binds the socket and registers it for readiness events.
    pub fn bind(addresses: PeerAddresses, registry: &Registry, token: Token) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(addresses.listen_address)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        Ok(PeerSocket { socket, addresses })
    }

    /// Passes received messages to `on_message`. Drops datagrams that are too long or not from an ingress of
    /// the fleet.
    pub fn receive(&mut self, mut on_message: impl FnMut(GatewayId, Vec<u8>)) -> Backlog {
        // One byte longer than the maximum, to detect datagrams that are too long.
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
                // The system reports that an earlier message was not delivered. The next receive succeeds.
                Err(_) => {}
            }
        }
        Backlog::MayHaveMore
    }

    /// Returns the gateway that sent a datagram, or the reason to drop the datagram.
    fn identify(&self, sender: SocketAddr, length: usize) -> Result<GatewayId, DropReason> {
        if length > MAX_MESSAGE_BYTES {
            return Err(DropReason::TooLong);
        }
        self.gateway_at(sender).ok_or(DropReason::UnknownAddress)
    }

    fn gateway_at(&self, address: SocketAddr) -> Option<GatewayId> {
        let index = self.addresses.by_gateway.iter().position(|known| *known == address)?;
        u16::try_from(index).ok().map(GatewayId)
    }

    /// Sends a message to one peer, or to all if `to` is `None`. Drops messages that cannot be sent, since
    /// gossip tolerates losses.
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
