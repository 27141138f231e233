//! Why the event loop cannot start or go on.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A fault that ends the ingress.
#[derive(Debug, Error)]
pub enum EventLoopError {
    /// The handlers of the signals cannot be set.
    #[error("cannot take signals")]
    Signals(#[source] io::Error),
    /// The poll cannot be created, be given a socket or be waited for.
    #[error("cannot poll")]
    Poll(#[source] io::Error),
    /// The clients' address cannot be listened at.
    #[error("listen: cannot listen at {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The address for peers' messages cannot be bound.
    #[error("peer_listen: cannot bind {address}")]
    BindPeers {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The file descriptors do not suffice for clients and backends.
    #[error("limits.sockets is too few: {allowed}")]
    TooFewDescriptors {
        /// How many the configuration and the system allow.
        allowed: usize,
    },
}
