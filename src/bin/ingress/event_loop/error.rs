//! Why the event loop cannot start or go on.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A fault that ends the ingress.
#[derive(Debug, Error)]
pub enum EventLoopError {
    /// The handlers of the signals cannot be installed.
    #[error("cannot take signals")]
    Signals(#[source] io::Error),
    /// Creating the poll, registering a socket with it or waiting for it failed.
    #[error("cannot poll")]
    Poll(#[source] io::Error),
    /// The listener for clients cannot be opened.
    #[error("listen: cannot listen at {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The address for peers' messages cannot be bound.
    #[error("peer_listen: cannot bind {address}")]
    BindPeers {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The file descriptors do not suffice for clients and backends.
    #[error("limits.sockets is too few: {allowed}")]
    TooFewDescriptors {
        /// How many the configuration and the system allow.
        allowed: usize,
    },
}
